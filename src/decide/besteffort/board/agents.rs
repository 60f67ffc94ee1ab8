//! What an agent's messages, its silence and its return mean for the runs that it has.

use std::collections::BTreeSet;
use std::time;

use crate::decide::besteffort::board::{Action, Board};
use crate::decide::besteffort::job::{Job, JobNo, LinkNo, Outcome, PlacedRun, State};
use crate::decide::besteffort::message::{AgentMessage, Crash, Hello, Run, RunEnd, RunOutcome};
use crate::decide::besteffort::view::AgentView;
use crate::id;

/// How far a job's next run number is raised after a run that never began. The first run number comes from
/// a clock in milliseconds, so that this is one second.
const RUN_NUMBER_STEP: u64 = 1_000;

/// How long a process that was suspended waits for messages before it closes links to silent agents. Each
/// agent sends within one and a quarter heartbeats (150 ms), asked or not.
const RESUME_GRACE: time::Duration = time::Duration::from_millis(200);

/// Time without a new link after which the entry counts as linked to all agents that it can reach. A failed
/// connect of an agent and the pause after it take 130 ms.
const LINKS_QUIET_FOR: time::Duration = time::Duration::from_millis(150);

/// Longest time after the start that an entry waits for new links; machines that start together do so within
/// 300 ms.
const MAX_LINKS_WAIT: time::Duration = time::Duration::from_millis(800);

impl Board {
    /// Records that an agent has connected and has listed its runs of this entry. A run that it doesn't list
    /// is lost, and its task is queued again.
    pub fn agent_up(&mut self, now: time::Duration, link: LinkNo, hello: &Hello) {
        let known = self.agents.get(&hello.agent);
        if let Some(old) = known.and_then(|view| view.link) {
            self.links.remove(&old);
            self.actions.push(Action::Close(old));
        }
        let (agent, incarnation) = (hello.agent.clone(), hello.incarnation);
        log::info!(agent = agent.as_str(), life = incarnation, runs = hello.runs.len(); "agent is there");
        let view = self.agents.entry(agent.clone());
        let view = view.or_insert_with(|| {
            AgentView::open(self.policy.barring, agent.clone(), incarnation, now)
        });
        if view.incarnation != incarnation {
            // The backend server that an earlier incarnation of the agent announced may be unknown to this
            // one. The agent would return each start for it.
            *view = AgentView::open(self.policy.barring, agent.clone(), incarnation, now);
        }
        view.failure_domain = hello.failure_domain.clone();
        view.link_opened(link, now);
        self.subset.link_up(&agent);
        self.last_linked_at = Some(now);
        self.links.insert(link, agent.clone());
        self.runs_ended(now, &hello.ended);
        let kept_runs: BTreeSet<&Run> = hello.runs.iter().collect();
        self.requeue_missing_runs(now, &agent, |run| kept_runs.contains(run));
        for run in &hello.runs {
            if self.placed_run(run, &agent).is_none() {
                self.send_stop(now, &agent, run.clone());
            }
        }
    }

    /// Sends a stop to an agent; returns false if there is no link to it.
    pub(super) fn send_stop(&mut self, now: time::Duration, agent: &str, run: Run) -> bool {
        let Some(view) = self.agents.get_mut(agent) else {
            return false;
        };
        let Some(link) = view.link else {
            return false;
        };
        view.recent_stops.record(now, run.clone());
        self.actions.push(Action::Stop(link, run));
        true
    }

    /// Stops a run that an agent reports and this entry doesn't have, unless its stop may still be under way.
    /// Nothing else ends such a run while the link is up, and its task may run elsewhere.
    pub(super) fn stop_unknown_run(&mut self, now: time::Duration, agent: &str, run: &Run) {
        let is_stopped = |view: &AgentView| view.recent_stops.contains(now, run);
        if self.agents.get(agent).is_none_or(is_stopped) {
            return;
        }
        self.counts.unknown_runs += 1;
        log::warn!(job = run.job.as_str(), task = run.task, run = run.number, agent = agent;
            "agent reports a run that isn't known; stopping it");
        self.send_stop(now, agent, run.clone());
    }

    /// Whether the entry has had time to link to its agents since its start: no new link has come up for
    /// [`LINKS_QUIET_FOR`], or [`MAX_LINKS_WAIT`] has passed. Before that the entry knows too little of the
    /// room, and would refuse work that the next agent to connect accepts.
    pub fn has_found_agents(&self, now: time::Duration) -> bool {
        let has_waited_long = self
            .first_tick_at
            .is_some_and(|first_tick| now > first_tick + MAX_LINKS_WAIT);
        let is_quiet = self
            .last_linked_at
            .is_some_and(|last| now > last + LINKS_QUIET_FOR);
        has_waited_long || is_quiet
    }

    /// Requeues the tasks whose runs an agent no longer has; `still_has` tells which it still has.
    fn requeue_missing_runs(
        &mut self,
        now: time::Duration,
        agent: &str,
        still_has: impl Fn(&Run) -> bool,
    ) {
        let mut missing = Vec::new();
        for (no, job) in &self.jobs {
            let runs = job
                .placed_runs()
                .filter(|(_, placed)| placed.agent == agent);
            let lost = runs.filter(|(run, _)| !still_has(run));
            missing.extend(lost.map(|(run, _)| (*no, run)));
        }
        let missing_count = missing.len() as u32;
        for (no, run) in missing {
            self.counts.lost_runs += 1;
            self.requeue_task(now, no, run.task);
        }
        if let Some(view) = self.agents.get_mut(agent) {
            view.runs_ended(missing_count);
        }
    }

    /// Applies a message from an agent: its room, crashes, ended runs and progress. Then places waiting
    /// tasks.
    pub fn handle_message(&mut self, now: time::Duration, link: LinkNo, message: &AgentMessage) {
        let Some(agent) = self.links.get(&link).cloned() else {
            return;
        };
        if let Some(view) = self.agents.get_mut(&agent) {
            let before = view.backend.incarnation.clone();
            let was_in_service = view.is_in_service();
            view.update(now, message);
            if view.backend.incarnation != before {
                self.run_times.forget_agent(&agent);
            }
            if view.is_in_service() != was_in_service {
                log::info!(agent = agent.as_str(), takes_work = view.is_in_service(),
                    instance = view.backend.incarnation.id.as_str(), born_ms = view.backend.incarnation.born_ms; "agent changed its mind about new work");
            }
        }
        self.record_pace(&agent, message);
        self.record_crashes(now, &agent, &message.crashes);
        self.runs_ended(now, &message.ended);
        for progress in &message.progress {
            self.record_progress(now, &agent, progress);
        }
        self.resume_parked_jobs(now);
        self.dispatch(now);
        if let Some(view) = self.agents.get_mut(&agent) {
            view.return_lent_room();
        }
    }

    /// Records crashes of an agent's backend server, and fails the jobs whose tasks count as their cause
    /// before these tasks can start on another backend server.
    fn record_crashes(&mut self, now: time::Duration, agent: &str, crashes: &[Crash]) {
        let Some(incarnation) = self.agents.get(agent).map(|view| view.incarnation) else {
            return;
        };
        for crash in crashes {
            self.crashes.record(now, agent, incarnation, crash);
        }
        self.fail_crashing_jobs(now, crashes);
    }

    /// Fails the jobs suspected of one of `crashes` of which some task counts as a cause of crashes.
    pub(super) fn fail_crashing_jobs(&mut self, now: time::Duration, crashes: &[Crash]) {
        for name in crashes.iter().flat_map(Crash::suspects) {
            let Some(no) = self.find_job(&name.job) else {
                continue;
            };
            let Some(task) = self.crashes.cause_in(&name.job) else {
                continue;
            };
            if let Some(job) = self.jobs.get(&no) {
                self.log_crashing_job(job, task);
            }
            self.counts.crashing_jobs += 1;
            self.finish_job(now, no, Outcome::Failed);
        }
    }

    pub(super) fn log_crashing_job(&self, job: &Job, task: id::TaskIndex) {
        let id = job.submission.job.as_str();
        let agents = self.crashes.crashed_agents(id, task).join(",");
        log::warn!(job = id, class = job.submission.class.as_str(), task = task, agents = agents.as_str();
            "job is given up since backend servers crash under its task");
    }

    /// Records that the link to an agent has ended. The agent's runs may continue for
    /// [`Bounds::runs_end_within`](crate::decide::besteffort::lease::Bounds::runs_end_within).
    pub fn agent_down(&mut self, now: time::Duration, link: LinkNo) {
        let Some(agent) = self.links.remove(&link) else {
            return;
        };
        self.subset.link_down(now, &agent);
        let Some(view) = self.agents.get_mut(&agent) else {
            return;
        };
        view.link = None;
        if !self.subset.wants_link(&agent) {
            log::debug!(agent = agent.as_str(); "agent isn't linked to any more");
            return;
        }
        log::warn!(agent = agent.as_str(), runs = view.run_count,
            heard_ms_ago = now.saturating_sub(view.heard_at).as_millis() as u64; "agent is cut off");
    }

    fn runs_ended(&mut self, now: time::Duration, ends: &[RunEnd]) {
        for end in ends {
            self.run_ended(now, end);
        }
    }

    fn run_ended(&mut self, now: time::Duration, end: &RunEnd) {
        let Some(no) = self.by_id.get(&end.run.job).copied() else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(end.run.task as usize) else {
            return;
        };
        let State::Placed(placed) = &task.state else {
            return;
        };
        if placed.number != end.run.number {
            return;
        }
        let placed = placed.clone();
        let (class, estimate) = (job.submission.class.clone(), job.estimate);
        if let Some(view) = self.agents.get_mut(&placed.agent) {
            view.runs_ended(1);
        }
        match end.outcome {
            RunOutcome::Done => {
                task.state = State::Done;
                task.last_agent = Some(placed.agent.clone());
                job.unfinished_tasks -= 1;
                let left = job.unfinished_tasks;
                let took = time::Duration::from_millis(end.took_ms);
                self.run_times
                    .record_run(&class, &placed.agent, estimate, took);
                self.paces.record_own_run(&placed.agent);
                let labels = [("class", class.as_str())];
                self.counts.service_seconds.observe(&labels, took);
                if let Some(view) = self.agents.get_mut(&placed.agent) {
                    view.run_done();
                }
                if left == 0 {
                    self.finish_job(now, no, Outcome::Complete);
                }
            }
            RunOutcome::Failed => self.run_failed(now, no, &end.run, &placed),
            RunOutcome::Gone => {
                self.counts.lost_runs += u64::from(!placed.is_moving);
                self.requeue_task(now, no, end.run.task);
            }
            RunOutcome::NotRun | RunOutcome::Rejected => {
                // A backend server rejects a run number that is smaller than one that it knows. That happens
                // where the clock that the number came from was set back.
                job.next_run_number += RUN_NUMBER_STEP;
                job.starts_returned += u32::from(self.policy.features.demand);
                self.counts.bounced += 1;
                if let Some(view) = self.agents.get_mut(&placed.agent) {
                    view.had_no_room(now);
                    if end.outcome == RunOutcome::Rejected && view.run_failed(now) {
                        log::warn!(agent = placed.agent.as_str(), why = "rejects"; "agent is barred");
                    }
                }
                self.requeue_task(now, no, end.run.task);
            }
        }
    }

    fn run_failed(&mut self, now: time::Duration, no: JobNo, run: &Run, placed: &PlacedRun) {
        self.counts.failed_runs += 1;
        let barred = self
            .agents
            .get_mut(&placed.agent)
            .is_some_and(|v| v.run_failed(now));
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let task = &mut job.tasks[run.task as usize];
        task.failed_runs += 1;
        log::warn!(job = run.job.as_str(), task = run.task, run = run.number,
            agent = placed.agent.as_str(), failed = task.failed_runs, attempts = job.submission.max_attempts,
            barred = barred; "run failed");
        if task.failed_runs >= job.submission.max_attempts {
            self.finish_job(now, no, Outcome::Failed);
        } else {
            self.requeue_task(now, no, run.task);
        }
    }

    fn requeue_task(&mut self, now: time::Duration, no: JobNo, index: id::TaskIndex) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let key = job.queue_key(no, index);
        let task = &mut job.tasks[index as usize];
        if let State::Placed(placed) = &task.state {
            task.last_agent = Some(placed.agent.clone());
        }
        task.state = State::Waiting;
        if now < job.submission.deadline {
            self.queue.insert(key);
        }
    }

    /// Returns a run and its job's number if the entry has placed the run on this agent.
    pub(super) fn placed_run(&mut self, run: &Run, agent: &str) -> Option<(JobNo, &mut PlacedRun)> {
        let no = *self.by_id.get(&run.job)?;
        let job = self.jobs.get_mut(&no)?;
        match &mut job.tasks.get_mut(run.task as usize)?.state {
            State::Placed(placed) if placed.agent == agent && placed.number == run.number => {
                Some((no, placed))
            }
            _ => None,
        }
    }

    /// Closes the links to silent agents, but not right after this process was suspended. What the agents
    /// sent meanwhile still waits in the sockets, and after closing the links the entry couldn't tell which
    /// of their runs continue.
    pub(super) fn close_silent_links(&mut self, now: time::Duration) {
        if now < self.resumed_at + RESUME_GRACE {
            return;
        }
        let silent = self
            .agents
            .values()
            .filter(|v| now.saturating_sub(v.heard_at) > self.bounds.silence);
        let silent: Vec<LinkNo> = silent.filter_map(|view| view.link).collect();
        for link in silent {
            self.actions.push(Action::Close(link));
            self.agent_down(now, link);
        }
    }

    /// Forgets agents that have been without a link for so long that nothing runs there, and requeues the
    /// tasks that they had.
    pub(super) fn drop_abandoned_agents(&mut self, now: time::Duration) {
        let unlinked = self.agents.values().filter(|view| view.link.is_none());
        let abandoned =
            unlinked.filter(|v| now.saturating_sub(v.heard_at) > self.bounds.runs_end_within());
        let abandoned: Vec<id::AgentId> = abandoned.map(|view| view.agent.clone()).collect();
        for agent in abandoned {
            self.requeue_missing_runs(now, &agent, |_| false);
            self.agents.remove(&agent);
            self.run_times.forget_agent(&agent);
        }
    }
}
