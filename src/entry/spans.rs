//! Records the trace spans of an entry: one for each submission that it answers, and those of the
//! jobs and tasks in the cells that it owns.

use std::time;

use compact_str::{CompactString, ToCompactString};

use crate::code;
use crate::decide::order;
use crate::decide::timing::{self, Timing};
use crate::id;
use crate::trace::{self, Hop, Kind, Span};

/// The ownership under which the spans of a cell are recorded.
#[derive(Clone, Debug)]
pub struct Owner {
    /// The id of the entry that owns the cell.
    pub entry: id::EntryId,
    /// The number of the cell.
    pub cell: id::Cell,
    /// The epoch of the ownership.
    pub epoch: id::Epoch,
    /// When the ownership began; the times in span ids are counted from it.
    pub since: time::Instant,
}

/// Records the span of a submission that came by HTTP and was answered.
pub fn record_submission(
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
    /// Makes the span of this start the parent of the agent's span. The id of the start's span
    /// depends on the time `now`, so that a second start of a refused task gets a span of its own.
    pub fn set_start_parent(&self, now: time::Instant, start: &mut order::Start) {
        if !trace::is_on() {
            return;
        }
        let job = self.job_span(start.traceparent.as_deref(), &start.id.job);
        if let Some(job) = job {
            let task = self.task_span(&job, start.id.index, now);
            start.traceparent = task.map(|hop| hop.traceparent());
        }
    }

    /// Records the spans of a task that was answered or of a job that has ended.
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
        let job = self.job_span(Some(&task.traceparent), &task.id.job);
        let Some(hop) = job.and_then(|job| self.task_span(&job, task.id.index, task.sent)) else {
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
        let Some(hop) = self.job_span(Some(&job.traceparent), &job.key) else {
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

    /// The span of a job in this epoch; its parent is the span of the entry that took the
    /// submission.
    fn job_span(&self, traceparent: Option<&str>, key: &id::JobKey) -> Option<Hop> {
        let salt = compact_str::format_compact!("{key} {}", self.epoch);
        Hop::derived(traceparent, salt.as_bytes())
    }

    fn task_span(&self, job: &Hop, index: id::TaskIndex, sent: time::Instant) -> Option<Hop> {
        let sent = sent.saturating_duration_since(self.since).as_nanos();
        let salt: CompactString = compact_str::format_compact!("{index} {sent}");
        Hop::derived(Some(&job.traceparent()), salt.as_bytes())
    }
}
