//! The spans of an agent: a task's stay, its wait for a slot, and its run at the backend server.

use std::time;

use compact_str::{CompactString, ToCompactString};

use crate::code;
use crate::decide::order;
use crate::id;
use crate::task;
use crate::trace::{Hop, Kind, Span};

/// The hops of one task through an agent.
#[derive(Clone, Copy, Debug)]
pub struct Hops {
    stay: Hop,
    run: Hop,
    taken: time::Instant,
    begun: time::Instant,
}

impl Hops {
    /// The hops of a task that was `taken` a while ago and is sent to the backend server now.
    pub fn begin(start: &order::Start, taken: time::Instant) -> Option<Hops> {
        let stay = Hop::below(start.traceparent.as_deref())?;
        Some(Hops {
            stay,
            run: stay.child(),
            taken,
            begun: time::Instant::now(),
        })
    }

    /// What the backend server is sent.
    pub fn traceparent(&self) -> CompactString {
        self.run.traceparent()
    }

    /// Records the hops of a task that is over.
    pub fn record(self, agent: &id::AgentId, index: id::TaskIndex, outcome: &task::Outcome) {
        let ended = time::Instant::now();
        let failure = failure(outcome);
        self.stay.child().record(Span {
            name: "slot wait",
            kind: Kind::Internal,
            begun: self.taken,
            ended: self.begun,
            attributes: Vec::new(),
            failure: None,
        });
        self.run.record(Span {
            name: "backend server",
            kind: Kind::Client,
            begun: self.begun,
            ended,
            attributes: Vec::new(),
            failure,
        });
        self.stay.record(Span {
            name: "agent",
            kind: Kind::Server,
            begun: self.taken,
            ended,
            attributes: vec![
                ("agent", agent.clone()),
                ("task", index.to_compact_string()),
            ],
            failure,
        });
    }
}

fn failure(outcome: &task::Outcome) -> Option<code::Code> {
    match outcome {
        task::Outcome::Done(_) => None,
        task::Outcome::Failed(code) => Some(*code),
    }
}
