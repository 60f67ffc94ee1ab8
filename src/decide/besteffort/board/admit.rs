//! Accepts or refuses new jobs, and turns jobs that can't meet their target any more into late work.

use std::collections::BTreeMap;
use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::admission::decision::{self, Decision, Forecast};
use crate::decide::besteffort::admission::known::{AgentRoom, Known};
use crate::decide::besteffort::admission::retry_after;
use crate::decide::besteffort::board::{Board, Counts, RETRY_AFTER};
use crate::decide::besteffort::job::{
    Job, JobNo, NotRunReason, Outcome, Submission, LATE_PRIORITY,
};
use crate::decide::besteffort::told::ClassDemand;
use crate::decide::besteffort::view::AgentView;
use crate::id;

/// Why a job is refused, and when its caller may submit it again.
type Refusal = (NotRunReason, time::Duration);

/// A service and the required label: jobs that have both in common compete for the same agents.
type Group = (CompactString, Option<CompactString>);

fn group(submission: &Submission) -> Group {
    (
        submission.service.clone(),
        submission.required_label.clone(),
    )
}

fn competes(a: &Submission, b: &Submission) -> bool {
    a.service == b.service && a.required_label == b.required_label
}

impl Counts {
    /// Counts by how much the wait until all tasks were sent differs from the forecast.
    pub(super) fn observe_forecast(
        &self,
        forecast: Option<time::Duration>,
        waited: time::Duration,
    ) {
        let Some(forecast) = forecast else {
            return;
        };
        let actual = if waited > forecast {
            "longer"
        } else {
            "shorter"
        };
        self.forecast_error
            .observe(&[("actual", actual)], waited.abs_diff(forecast));
    }
}

impl Board {
    /// Decides on a new job. Returns a refusal, or none where the job is accepted; it may be late work then.
    pub(super) fn admit(&mut self, now: time::Duration, job: &mut Job) -> Option<Refusal> {
        if let Some(refusal) = self.unservable(now, job) {
            return Some(refusal);
        }
        let Some(known) = self.known(now, job) else {
            return self.earlier_refusal(now, job);
        };
        let decision = decision::decide(&known, &self.policy.admission);
        let forecast = *decision.forecast();
        let is_late = matches!(decision, Decision::AcceptLate(_));
        let wait = if is_late {
            forecast.late_wait
        } else {
            forecast.wait
        };
        if self
            .stop_by
            .is_some_and(|by| now + wait + job.estimate * 2 > by)
        {
            return Some((NotRunReason::Stopping, RETRY_AFTER));
        }
        let is_hopeless = now + job.estimate > job.submission.deadline;
        match decision {
            Decision::Refuse(_) if is_hopeless || self.has_found_agents(now) => {
                self.count_decision(job, decision.name());
                return Some(self.refuse(job, &known, &forecast));
            }
            Decision::AcceptLate(_)
                if self.has_found_agents(now) && !self.late_outcomes.accepts(now) =>
            {
                self.count_decision(job, "refuse");
                return Some(self.refuse(job, &known, &forecast));
            }
            Decision::AcceptLate(_) if self.has_found_agents(now) => {
                self.log_late(now, job, Some((&known, &forecast)));
                job.become_late();
            }
            _ => {}
        }
        // Until the agents are found, jobs are accepted whatever the decision.
        let done = if job.is_late() {
            "accept_late"
        } else {
            "accept"
        };
        self.count_decision(job, done);
        job.forecast = Some(wait);
        None
    }

    /// Refuses a job that no backend server takes, however much room there is.
    fn unservable(&self, now: time::Duration, job: &Job) -> Option<Refusal> {
        let mut in_service = self.agents.values().filter(|v| v.is_in_service());
        if self.has_found_agents(now)
            && !in_service.any(|v| v.backend.service == job.submission.service)
        {
            return Some((NotRunReason::NoWorker, RETRY_AFTER));
        }
        if self.has_found_agents(now) && self.large_enough_agents(job).next().is_none() {
            let fitted_before = self
                .suitable_agents(job)
                .any(|v| v.largest_size.fits(&job.submission.need));
            let reason = if fitted_before {
                NotRunReason::Shrunk
            } else {
                NotRunReason::NoFit
            };
            return Some((reason, RETRY_AFTER));
        }
        None
    }

    /// Refuses a job by the forecast from this entry's own starts; see [`Board::forecast_wait`].
    fn earlier_refusal(&self, now: time::Duration, job: &Job) -> Option<Refusal> {
        let forecast = self.forecast_wait(now, job);
        let wait = forecast.wait;
        let ends_at = now + wait + job.estimate;
        if self.stop_by.is_some_and(|by| ends_at + job.estimate > by) {
            return Some((NotRunReason::Stopping, RETRY_AFTER));
        }
        let slack = job.latest_start.saturating_sub(now);
        let is_late = ends_at > job.submission.deadline
            || wait > slack.mul_f64(self.policy.admission.max_slack_used);
        let is_hopeless = now + job.estimate > job.submission.deadline;
        if is_hopeless || (is_late && self.has_found_agents(now)) {
            log::info!(job = job.submission.job.as_str(), wait_ms = wait.as_millis() as u64,
                slack_ms = slack.as_millis() as u64, ahead = forecast.room_ahead as u64,
                rate = forecast.room_rate as u64, room = forecast.fitting_tasks; "job would be late");
            return Some((NotRunReason::Overloaded, wait));
        }
        None
    }

    /// Gathers what is known for the decision on a job; none without the feature `demand`, and where no more
    /// than half of the agents that count have reported their load lately.
    fn known(&self, now: time::Duration, job: &Job) -> Option<Known> {
        if !self.policy.features.demand {
            return None;
        }
        let submission = &job.submission;
        let is_late = job.is_late() || now > job.latest_start;
        let slack = if is_late {
            job.allowed_wait()
        } else {
            job.latest_start.saturating_sub(now)
        };
        let mut known = Known {
            own: job.total_room(),
            reach: self.reach_factor(now),
            run_time: job.estimate,
            slack,
            is_late,
            left: submission.deadline.saturating_sub(now),
            class_wait: submission.deadline.saturating_sub(job.arrived_at)
                + submission.wait_shortfall,
            ..Known::default()
        };
        let agents = self.large_enough_agents(job);
        let need = submission.need.cpu;
        self.add_agents(now, &mut known, agents, submission.priority, need, |_| true)?;
        let key = (submission.priority, now + slack, JobNo::MAX, 0);
        let latest = submission.deadline.saturating_sub(job.estimate);
        let late_key = (LATE_PRIORITY, latest, JobNo::MAX, 0);
        for queued in &self.queue {
            let Some(other) = self.jobs.get(&queued.2) else {
                continue;
            };
            if !competes(submission, &other.submission) {
                continue;
            }
            let need = other.submission.need.cpu as f64;
            if *queued < late_key {
                known.all.here += need;
            }
            if *queued < key {
                known.ahead.here += need;
            }
        }
        Some(known)
    }

    /// Adds the agents that have reported their load lately, with the classes for which `counts` holds. Returns none
    /// where they are no more than half of those that were heard lately.
    fn add_agents<'a>(
        &self,
        now: time::Duration,
        known: &mut Known,
        agents: impl Iterator<Item = &'a AgentView>,
        priority: u32,
        need: i64,
        counts: impl Fn(&ClassDemand) -> bool,
    ) -> Option<()> {
        let max_age = self.bounds.silence;
        let kept = self.share_kept_from_late(now);
        let run_seconds = self
            .flow
            .mean_run_seconds(now, known.run_time.as_secs_f64());
        let (mut reported, mut unreported) = (0_u32, 0_u32);
        for view in agents.filter(|view| now.saturating_sub(view.heard_at) <= max_age) {
            let Some((classes, age)) = view.demand(now, max_age) else {
                unreported += 1;
                continue;
            };
            reported += 1;
            let free = if view.accepts_tasks(now) {
                view.free().cpu
            } else {
                0
            };
            let classes: Vec<ClassDemand> = classes.iter().filter(|c| counts(c)).copied().collect();
            let agent = AgentRoom {
                free,
                size: view.backend.size.cpu,
                frees_per_s: view.frees_per_s(),
                classes: &classes,
                age,
            };
            known.add_agent(&agent, priority, need, kept, run_seconds);
        }
        // Agents without a recent report count as loaded like the others, so that one agent without a report
        // doesn't void those of all others.
        known.reach *= 1.0 + f64::from(unreported) / f64::from(reported.max(1));
        (reported > unreported).then_some(())
    }

    fn count_decision(&mut self, job: &Job, decision: &'static str) {
        let key = (job.submission.class.clone(), decision);
        *self.counts.decisions.entry(key).or_default() += 1;
    }

    /// Logs why a job is refused, and returns the refusal.
    fn refuse(&self, job: &Job, known: &Known, f: &Forecast) -> Refusal {
        let id = job.submission.job.as_str();
        let retry = retry_after::retry_after(known, f, id, &self.policy.admission);
        let ms = |d: time::Duration| d.as_millis() as u64;
        log::info!(job = id, class = job.submission.class.as_str(), late = known.is_late,
            wait_ms = ms(f.wait), slack_ms = ms(known.slack), late_wait_ms = ms(f.late_wait), left_ms = ms(known.left),
            run_ms = ms(known.run_time), need = known.own as u64, room = known.fitting_tasks, reach = known.reach,
            freed = known.freed_per_s as u64, rate = f.rate as u64,
            ahead = known.ahead.here as u64, others = known.ahead.at_others as u64, free = known.ahead.free as u64, urgent = known.ahead.started_per_s as u64,
            all_ahead = known.all.here as u64, all_others = known.all.at_others as u64, all_free = known.all.free as u64, all_urgent = known.all.started_per_s as u64,
            age_ms = ms(known.age), retry_ms = ms(retry); "job can't end before its caller's deadline");
        (NotRunReason::Overloaded, retry)
    }

    /// Logs that a job is late work, with the forecast where one decided.
    fn log_late(&self, now: time::Duration, job: &Job, forecast: Option<(&Known, &Forecast)>) {
        let ms = |d: time::Duration| d.as_millis() as u64;
        let id = job.submission.job.as_str();
        let class = job.submission.class.as_str();
        let left = ms(job.submission.deadline.saturating_sub(now));
        match forecast {
            Some((known, f)) => log::info!(job = id, class = class, wait_ms = ms(f.wait),
                slack_ms = ms(known.slack), late_wait_ms = ms(f.late_wait), left_ms = left, age_ms = ms(known.age);
                "job is late work"),
            None => log::info!(job = id, class = class, left_ms = left; "job is late work"),
        }
    }

    /// Turns jobs that can't meet their target or end before their callers' deadline any more, and of which nothing
    /// has run, into late work. Refuses late work that can't end before its caller's deadline. A job that was
    /// accepted is refused only then: its caller has waited already, and a late answer is worth more than none.
    pub(super) fn review_late_work(&mut self, now: time::Duration) {
        let is_missed = |job: &Job| {
            let ends_late = now + job.estimate > job.submission.deadline;
            job.is_past_latest_start(now) || (ends_late && job.has_run_nothing())
        };
        let missed = self
            .jobs
            .iter()
            .filter(|(no, job)| !job.is_late() && is_missed(job) && !self.is_parked(**no));
        let missed = missed.map(|(no, job)| (*no, job.has_run_nothing()));
        let (refused, late): (Vec<_>, Vec<_>) = if self.late_outcomes.accepts(now) {
            (Vec::new(), missed.collect())
        } else {
            missed.partition(|(_, has_run_nothing)| *has_run_nothing)
        };
        for (no, _) in late {
            self.make_late(now, no);
        }
        // A scan of the queue for each refused job would cost the square of the queue when many are refused at once.
        let mut by_class: BTreeMap<(CompactString, Group), Option<Known>> = BTreeMap::new();
        let mut without_chance = self.late_jobs_without_chance(now);
        without_chance.extend(refused.iter().map(|(no, _)| (*no, 0.0)));
        for (no, ahead) in without_chance {
            let Some(job) = self.jobs.get(&no) else {
                continue;
            };
            let key = (job.submission.class.clone(), group(&job.submission));
            let known = by_class.entry(key).or_insert_with(|| self.known(now, job));
            let refusal = known.map(|mut known| {
                known.own = job.total_room();
                known.left = job.submission.deadline.saturating_sub(now);
                known.all.here = ahead;
                let decision = decision::decide(&known, &self.policy.admission);
                self.refuse(job, &known, decision.forecast())
            });
            let (reason, retry) = refusal.unwrap_or((NotRunReason::Overloaded, RETRY_AFTER));
            self.finish_job(now, no, Outcome::NotRun(reason, retry));
        }
    }

    fn make_late(&mut self, now: time::Duration, no: JobNo) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let waiting: Vec<id::TaskIndex> = (0..job.submission.tasks)
            .filter(|task| self.queue.remove(&job.queue_key(no, *task)))
            .collect();
        job.become_late();
        job.forecast = None;
        for task in waiting {
            self.queue.insert(job.queue_key(no, task));
        }
        let key = (job.submission.class.clone(), "became_late");
        *self.counts.decisions.entry(key).or_default() += 1;
        if let Some(job) = self.jobs.get(&no) {
            self.log_late(now, job, None);
        }
    }

    /// Returns the late jobs of which nothing has run and that can't end before their callers' deadline, each with
    /// the room that the work ahead of it here needs. They are judged by the room that work in time leaves, also at
    /// other entries; how their late work shares it isn't known and doesn't count.
    fn late_jobs_without_chance(&self, now: time::Duration) -> Vec<(JobNo, f64)> {
        let first = (LATE_PRIORITY, time::Duration::ZERO, 0, 0);
        let mut tasks: BTreeMap<(time::Duration, JobNo), f64> = BTreeMap::new();
        for (_, latest, no, _) in self.queue.range(first..) {
            *tasks.entry((*latest, *no)).or_default() += 1.0;
        }
        if tasks.is_empty() {
            return Vec::new();
        }
        let mut in_time: BTreeMap<Group, f64> = BTreeMap::new();
        let jobs = self.queue.range(..first);
        for job in jobs.filter_map(|(.., no, _)| self.jobs.get(no)) {
            let need = job.submission.need.cpu as f64;
            *in_time.entry(group(&job.submission)).or_default() += need;
        }
        // What is known for each group, and the room that the work ahead needs.
        let mut groups: BTreeMap<Group, (Option<Known>, f64)> = BTreeMap::new();
        let mut without_chance = Vec::new();
        for ((_, no), count) in tasks {
            let Some(job) = self.jobs.get(&no) else {
                continue;
            };
            let (known, ahead) = groups
                .entry(group(&job.submission))
                .or_insert_with_key(|key| {
                    let ahead = in_time.get(key).copied().unwrap_or_default();
                    (self.known_of_late_work(now, job), ahead)
                });
            let need = job.submission.need.cpu as f64 * count;
            let ends_late = known.is_some_and(|mut known| {
                known.all.here = *ahead;
                known.own = need;
                known.run_time = job.estimate;
                let wait = decision::late_wait(&known, &self.policy.admission);
                now + wait + job.estimate > job.submission.deadline
            });
            if job.has_run_nothing() && (job.is_past_latest_start(now) || ends_late) {
                without_chance.push((no, *ahead));
            } else {
                *ahead += need;
            }
        }
        without_chance
    }

    /// Gathers what is known of the room for late work at the agents that suit a job.
    fn known_of_late_work(&self, now: time::Duration, job: &Job) -> Option<Known> {
        if !self.has_found_agents(now) {
            return None;
        }
        let mut known = Known {
            reach: self.reach_factor(now),
            run_time: job.estimate,
            ..Known::default()
        };
        let (agents, need) = (self.suitable_agents(job), job.submission.need.cpu);
        let is_in_time = |class: &ClassDemand| class.priority < LATE_PRIORITY;
        self.add_agents(now, &mut known, agents, LATE_PRIORITY, need, is_in_time)?;
        Some(known)
    }

    /// Counts the queued tasks of late work, for which no agent is asked for room.
    pub(super) fn late_tasks_unasked(&self) -> usize {
        if !self.policy.features.demand {
            return 0;
        }
        let first = (LATE_PRIORITY, time::Duration::ZERO, 0, 0);
        self.queue.range(first..).count()
    }
}
