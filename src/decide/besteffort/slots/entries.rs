//! The agent's side of the links to entries: handles their requests and composes the messages to them.

use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::message::{
    AgentMessage, EntryIncarnation, EntryMessage, Hello, Progress, Run, RunOutcome, Start,
};
use crate::decide::besteffort::sharing;
use crate::decide::besteffort::slots::{millis, Entry, HeldRun, Slots, State};

impl Slots {
    /// Handles a new link of an entry. Returns the hello that the agent answers with: the entry's runs that are
    /// held here and its most recent ends. The caller fills in the agent's identity.
    pub fn entry_connected(&mut self, now: time::Duration, name: &EntryIncarnation) -> Hello {
        self.return_expired_starts(now, name);
        let entry = self.entries.entry(name.clone()).or_default();
        entry.unsent_ends.clear();
        entry.waiting_work = None;
        entry.loan = None;
        entry.waiting_share = sharing::demand::Share::default();
        entry.demand_sent_at = None;
        entry.told_pace = None;
        entry.unsent_crashes = self.crashes.all();
        entry.heard_at = now;
        entry.alive_until = now + self.bounds.silence;
        let ended = entry.recent_ends.iter().cloned().collect();
        let runs = self.held.iter().filter(|(_, held)| held.entry == *name);
        Hello {
            runs: runs.map(|(run, _)| run.clone()).collect(),
            ended,
            agent: CompactString::default(),
            incarnation: 0,
            failure_domain: CompactString::default(),
        }
    }

    /// Returns the starts of an entry that may no longer begin. A link that was opened while the agent stood still
    /// says nothing about them.
    fn return_expired_starts(&mut self, now: time::Duration, name: &EntryIncarnation) {
        let waiting = self.waiting.iter().map(|(.., run)| run);
        let is_expired = |run: &&Run| {
            let held = self.held.get(*run).filter(|held| held.entry == *name);
            held.is_some_and(|held| self.is_start_expired(now, held))
        };
        let expired: Vec<Run> = waiting.filter(is_expired).cloned().collect();
        for run in expired {
            self.end_run(now, &run, RunOutcome::NotRun);
        }
    }

    /// Handles the end of an entry's link: with the feature `demand`, what waits there no longer counts, and its loan
    /// ends. Nothing else would clear them before the entry's next link.
    pub fn entry_disconnected(&mut self, name: &EntryIncarnation) {
        if !self.features.demand {
            return;
        }
        if let Some(entry) = self.entries.get_mut(name) {
            entry.waiting_work = None;
            entry.loan = None;
            entry.waiting_share = sharing::demand::Share::default();
        }
    }

    /// Handles a message of an entry: the evacuation of the failure domain, its stops and starts, and what waits
    /// there. Returns whether the failure domain was evacuated or taken back, which all entries are told of.
    pub fn handle_message(
        &mut self,
        now: time::Duration,
        name: &EntryIncarnation,
        message: EntryMessage,
    ) -> bool {
        let evacuation_changed = message
            .evacuation
            .is_some_and(|state| self.update_evacuation(now, state));
        let fresh = self.message_received(now, name, message.seen_ms);
        let mut starts = message.starts;
        for run in &message.stops {
            // Its start may be in the same message, and was decided before it.
            if let Some(index) = starts.iter().position(|start| start.run == *run) {
                self.hold_start(now, name, starts.remove(index));
            }
            if !self.withdraw(now, name, run) {
                self.counts.stops_unmatched += 1;
                log::info!(job = run.job.as_str(), task = run.task, run = run.number,
                    entry = name.entry.as_str(), starts = starts.len();
                    "stop names a run that isn't held");
            }
        }
        for start in starts {
            self.start_requested(now, name, fresh, start);
        }
        self.update_statement(name, message.demand);
        self.update_waiting_work(now, name, message.seen_ms, message.waiting);
        evacuation_changed
    }

    /// Handles a message of an entry that repeats the agent's clock as `seen_ms`, which proves when the entry
    /// last heard the agent. Returns whether the message is recent enough for its starts to be carried out.
    pub fn message_received(
        &mut self,
        now: time::Duration,
        name: &EntryIncarnation,
        seen_ms: u64,
    ) -> bool {
        let until = millis(seen_ms) + self.bounds.silence;
        if let Some(entry) = self.entries.get_mut(name) {
            entry.alive_until = entry.alive_until.max(until);
            entry.heard_at = now;
        }
        now < until
    }

    /// Handles an entry's request to start a run. A request for a run that the agent already holds is ignored.
    /// One that needs more than the backend server's whole size is returned at once, and so is one that isn't
    /// `fresh`, which is what [`Slots::message_received`] returned for its message.
    pub fn start_requested(
        &mut self,
        now: time::Duration,
        name: &EntryIncarnation,
        fresh: bool,
        start: Start,
    ) {
        let run = start.run.clone();
        let need = start.need;
        if !self.hold_start(now, name, start) {
            return;
        }
        if !self.backend.size.fits(&need) {
            self.end_run(now, &run, RunOutcome::NotRun);
        } else if !fresh {
            log::warn!(job = run.job.as_str(), task = run.task, run = run.number, entry = name.entry.as_str();
                "start came too late to act on");
            self.end_run(now, &run, RunOutcome::NotRun);
        }
        self.dispatch_waiting(now);
    }

    /// Adds a start to those that wait for room. Returns false if the agent already holds its run, which stays as it is.
    fn hold_start(&mut self, now: time::Duration, name: &EntryIncarnation, start: Start) -> bool {
        if self.held.contains_key(&start.run) {
            return false;
        }
        let held = HeldRun {
            entry: name.clone(),
            state: State::Waiting,
            since: now,
            must_end_since: None,
            stop_at: time::Duration::ZERO,
            percent: 0,
            percent_at: now,
            start,
        };
        self.use_loan(name, &held.start.need);
        self.waiting.insert(held.queue_key());
        self.held.insert(held.start.run.clone(), held);
        true
    }

    /// Handles an entry's request to end its run. Returns whether the agent holds that run.
    pub fn withdraw(&mut self, now: time::Duration, name: &EntryIncarnation, run: &Run) -> bool {
        let held = self.held.get(run).filter(|held| held.entry == *name);
        let Some(held) = held else {
            return false;
        };
        if held.must_end_since.is_none() {
            self.require_end(now, run);
            self.dispatch_waiting(now);
        }
        true
    }

    /// Composes the next message to an entry: free room, ends, crashes and the progress of its runs, but not of
    /// those that are being stopped. What is put into it counts as sent.
    pub fn next_message(&mut self, name: &EntryIncarnation, now: time::Duration) -> AgentMessage {
        let now_ms = now.as_millis() as u64;
        let mut message = AgentMessage {
            now_ms,
            free: self.free().minus(&self.lent_room(Some(name))),
            competing_entries: self.count_competing_entries(now, name),
            demand: self.take_demand(name, now),
            ..AgentMessage::default()
        };
        if let Some(entry) = self.entries.get_mut(name) {
            message.ended = std::mem::take(&mut entry.unsent_ends);
            message.crashes = std::mem::take(&mut entry.unsent_crashes);
            if let Some(loan) = entry.loan.as_mut().filter(|loan| loan.sent_ms.is_none()) {
                loan.sent_ms = Some(now_ms);
                message.lent = loan.room;
            }
        }
        message.pace = self.pace_to_tell(name);
        let runs = self.held.iter().filter(|(_, held)| held.entry == *name);
        let goes_on =
            |held: &HeldRun| held.state == State::Running && held.must_end_since.is_none();
        let running = runs.filter(|(_, held)| goes_on(held));
        message.progress = running
            .map(|(run, held)| Progress {
                run: run.clone(),
                percent: held.percent,
                age_ms: held.percent_at.saturating_sub(held.since).as_millis() as u64,
            })
            .collect();
        message
    }

    /// Counts the entries that compete for the room: this one and the others that have work waiting. An entry
    /// without waiting work leaves its share to the others.
    fn count_competing_entries(&self, now: time::Duration, name: &EntryIncarnation) -> u32 {
        let others = self.entries.iter().filter(|(other, _)| *other != name);
        let waiting = others.filter(|(_, e)| now < e.alive_until && e.waiting_work.is_some());
        1 + waiting.count() as u32
    }

    /// Whether there is something for an entry that mustn't wait for the next heartbeat.
    pub fn has_unsent(&self, name: &EntryIncarnation) -> bool {
        let entry = self.entries.get(name);
        let unsent = |e: &Entry| e.loan.is_some_and(|loan| loan.sent_ms.is_none());
        entry
            .is_some_and(|e| !e.unsent_ends.is_empty() || !e.unsent_crashes.is_empty() || unsent(e))
    }
}
