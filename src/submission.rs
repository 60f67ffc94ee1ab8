//! A submission: what a caller asks for, and how it ended.

use std::fmt;

use compact_str::CompactString;
use serde::{de, Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

use crate::class;
use crate::code;
use crate::id;
use crate::refusal;
use crate::task;

/// One task as declared by the caller.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Names tasks that take alike long, so that run times can be learned.
    #[serde(default)]
    pub kind: CompactString,
    /// Declared run time in milliseconds; only a prior.
    #[serde(default)]
    pub run_ms: u64,
    /// What it takes of a worker.
    #[serde(default)]
    pub needs: task::Needs,
    /// The input for the backend server, any JSON.
    pub input: Box<RawValue>,
}

/// `POST /v1/jobs`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Who submits.
    #[serde(rename = "customer")]
    pub client_account: id::ClientAccount,
    /// The class of work.
    pub class: id::ClassName,
    /// The tasks, 1 up to the class's `max_tasks`. Of more than [`class::MAX_TASKS`], which no class allows, only one
    /// more is kept.
    #[serde(deserialize_with = "read_tasks")]
    pub tasks: Vec<Task>,
}

impl Job {
    /// Returns the size of the tasks' inputs, in bytes.
    pub fn input_bytes(&self) -> usize {
        self.tasks.iter().map(|task| task.input.get().len()).sum()
    }
}

/// Reads the tasks of a job without keeping more than it takes to refuse the job: short tasks take many times the bytes
/// of their JSON.
fn read_tasks<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Task>, D::Error> {
    deserializer.deserialize_seq(TasksVisitor)
}

struct TasksVisitor;

impl<'de> de::Visitor<'de> for TasksVisitor {
    type Value = Vec<Task>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of tasks")
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<Task>, A::Error> {
        let mut tasks = Vec::new();
        while tasks.len() <= class::MAX_TASKS as usize {
            match seq.next_element()? {
                Some(task) => tasks.push(task),
                None => return Ok(tasks),
            }
        }
        while let Some(de::IgnoredAny) = seq.next_element()? {}
        Ok(tasks)
    }
}

/// A submission that has passed the filter chain of the entry that took it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Submission {
    /// The scoped key.
    pub key: id::JobKey,
    /// Digest of the body, to tell a resubmission from another job under the same key.
    pub digest: u64,
    /// Milliseconds since the Unix epoch when the key was first used, if the key tells.
    pub minted_ms: Option<u64>,
    /// Whether running it twice would do no harm.
    pub idempotent: bool,
    /// The job.
    pub job: Job,
    /// The trace that it belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub traceparent: Option<CompactString>,
}

/// How a submission ended, as the owner keeps it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Every task's answer, in the order of the tasks.
    Complete(Vec<Box<RawValue>>),
    /// No answer; the refusal tells what is known.
    Failed(refusal::Refusal),
}

impl Ending {
    /// The code with which it failed, if it did.
    pub fn failure(&self) -> Option<code::Code> {
        match self {
            Ending::Complete(_) => None,
            Ending::Failed(refusal) => Some(refusal.code),
        }
    }
}
