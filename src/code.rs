//! Numbered result codes. `docs/CODES.md` holds the same table and a test compares the two.

use std::fmt;
use std::str::FromStr;

use serde::de;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// What a code says about the submission it answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Provably nothing ran; a retry is safe.
    NotRun,
    /// It ran, at least in part, and ended without a complete answer.
    Failed,
    /// It may have run; only a resubmission under the same key is safe.
    Unknown,
}

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $outcome:ident, $advice:literal;)*) => {
        /// One numbered result.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Code {
            $(#[doc = $advice] $name,)*
        }

        impl Code {
            /// Every code, in the order of the numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// The four digits behind `LM`.
            pub fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// The HTTP status that goes with the code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Whether the submission ran.
            pub fn outcome(self) -> Outcome {
                match self { $(Code::$name => Outcome::$outcome,)* }
            }

            /// What happened and what to do about it.
            pub fn advice(self) -> &'static str {
                match self { $(Code::$name => $advice,)* }
            }
        }
    };
}

codes! {
    BadJson = 1001, 400, NotRun, "the body isn't the JSON that docs/API.md describes; mend it and send it again";
    BodyTooLarge = 1002, 413, NotRun, "the body is over the limit; send large inputs through the object store";
    KeyMissing = 1003, 400, NotRun, "the Idempotency-Key header is missing or malformed; send 1 to 128 visible ASCII characters without a slash";
    KeyReused = 1004, 409, NotRun, "the key already belongs to a submission with another body; use a new key";
    UnknownClass = 1005, 400, NotRun, "the class isn't in the configuration; see GET /v1/config";
    TaskCount = 1006, 400, NotRun, "a job holds 1 task up to the class's max_tasks; split it";
    BadTask = 1007, 400, NotRun, "a task's declaration is out of range; mend the field that is named";
    BodyTimeout = 1008, 408, NotRun, "the body didn't arrive in time; send it again";
    NotFound = 1009, 404, NotRun, "nothing is here; see docs/API.md for the paths";
    Overloaded = 2001, 503, NotRun, "the class target can't be met now; come back after retry_after_ms";
    OverQuota = 2002, 429, NotRun, "the customer is over its quota; come back after retry_after_ms";
    NeverRunnable = 2003, 422, NotRun, "no worker is large enough for a task's needs; lower them";
    Draining = 2004, 503, NotRun, "this entry is stopping; send it again, the balancer picks another";
    NoConfiguration = 2005, 503, NotRun, "no configuration has been read yet; come back after retry_after_ms";
    StoreDown = 2006, 503, NotRun, "the platform's table can't be reached and the work isn't safe without it; come back after retry_after_ms";
    NoOwner = 2007, 503, NotRun, "the key's cell has no owner yet; come back after retry_after_ms";
    Expired = 2008, 503, NotRun, "the class target passed before a slot came free; come back after retry_after_ms";
    WorkerBusy = 2010, 503, NotRun, "the worker had no slot left for the task; the system retries it elsewhere";
    StaleEpoch = 2011, 503, NotRun, "the start came from an owner of the past; the new owner decides";
    NotJoined = 2012, 503, NotRun, "the worker is joining, or its backend server has left; the system retries elsewhere";
    Burned = 2013, 503, NotRun, "the start was withdrawn before it ran; the system retries elsewhere";
    NoMemory = 2014, 503, NotRun, "the entry's memory for requests is taken; come back after retry_after_ms";
    TaskFailed = 3001, 502, Failed, "the backend server answered a task with an error; see its own log";
    TaskTimeout = 3002, 504, Failed, "a task ran past the class target and was stopped";
    AnswerTooLarge = 3003, 502, Failed, "a backend server's answer was over the limit; write large answers to the object store";
    AnswerTruncated = 3004, 502, Failed, "a backend server's answer broke off or wasn't JSON; see its own log";
    Cancelled = 3005, 409, Failed, "the job was cancelled; part of it may have run";
    RetriesSpent = 3006, 502, Failed, "part of the job may have run, and workers turned the rest away more often than the retry budget allows; see the status of the backend servers";
    AnswerInStore = 3007, 503, Failed, "a large answer can't be put into the object store or fetched from it; submit again under the same key to ask once more";
    WorkerLost = 4001, 502, Unknown, "a worker was lost with a task on it; the task may have run, check before you submit under a new key";
    MayHaveRun = 4002, 502, Unknown, "an entry and a worker were lost together; the submission may have run, check before you submit under a new key";
    AnswerGone = 4003, 410, Unknown, "the submission ran but its answer is no longer kept; check before you submit under a new key";
    ForwardLost = 4004, 502, Unknown, "the owner of the key was lost; submit again under the same key";
    JobUnknown = 4005, 404, Unknown, "the owner knows no such job, or couldn't be asked; it may have run, submit again under the same key to learn its ending";
    ConfigInvalid = 5001, 422, NotRun, "the configuration is refused; mend the places that are named";
    VersionConflict = 5002, 409, NotRun, "another change was accepted first; read the newest version and apply yours to it";
    ChangeUnknown = 5003, 504, Unknown, "the table's answer was lost; read the configuration to see whether the change took effect";
    SettingsInvalid = 6001, 400, NotRun, "the settings are refused; mend every flag or variable that is named";
    Unreachable = 6002, 502, Unknown, "the address gave no whole answer; check the process behind it, and submit again under the same key";
    FileUnreadable = 6003, 400, NotRun, "the file can't be read; check its path and its permissions";
    CannotListen = 6004, 500, NotRun, "an address can't be listened at; check that it is this machine's and free";
    NotReached = 6005, 502, NotRun, "no connection could be made; check the address and the process behind it";
    NotReady = 6006, 503, NotRun, "the demo's parts didn't get ready in time; try again on a machine that is less busy";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "LM{:04}", self.number())
    }
}

impl FromStr for Code {
    type Err = String;

    fn from_str(s: &str) -> Result<Code, String> {
        let found = Code::ALL.iter().find(|code| code.to_string() == s);
        found.copied().ok_or_else(|| format!("unknown code {s}"))
    }
}

impl Serialize for Code {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Code {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Code, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}
