//! What stays of a job once there is no room for its answers: enough to never start it again.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time;

use crate::code;
use crate::id;
use crate::refusal;
use crate::submission;

/// What stays of one job.
#[derive(Clone, Debug)]
struct Kept {
    digest: u64,
    /// The failure; none where there were answers, which are gone.
    failure: Option<Arc<submission::Ending>>,
}

/// Jobs whose answers are gone, by key.
///
/// Guards against a second start: an owner that had forgotten a key altogether would take its
/// resubmission for a new job, since the claims that it read at its takeover don't name the key.
#[derive(Clone, Debug, Default)]
pub struct Past {
    jobs: HashMap<id::JobKey, Kept>,
    order: VecDeque<(time::Instant, id::JobKey)>,
}

impl Past {
    /// Keeps what stays of a job that ended at a time.
    pub fn keep(
        &mut self,
        ended: time::Instant,
        submission: &submission::Submission,
        ending: &Arc<submission::Ending>,
    ) {
        let failure = match **ending {
            submission::Ending::Failed(_) => Some(ending.clone()),
            submission::Ending::Complete(_) => None,
        };
        let kept = Kept {
            digest: submission.digest,
            failure,
        };
        self.jobs.insert(submission.key.clone(), kept);
        self.order.push_back((ended, submission.key.clone()));
    }

    /// Tells how a job ended, as far as it is still known; nothing where the key is unknown.
    pub fn look(&self, key: &id::JobKey, digest: u64) -> Option<Arc<submission::Ending>> {
        let kept = self.jobs.get(key)?;
        if kept.digest != digest {
            return Some(failed(code::Code::KeyReused));
        }
        let gone = || failed(code::Code::AnswerGone);
        Some(kept.failure.clone().unwrap_or_else(gone))
    }

    /// Forgets jobs that ended a time ago, after which nobody may resubmit them.
    pub fn forget(&mut self, now: time::Instant, after: time::Duration) {
        while let Some((ended, key)) = self.order.front() {
            if now.saturating_duration_since(*ended) < after {
                return;
            }
            self.jobs.remove(key);
            self.order.pop_front();
        }
    }
}

fn failed(code: code::Code) -> Arc<submission::Ending> {
    Arc::new(submission::Ending::Failed(refusal::Refusal::new(code)))
}
