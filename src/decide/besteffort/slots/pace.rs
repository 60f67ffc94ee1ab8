//! The pace of the backend server, and which entries are told of it.

use std::time;

use crate::decide::besteffort::message::{EntryIncarnation, RunOutcome};
use crate::decide::besteffort::pace::observed::{self, Evidence};
use crate::decide::besteffort::slots::{millis, HeldRun, Slots, State};
use crate::decide::besteffort::told::Pace;

fn evidence_of_progress(held: &HeldRun) -> Option<Evidence> {
    let age = held.percent_at.saturating_sub(held.since);
    Evidence::of_progress(millis(held.start.estimate_ms), age, held.percent)
}

impl Slots {
    /// Returns the pace of the backend server; none before a run has shown it, or without the feature.
    pub fn pace(&self) -> Option<Pace> {
        self.pace.pace().filter(|_| self.features.pace)
    }

    /// Records what the runs in progress show.
    pub(super) fn observe_running(&mut self) {
        if self.features.pace {
            let running = self.held.values().filter(|h| h.state == State::Running);
            self.pace
                .set_running(running.filter_map(evidence_of_progress));
        }
    }

    /// Records a run that has ended. One that was stopped counts by its progress: entries stop slow runs
    /// first, and those that remain would make the backend server look faster.
    pub(super) fn observe_end(
        &mut self,
        held: &HeldRun,
        outcome: RunOutcome,
        took: time::Duration,
    ) {
        if !self.features.pace || !matches!(held.state, State::Running | State::StopConfirmed) {
            return;
        }
        let evidence = match outcome {
            RunOutcome::Done => Evidence::of_end(millis(held.start.estimate_ms), took),
            RunOutcome::Gone => evidence_of_progress(held),
            RunOutcome::Failed | RunOutcome::NotRun | RunOutcome::Rejected => None,
        };
        if let Some(evidence) = evidence {
            self.pace.record(evidence);
        }
    }

    /// Returns the pace if the entry has to be told of it, and counts it as told.
    pub(super) fn pace_to_tell(&mut self, name: &EntryIncarnation) -> Option<Pace> {
        let pace = self.pace()?;
        let entry = self.entries.get_mut(name)?;
        let is_news = observed::is_news(entry.told_pace, pace);
        is_news.then(|| {
            entry.told_pace = Some(pace);
            pace
        })
    }
}
