//! Records the spans of a task at its agent: the wait for a slot, the run at the backend server, and
//! both together. A large input is fetched within the run's span; a large answer is stored after it.

use std::time;

use compact_str::{CompactString, ToCompactString};

use crate::code;
use crate::decide::order;
use crate::id;
use crate::task;
use crate::trace::{Hop, Kind, Span};

/// The hops and times of one task, from which its spans are recorded once it has ended.
#[derive(Clone, Copy, Debug)]
pub struct Hops {
    /// From the acceptance of the start to the backend server's answer.
    agent_hop: Hop,
    /// The fetch of a large input and the run at the backend server.
    run_hop: Hop,
    /// When the start was accepted.
    received: time::Instant,
    /// When the wait for a slot ended.
    sent: time::Instant,
}

impl Hops {
    /// Returns the hops of a task whose start was accepted at `received` and that has got its slot
    /// now; nothing if its trace isn't recorded.
    pub fn begin(start: &order::Start, received: time::Instant) -> Option<Hops> {
        let agent_hop = Hop::below(start.traceparent.as_deref())?;
        Some(Hops {
            agent_hop,
            run_hop: agent_hop.child(),
            received,
            sent: time::Instant::now(),
        })
    }

    /// Returns the `traceparent` to send to the backend server.
    pub fn traceparent(&self) -> CompactString {
        self.run_hop.traceparent()
    }

    /// Records the spans of a task whose run at the backend server has ended now.
    pub fn record(self, agent: &id::AgentId, index: id::TaskIndex, outcome: &task::Outcome) {
        let ended = time::Instant::now();
        let failure = failure_code(outcome);
        self.agent_hop.child().record(Span {
            name: "slot wait",
            kind: Kind::Internal,
            begun: self.received,
            ended: self.sent,
            attributes: Vec::new(),
            failure: None,
        });
        self.run_hop.record(Span {
            name: "backend server",
            kind: Kind::Client,
            begun: self.sent,
            ended,
            attributes: Vec::new(),
            failure,
        });
        self.agent_hop.record(Span {
            name: "agent",
            kind: Kind::Server,
            begun: self.received,
            ended,
            attributes: vec![
                ("agent", agent.clone()),
                ("task", index.to_compact_string()),
            ],
            failure,
        });
    }
}

fn failure_code(outcome: &task::Outcome) -> Option<code::Code> {
    match outcome {
        task::Outcome::Done(_) => None,
        task::Outcome::Failed(code) => Some(*code),
    }
}
