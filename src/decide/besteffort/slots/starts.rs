//! Sends waiting starts to the backend server.

use std::time;

use crate::decide::besteffort::message::Run;
use crate::decide::besteffort::slots::{HeldRun, Order, Slots, State};

impl Slots {
    /// Accepts no more work from now on. Waiting starts are returned; sent runs continue.
    pub fn stop_accepting(&mut self, now: time::Duration) {
        self.stopping = true;
        self.dispatch_waiting(now);
    }

    /// Whether an earlier run of the same task was sent and hasn't ended; a later run would run beside it.
    fn has_earlier_run(&self, run: &Run) -> bool {
        let first = Run {
            number: 0,
            ..run.clone()
        };
        let mut earlier = self.held.range(first..run.clone());
        earlier.any(|(_, held)| held.state != State::Waiting)
    }

    pub(super) fn start_if_fits(&mut self, now: time::Duration, run: &Run) {
        let free = self.backend.size.minus(&self.used);
        let fits = |held: &HeldRun| {
            free.fits(&held.start.need) && !self.must_wait_for_isolation(now, &held.start)
        };
        if !self.held.get(run).is_some_and(fits) || self.has_earlier_run(run) {
            return;
        }
        // The lease must cover the run from the moment of the order. If it were renewed only when the order is
        // sent, the next check of the time bounds could find a run without a lease and give it up while the
        // order is under way: its task would run here and elsewhere.
        let Some(lease_until_ms) = self.renew_lease(now) else {
            return;
        };
        let Some(held) = self.held.get_mut(run) else {
            return;
        };
        held.state = State::Starting;
        held.since = now;
        self.used = self.used.plus(&held.start.need);
        self.waiting.remove(&held.queue_key());
        if self.features.demand {
            let (priority, cpu) = (held.start.priority, held.start.need.cpu);
            self.start_rates.started(now, priority, cpu);
        }
        let input = held.start.input.clone();
        self.orders.push(Order::Start {
            to: self.recipient(),
            run: run.clone(),
            input,
            lease_until_ms,
        });
    }
}
