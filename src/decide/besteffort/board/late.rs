//! Work that is past its target when it arrives, with the feature `recovery`; see
//! [`recovery`](crate::decide::besteffort::recovery).

use std::time;

use crate::decide::besteffort::board::Board;
use crate::decide::besteffort::job::Submission;
use crate::decide::besteffort::recovery::late_work::{Change, Shares};

impl Board {
    /// Returns how long the caller of a job has presumably waited on earlier submissions.
    pub(super) fn earlier_wait(
        &mut self,
        now: time::Duration,
        submission: &Submission,
    ) -> time::Duration {
        let class = &submission.class;
        if !self.policy.features.recovery {
            let stated = submission.wait_shortfall;
            return self.earlier_waits.earlier_wait(class, stated);
        }
        let is_recent = self.returning.is_recent(now);
        let wait = submission.deadline.saturating_sub(now);
        let declared = submission.declared_run_time;
        let learned = self.usual_waits.shortfall(class, declared, wait, is_recent);
        // Most callers come again after a loss, which must not count as their habit.
        let by_class = if is_recent {
            submission.wait_shortfall
        } else {
            self.earlier_waits
                .earlier_wait(class, submission.wait_shortfall)
        };
        let earlier_wait = learned.unwrap_or_default().max(by_class);
        if is_recent {
            earlier_wait.mul_f64(self.policy.placement.earlier_wait_weight)
        } else {
            earlier_wait
        }
    }

    /// Returns the part of each backend server that late work leaves free.
    pub(super) fn share_kept_from_late(&self, now: time::Duration) -> f64 {
        let placement = &self.policy.placement;
        if !self.policy.features.recovery {
            return placement.share_kept_from_late;
        }
        let shares = Shares {
            usual: placement.share_kept_from_late,
            after_return: placement.share_kept_after_return,
        };
        self.returning.share_kept(now, &shares)
    }

    /// Notes that the time after the entry's start begins or ends, in which more room is kept for new work.
    pub(super) fn tick_return(&mut self, now: time::Duration) {
        if !self.policy.features.recovery {
            return;
        }
        let has_found_agents = self.has_found_agents(now);
        let kept = self.policy.placement.share_kept_after_return;
        let late = self.jobs.values().filter(|job| job.is_late()).count();
        match self.returning.tick(now, has_found_agents) {
            Some(Change::Begins) => {
                log::info!(kept = kept, late = late, agents = self.agents.len();
                "agents are found; room is kept for new work")
            }
            Some(Change::Ends) => log::info!(late = late, agents = self.agents.len();
                "room is no longer kept for new work"),
            None => {}
        }
    }
}
