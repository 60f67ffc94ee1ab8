//! Chooses the agent for a task, and forecasts how long a job waits.
//!
//! Under the usual load and in bursts alike, work waits at the entry, ordered by the urgency of its class and
//! then by the latest start that still meets its target. A task goes to an agent only when the agent has
//! room, so that no queue builds up behind a slow backend server. Among the agents with room where the task
//! is expected to end about as early as anywhere, [`draw`] picks one at random.

use std::collections::BTreeSet;
use std::ops;
use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::board::{Action, Board};
use crate::decide::besteffort::crashes;
use crate::decide::besteffort::draw;
use crate::decide::besteffort::job::{Job, JobNo, PlacedRun, State, Task, LATE_PRIORITY};
use crate::decide::besteffort::message::Start;
use crate::decide::besteffort::pace::matching::Choice;
use crate::decide::besteffort::view::AgentView;
use crate::id;

/// Lower bound of the mean run time in the forecast, in seconds; keeps the rate finite.
const MIN_RUN_SECONDS: f64 = 0.001;

/// Longest wait that is forecast, in seconds.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// The forecast of a new job's wait, and the figures behind it.
#[derive(Clone, Copy, Debug)]
pub struct Forecast {
    /// How long its last task waits for room.
    pub wait: time::Duration,
    /// Room that the tasks ahead of it in the queue need, in thousandths of a core.
    pub room_ahead: f64,
    /// Room that this entry gets per second, less what more urgent work takes, in thousandths of a core.
    pub room_rate: f64,
    /// Number of tasks like the job's own that fit somewhere now.
    pub fitting_tasks: i64,
}

impl Board {
    /// Returns the agents in service whose backend servers may run a job, whatever their room.
    pub(super) fn suitable_agents<'a>(
        &'a self,
        job: &'a Job,
    ) -> impl Iterator<Item = &'a AgentView> {
        let in_service = self.agents.values().filter(|view| view.is_in_service());
        in_service.filter(|view| Board::is_suitable(job, view))
    }

    /// Returns the suitable agents whose backend servers, when idle, are large enough for a task of the job.
    pub(super) fn large_enough_agents<'a>(
        &'a self,
        job: &'a Job,
    ) -> impl Iterator<Item = &'a AgentView> {
        let suitable = self.suitable_agents(job);
        suitable.filter(|view| view.backend.size.fits(&job.submission.need))
    }

    fn is_suitable(job: &Job, view: &AgentView) -> bool {
        let submission = &job.submission;
        let has_label = |label: &CompactString| view.backend.labels.contains(label);
        view.backend.service == submission.service
            && submission.required_label.as_ref().is_none_or(has_label)
    }

    /// Forecasts how long a new job waits until all its tasks have room, from the room that the tasks ahead
    /// of it need and the rate at which this entry has lately got room.
    pub(super) fn forecast_wait(&self, now: time::Duration, job: &Job) -> Forecast {
        let (mut share, mut fitting) = (0.0, 0);
        for view in self.large_enough_agents(job) {
            let rate = view.backend.size.cpu as f64 / self.slowness(&view.agent).max(1.0);
            share += rate / f64::from(view.competing_entries);
            fitting += view.free().cpu.max(0) / job.submission.need.cpu.max(1);
        }
        let key = job.queue_key(JobNo::MAX, 0);
        let room_ahead: f64 = self
            .queue
            .range(..key)
            .filter_map(|(.., no, _)| self.jobs.get(no))
            .map(|other| other.submission.need.cpu as f64)
            .sum();
        let mut forecast = Forecast {
            wait: time::Duration::ZERO,
            room_ahead,
            room_rate: 0.0,
            fitting_tasks: fitting,
        };
        if room_ahead == 0.0 && fitting > 0 {
            return forecast;
        }
        let mean_seconds = self.flow.mean_run_seconds(now, job.estimate.as_secs_f64());
        let share = share * self.reach_factor(now);
        let rate = share * self.policy.admission.min_share / mean_seconds.max(MIN_RUN_SECONDS);
        let rate = self.flow.start_rate(now).max(rate);
        let urgent_rate = self.flow.more_urgent_rate(now, job.priority);
        forecast.room_rate = (rate - urgent_rate)
            .max(rate * self.policy.admission.min_rate_left)
            .max(1.0);
        let total_room = room_ahead + job.total_room();
        forecast.wait =
            time::Duration::from_secs_f64((total_room / forecast.room_rate).min(MAX_WAIT_SECONDS));
        forecast
    }

    /// Sends waiting tasks to agents that have room, and opens links to more agents where work still waits.
    pub(super) fn dispatch(&mut self, now: time::Duration) {
        if now < self.no_starts_until {
            return;
        }
        self.place_turn(now);
        self.place_waiting_tasks(now);
        self.open_extra_links(now);
    }

    fn place_waiting_tasks(&mut self, now: time::Duration) {
        let mut passed_over = 0;
        let mut waiting_in_time: BTreeSet<CompactString> = BTreeSet::new();
        let mut after = None;
        while passed_over < self.policy.placement.max_passed_over {
            let next = match after {
                None => self.queue.first().copied(),
                Some(key) => self
                    .queue
                    .range((ops::Bound::Excluded(key), ops::Bound::Unbounded))
                    .next()
                    .copied(),
            };
            let Some(key) = next else {
                return;
            };
            after = Some(key);
            // Late tasks that are smaller would take the room that a larger task in time waits for.
            let service = self.jobs.get(&key.2).map(|job| &job.submission.service);
            if key.0 == LATE_PRIORITY && service.is_some_and(|name| waiting_in_time.contains(name))
            {
                passed_over += 1;
                continue;
            }
            let passed = service
                .filter(|_| self.policy.features.demand && key.0 != LATE_PRIORITY)
                .cloned();
            if !self.place_task(now, key.2, key.3) {
                passed_over += 1;
                waiting_in_time.extend(passed);
            } else {
                self.queue.remove(&key);
            }
        }
    }

    pub(super) fn place_task(
        &mut self,
        now: time::Duration,
        no: JobNo,
        index: id::TaskIndex,
    ) -> bool {
        let Some(job) = self.jobs.get(&no) else {
            return true;
        };
        let Some(agent) = self.choose_agent(now, job, index) else {
            return false;
        };
        let Some(view) = self.agents.get_mut(&agent) else {
            return false;
        };
        let Some(link) = view.link else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&no) else {
            return true;
        };
        let suspicion = self.crashes.suspicion(&job.submission.job, index);
        let features = self.policy.features;
        let mut max_wait = self.policy.placement.max_wait_at_agent;
        if crashes::is_suspect(suspicion) {
            max_wait += crashes::PROBATION;
        }
        view.start_sent(job.submission.need, job.estimate);
        let number = job.next_run_number;
        job.next_run_number += 1;
        job.starts_sent += 1;
        job.first_start_at.get_or_insert(now);
        if job.starts_sent - job.starts_returned == job.submission.tasks {
            self.counts
                .observe_forecast(job.forecast.take(), now.saturating_sub(job.arrived_at));
        }
        let task = &mut job.tasks[index as usize];
        self.counts.starts_again += u64::from(task.last_agent.is_some());
        task.state = State::Placed(PlacedRun {
            agent,
            number,
            percent: 0,
            progressed_at: now,
            is_moving: false,
        });
        let start = Start {
            run: job.run(index, number),
            input: job.submission.input.clone(),
            need: job.submission.need,
            priority: job.priority,
            urgency_ms: job.latest_start.as_millis() as u64,
            deadline_ms: job.submission.deadline.as_millis() as u64,
            max_wait_ms: max_wait.as_millis() as u64,
            suspicion,
            estimate_ms: if features.tell_estimates() {
                job.estimate.as_millis() as u64
            } else {
                0
            },
        };
        self.flow
            .task_started(now, job.submission.need.cpu as f64, job.estimate);
        if features.demand {
            let (cpu, estimate) = (job.submission.need.cpu, job.estimate);
            self.turns.started(now, job.priority, cpu, estimate);
        }
        self.counts.starts += 1;
        self.actions.push(Action::Start(link, start));
        true
    }

    /// Picks one of the agents where the task is expected to end about as early as anywhere, at random in
    /// proportion to their free room; see [`draw`].
    fn choose_agent(
        &self,
        now: time::Duration,
        job: &Job,
        index: id::TaskIndex,
    ) -> Option<id::AgentId> {
        let task = &job.tasks[index as usize];
        let candidates = self.candidate_agents(now, job, task);
        let costs = candidates.iter().map(|(cost, _)| *cost);
        let (min_seconds, max_seconds) = if self.policy.features.pace {
            let costs: Vec<f64> = costs.collect();
            match self.match_speeds(now, job, &costs) {
                Choice::Between(min, max) => (min, max),
                Choice::Wait | Choice::None => return None,
            }
        } else {
            let first = costs.min_by(f64::total_cmp)?;
            let margin = job.estimate.as_secs_f64() * self.policy.placement.alike_margin;
            (first, first + margin)
        };
        let equal = candidates
            .iter()
            .filter(|(cost, _)| (min_seconds..=max_seconds).contains(cost));
        let seed = draw::seed(&job.run(index, job.next_run_number));
        let drawn = equal.map(|(_, view)| {
            let room = view.free().cpu as f64;
            (draw::weighted_key(seed, &view.agent, room), view)
        });
        let first = drawn.min_by(|(a, _), (b, _)| a.total_cmp(b));
        first.map(|(_, view)| view.agent.clone())
    }

    /// Returns the agents that a task may be sent to now, with its expected run time there in seconds.
    fn candidate_agents(
        &self,
        now: time::Duration,
        job: &Job,
        task: &Task,
    ) -> Vec<(f64, &AgentView)> {
        // A second failure on the same backend server may be the job's last, so the task waits for another
        // one.
        let failed_agent = task
            .last_agent
            .as_ref()
            .filter(|_| task.failed_runs > 0 && self.has_other_agent(job));
        let kept_from_late = self.share_kept_from_late(now);
        let is_candidate = |view: &&AgentView| {
            view.accepts_tasks(now)
                && Board::is_suitable(job, view)
                && self.has_room(now, job, view, kept_from_late)
                && failed_agent != Some(&view.agent)
                && self.is_below_worker_limit(job, view)
        };
        let seconds = |view: &AgentView, slowness: f64| {
            let seconds = self.expected_seconds(job, view, slowness);
            if task.last_agent.as_ref() == Some(&view.agent) {
                seconds * self.policy.placement.same_agent_factor
            } else {
                seconds
            }
        };
        // A task that was moved off a slow agent would be moved off the next one again.
        let decides_slow = !self.policy.features.pace || task.last_agent.is_some();
        let candidates = self.agents.values().filter(is_candidate);
        candidates
            .filter_map(|view| {
                let slowness = self.slowness(&view.agent);
                let is_slow = decides_slow && self.is_too_slow(now, job, slowness);
                (!is_slow).then(|| (seconds(view, slowness), view))
            })
            .collect()
    }

    /// Whether an agent has room for a task of the job. Late work leaves some room free, since work that can
    /// still be in time would otherwise have to wait until the late work ends, and gets none where such work
    /// waits at another entry.
    fn has_room(
        &self,
        now: time::Duration,
        job: &Job,
        view: &AgentView,
        kept_from_late: f64,
    ) -> bool {
        let mut free = view.free();
        if job.is_late() {
            if self.policy.features.demand && view.is_wanted_in_time(now, self.bounds.silence) {
                return false;
            }
            free.cpu -= (view.backend.size.cpu as f64 * kept_from_late) as i64;
        }
        free.fits(&job.submission.need)
    }

    fn has_other_agent(&self, job: &Job) -> bool {
        self.large_enough_agents(job).count() > 1
    }

    fn is_below_worker_limit(&self, job: &Job, view: &AgentView) -> bool {
        let Some(max) = job.submission.max_per_worker else {
            return true;
        };
        let placed_here = job.tasks.iter().filter(
            |task| matches!(&task.state, State::Placed(placed) if placed.agent == view.agent),
        );
        (placed_here.count() as u32) < max
    }

    fn is_too_slow(&self, now: time::Duration, job: &Job, slowness: f64) -> bool {
        slowness > self.policy.placement.slow_from
            && now + job.estimate.mul_f64(slowness) > job.latest_start + job.estimate
    }

    /// Returns the expected run time of a task at an agent with this slowness, in seconds.
    pub(super) fn expected_seconds(&self, job: &Job, view: &AgentView, slowness: f64) -> f64 {
        let mut seconds = job.estimate.as_secs_f64() * slowness;
        let near = job.submission.near_label.as_ref();
        if near.is_some_and(|label| !view.backend.labels.contains(label)) {
            seconds *= self.policy.placement.far_factor;
        }
        if view.failure_domain != self.failure_domain {
            seconds += self.policy.placement.other_domain_cost.as_secs_f64();
        }
        seconds
    }
}
