//! What the word, the silence and the return of an agent mean for the tasks that it has.

use std::collections::BTreeSet;
use std::time;

use crate::decide::besteffort::board::{Action, Board};
use crate::decide::besteffort::job::{Job, JobNo, LinkNo, Outcome, PlacedRun, State};
use crate::decide::besteffort::message::{AgentMessage, Crash, Hello, Run, RunEnd, RunOutcome};
use crate::decide::besteffort::view::AgentView;
use crate::id;

/// How far run numbers jump after a start that didn't begin; a second's worth.
const RUN_STEP: u64 = 1_000;

/// How long a process that stood still listens before it gives up agents that it hasn't heard: each
/// speaks within one and a quarter heartbeats (150 ms), asked or not.
const HEARD_AGAIN: time::Duration = time::Duration::from_millis(200);

/// Time without a new agent after which an entry has found those that are there: a failed connect of an
/// agent and the pause after it take 130 ms.
const QUIET: time::Duration = time::Duration::from_millis(150);

/// Longest that this is waited for after the start; machines that start together do so within 300 ms.
const SETTLES_WITHIN: time::Duration = time::Duration::from_millis(800);

impl Board {
    /// An agent has connected and said what it has of ours. What it doesn't name doesn't run.
    pub fn agent_up(&mut self, now: time::Duration, link: LinkNo, hello: &Hello) {
        let known = self.agents.get(&hello.agent);
        if let Some(old) = known.and_then(|view| view.link) {
            self.links.remove(&old);
            self.actions.push(Action::Close(old));
        }
        let (agent, life) = (hello.agent.clone(), hello.incarnation);
        log::info!(agent = agent.as_str(), life = life, runs = hello.runs.len(); "agent is there");
        let view = self.agents.entry(agent.clone());
        let view =
            view.or_insert_with(|| AgentView::open(self.policy.bar, agent.clone(), life, now));
        if view.life != life {
            // What an earlier life said of its backend server isn't this one's word: starts would go to
            // an agent that knows of none, and come back one after the other.
            *view = AgentView::open(self.policy.bar, agent.clone(), life, now);
        }
        view.failure_domain = hello.failure_domain.clone();
        view.linked(link, now);
        self.subset.up(&agent);
        self.last_linked = Some(now);
        self.links.insert(link, agent.clone());
        self.ended(now, &hello.ended);
        let here: BTreeSet<&Run> = hello.runs.iter().collect();
        self.settle_runs(now, &agent, |run| here.contains(run));
        for run in &hello.runs {
            if self.placed(run, &agent).is_none() {
                self.actions.push(Action::Stop(link, run.clone()));
            }
        }
    }

    /// Whether the agents have found this entry after its start: none has come for a moment. Before that
    /// its own view of the room tells little, and work is refused that the next agent would take.
    pub fn is_settled(&self, now: time::Duration) -> bool {
        let longest = self.born.is_some_and(|born| now > born + SETTLES_WITHIN);
        let quiet = self.last_linked.is_some_and(|last| now > last + QUIET);
        longest || quiet
    }

    /// Takes back every run of an agent that isn't there any more.
    fn settle_runs(&mut self, now: time::Duration, agent: &str, is_there: impl Fn(&Run) -> bool) {
        let mut gone = Vec::new();
        for (no, job) in &self.jobs {
            let runs = job.runs().filter(|(_, placed)| placed.agent == agent);
            let lost = runs.filter(|(run, _)| !is_there(run));
            gone.extend(lost.map(|(run, _)| (*no, run)));
        }
        let here = gone.len() as u32;
        for (no, run) in gone {
            self.counts.lost += 1;
            self.requeue(now, no, run.task);
        }
        if let Some(view) = self.agents.get_mut(agent) {
            view.ended(here);
        }
    }

    /// A line of an agent.
    pub fn heard(&mut self, now: time::Duration, link: LinkNo, line: &AgentMessage) {
        let Some(agent) = self.links.get(&link).cloned() else {
            return;
        };
        if let Some(view) = self.agents.get_mut(&agent) {
            let before = view.backend.incarnation.clone();
            let took = view.is_there();
            view.heard(now, line);
            if view.backend.incarnation != before {
                self.learned.forget(&agent);
            }
            if view.is_there() != took {
                log::info!(agent = agent.as_str(), takes_work = view.is_there(),
                    instance = view.backend.incarnation.id.as_str(), born_ms = view.backend.incarnation.born_ms; "agent changed its mind about new work");
            }
        }
        self.crashed(now, &agent, &line.crashes);
        self.ended(now, &line.ended);
        for progress in &line.progress {
            self.progress(now, &agent, progress);
        }
        self.unpark(now);
        self.dispatch(now);
        if let Some(view) = self.agents.get_mut(&agent) {
            view.give_back();
        }
    }

    /// Backend servers have crashed. Jobs with a task that was there each time are given up, before the
    /// task can go to the next one.
    fn crashed(&mut self, now: time::Duration, agent: &str, crashes: &[Crash]) {
        let Some(life) = self.agents.get(agent).map(|view| view.life) else {
            return;
        };
        for crash in crashes {
            self.crashes.hear(now, agent, life, crash);
        }
        self.give_up_causes(now, crashes);
    }

    /// Gives up the jobs whose tasks have caused some crashes.
    pub(super) fn give_up_causes(&mut self, now: time::Duration, crashes: &[Crash]) {
        for name in crashes.iter().flat_map(Crash::suspects) {
            let Some(no) = self.find(&name.job) else {
                continue;
            };
            let Some(task) = self.crashes.cause_in(&name.job) else {
                continue;
            };
            if let Some(job) = self.jobs.get(&no) {
                self.log_crashing(job, task);
            }
            self.counts.crashing += 1;
            self.finish(now, no, Outcome::Failed);
        }
    }

    pub(super) fn log_crashing(&self, job: &Job, task: id::TaskIndex) {
        let id = job.ask.job.as_str();
        let agents = self.crashes.agents(id, task).join(",");
        log::warn!(job = id, class = job.ask.class.as_str(), task = task, agents = agents.as_str();
            "job is given up since backend servers crash under its task");
    }

    /// The link to an agent is gone. Its runs may go on until [`Bounds::abandoned`].
    pub fn agent_down(&mut self, now: time::Duration, link: LinkNo) {
        let Some(agent) = self.links.remove(&link) else {
            return;
        };
        self.subset.down(now, &agent);
        let Some(view) = self.agents.get_mut(&agent) else {
            return;
        };
        view.link = None;
        if !self.subset.wants(&agent) {
            log::debug!(agent = agent.as_str(); "agent isn't linked to any more");
            return;
        }
        log::warn!(agent = agent.as_str(), runs = view.runs,
            heard_ms_ago = now.saturating_sub(view.heard).as_millis() as u64; "agent is cut off");
    }

    fn ended(&mut self, now: time::Duration, ends: &[RunEnd]) {
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
        let (class, estimate) = (job.ask.class.clone(), job.estimate);
        if let Some(view) = self.agents.get_mut(&placed.agent) {
            view.ended(1);
        }
        match end.outcome {
            RunOutcome::Done => {
                task.state = State::Done;
                task.last = Some(placed.agent.clone());
                job.left -= 1;
                let left = job.left;
                let took = time::Duration::from_millis(end.took_ms);
                self.learned.done(&class, &placed.agent, estimate, took);
                let labels = [("class", class.as_str())];
                self.counts.served.observe(&labels, took);
                if let Some(view) = self.agents.get_mut(&placed.agent) {
                    view.done();
                }
                if left == 0 {
                    self.finish(now, no, Outcome::Complete);
                }
            }
            RunOutcome::Failed => self.run_failed(now, no, &end.run, &placed),
            RunOutcome::Gone => {
                self.counts.lost += u64::from(!placed.moving);
                self.requeue(now, no, end.run.task);
            }
            RunOutcome::NotRun | RunOutcome::Rejected => {
                // A run number that a backend server takes for an old one is too small because the
                // clock that it came from was set back.
                job.next_run += RUN_STEP;
                self.counts.bounced += 1;
                if let Some(view) = self.agents.get_mut(&placed.agent) {
                    view.turned_away(now);
                    if end.outcome == RunOutcome::Rejected && view.failed(now) {
                        log::warn!(agent = placed.agent.as_str(), why = "rejects"; "agent is barred");
                    }
                }
                self.requeue(now, no, end.run.task);
            }
        }
    }

    fn run_failed(&mut self, now: time::Duration, no: JobNo, run: &Run, placed: &PlacedRun) {
        self.counts.failed += 1;
        let barred = self
            .agents
            .get_mut(&placed.agent)
            .is_some_and(|v| v.failed(now));
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let task = &mut job.tasks[run.task as usize];
        task.failed += 1;
        log::warn!(job = run.job.as_str(), task = run.task, run = run.number,
            agent = placed.agent.as_str(), failed = task.failed, attempts = job.ask.attempts,
            barred = barred; "run failed");
        if task.failed >= job.ask.attempts {
            self.finish(now, no, Outcome::Failed);
        } else {
            self.requeue(now, no, run.task);
        }
    }

    fn requeue(&mut self, now: time::Duration, no: JobNo, index: id::TaskIndex) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let rank = job.rank(no, index);
        let task = &mut job.tasks[index as usize];
        if let State::Placed(placed) = &task.state {
            task.last = Some(placed.agent.clone());
        }
        task.state = State::Waiting;
        if now < job.ask.deadline {
            self.queue.insert(rank);
        }
    }

    /// A run that an agent has, by what is known here.
    pub(super) fn placed(&mut self, run: &Run, agent: &str) -> Option<(JobNo, &mut PlacedRun)> {
        let no = *self.by_id.get(&run.job)?;
        let job = self.jobs.get_mut(&no)?;
        match &mut job.tasks.get_mut(run.task as usize)?.state {
            State::Placed(placed) if placed.agent == agent && placed.number == run.number => {
                Some((no, placed))
            }
            _ => None,
        }
    }

    /// Gives up the links to agents that aren't heard. Not right after this process stood still: what
    /// they said meanwhile waits in the sockets, and cutting them off would put all that they run in
    /// doubt.
    pub(super) fn drop_silent(&mut self, now: time::Duration) {
        if now < self.woken_at + HEARD_AGAIN {
            return;
        }
        let silent = self
            .agents
            .values()
            .filter(|v| now.saturating_sub(v.heard) > self.bounds.silence);
        let silent: Vec<LinkNo> = silent.filter_map(|view| view.link).collect();
        for link in silent {
            self.actions.push(Action::Close(link));
            self.agent_down(now, link);
        }
    }

    /// Takes back the runs of agents that have been away for so long that nothing runs there.
    pub(super) fn settle_doubts(&mut self, now: time::Duration) {
        let away = self.agents.values().filter(|view| view.link.is_none());
        let over = away.filter(|v| now.saturating_sub(v.heard) > self.bounds.abandoned());
        let over: Vec<id::AgentId> = over.map(|view| view.agent.clone()).collect();
        for agent in over {
            self.settle_runs(now, &agent, |_| false);
            self.agents.remove(&agent);
            self.learned.forget(&agent);
        }
    }
}
