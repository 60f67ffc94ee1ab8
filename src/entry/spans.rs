//! The spans of an entry: the submission as its caller sees it, the job and its tasks at the owner.

use std::time;

use compact_str::{CompactString, ToCompactString};

use crate::code;
use crate::decide::order;
use crate::decide::timing::{self, Timing};
use crate::id;
use crate::trace::{self, Hop, Kind, Span};

/// Who owns the cell whose spans are recorded.
#[derive(Clone, Debug)]
pub struct Owner {
    /// The entry.
    pub entry: id::EntryId,
    /// The cell.
    pub cell: id::Cell,
    /// The epoch.
    pub epoch: id::Epoch,
    /// When the ownership began; moments are told apart by their distance from it.
    pub since: time::Instant,
}

/// Records a submission that came in by HTTP and was answered.
pub fn submission(
    hop: Hop,
    begun: time::Instant,
    entry: &id::EntryId,
    key: Option<&id::JobKey>,
    failure: Option<code::Code>,
) {
    let mut attributes = vec![("entry", entry.clone())];
    attributes.extend(key.map(|key| ("key", key.clone())));
    hop.record(Span {
        name: "entry",
        kind: Kind::Server,
        begun,
        ended: time::Instant::now(),
        attributes,
        failure,
    });
}

impl Owner {
    /// Puts the agent's span below the span of this start. The start's moment is in the id of that
    /// span, so that a second start of a refused task gets its own.
    pub fn start(&self, now: time::Instant, start: &mut order::Start) {
        if !trace::is_on() {
            return;
        }
        let owner = self.job(start.traceparent.as_deref(), &start.id.job);
        if let Some(owner) = owner {
            let task = self.task(&owner, start.id.index, now);
            start.traceparent = task.map(|hop| hop.traceparent());
        }
    }

    /// Records what is over.
    pub fn record(&self, timing: Timing) {
        if !trace::is_on() {
            return;
        }
        match timing {
            Timing::Task(task) => self.record_task(task),
            Timing::Job(job) => self.record_job(job),
        }
    }

    fn record_task(&self, task: timing::Task) {
        let owner = self.job(Some(&task.traceparent), &task.id.job);
        let Some(hop) = owner.and_then(|owner| self.task(&owner, task.id.index, task.sent)) else {
            return;
        };
        hop.child().record(Span {
            name: "queue wait",
            kind: Kind::Internal,
            begun: task.queued,
            ended: task.sent,
            attributes: Vec::new(),
            failure: None,
        });
        hop.record(Span {
            name: "task",
            kind: Kind::Client,
            begun: task.queued,
            ended: task.returned,
            attributes: vec![
                ("task", task.id.index.to_compact_string()),
                ("agent", task.agent),
                ("ran", task.ran.to_compact_string()),
            ],
            failure: None,
        });
    }

    fn record_job(&self, job: timing::Job) {
        let Some(hop) = self.job(Some(&job.traceparent), &job.key) else {
            return;
        };
        let startable = job.startable.unwrap_or(job.ended);
        if startable > job.submitted {
            hop.child().record(Span {
                name: "claim wait",
                kind: Kind::Internal,
                begun: job.submitted,
                ended: startable,
                attributes: Vec::new(),
                failure: None,
            });
        }
        hop.record(Span {
            name: "owner",
            kind: Kind::Server,
            begun: job.submitted,
            ended: job.ended,
            attributes: vec![
                ("entry", self.entry.clone()),
                ("cell", self.cell.to_compact_string()),
                ("epoch", self.epoch.to_compact_string()),
                ("tasks", job.tasks.to_compact_string()),
            ],
            failure: job.failure,
        });
    }

    /// The span of a job in this epoch, below the span of the entry that passed it on.
    fn job(&self, traceparent: Option<&str>, key: &id::JobKey) -> Option<Hop> {
        let salt = compact_str::format_compact!("{key} {}", self.epoch);
        Hop::derived(traceparent, salt.as_bytes())
    }

    fn task(&self, owner: &Hop, index: id::TaskIndex, sent: time::Instant) -> Option<Hop> {
        let sent = sent.saturating_duration_since(self.since).as_nanos();
        let salt: CompactString = compact_str::format_compact!("{index} {sent}");
        Hop::derived(Some(&owner.traceparent()), salt.as_bytes())
    }
}
