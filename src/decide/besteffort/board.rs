//! The best-effort jobs of one entry: who goes next, what an agent's word or silence means, and
//! when a job is answered.
//!
//! Events and `now` (time since boot, suspensions included) go in, [`Action`]s come out. Placement
//! stands in [`super::place`], moving work off sick workers in [`super::rescue`].

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time;

use crate::decide::besteffort::flow::Flow;
use crate::decide::besteffort::job::{
    Job, JobNo, LinkNo, NotRun, Outcome, Placed, Rank, State, Submission, Task,
};
use crate::decide::besteffort::learn::Learned;
use crate::decide::besteffort::lease::Bounds;
use crate::decide::besteffort::message::{Ended, FromAgent, Hello, How, JobId, Run, Start};
use crate::decide::besteffort::view::View;
use crate::id;
use crate::metrics;

/// When a caller may come back where no worker takes work: a worker that starts anew is known
/// after about a heartbeat of its own.
const RETRY_NO_WORKER: time::Duration = time::Duration::from_millis(1_000);

/// How long endings answer a submission that arrives once more; callers do so seconds later.
const KEEP_ENDINGS: time::Duration = time::Duration::from_secs(15);

/// Most endings that are kept; a few hundred bytes each.
const MAX_ENDINGS: usize = 4_000;

/// How long nothing is started after the process stood still: in that time the sockets tell which
/// callers have left meanwhile. Their jobs may already run elsewhere.
const SETTLE: time::Duration = time::Duration::from_millis(30);

/// Share of a job's slack that may be expected to pass in the queue. Under lasting overload the wait
/// settles at this bound; run times scatter by 0.4, and a task that starts at the very end of its
/// slack is late every other time.
const ADMITTED: f64 = 0.8;

/// Share of its slack after which a job of which nothing was started is refused after all, because
/// the wait turned out longer than expected. What would be late holds up what needn't be.
const HOPELESS: f64 = 1.0;

/// Run times over the estimate after which a job's ending names the agents that had its tasks.
const SLACK_OF_WIDTH: f64 = 1.5;

/// How far run numbers jump after a start that didn't begin; a second's worth.
const RUN_STEP: u64 = 1_000;

/// What the entry's driver should do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a start to an agent.
    Start(LinkNo, Start),
    /// Send a stop to an agent.
    Stop(LinkNo, Run),
    /// Answer a caller.
    Answer(JobNo, Outcome),
    /// Close the link to an agent that isn't heard.
    Close(LinkNo),
}

/// Counts since the start, for the metrics page.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Jobs by class and outcome.
    pub jobs: BTreeMap<(compact_str::CompactString, &'static str), u64>,
    /// Starts sent.
    pub starts: u64,
    /// Runs that came back without having begun.
    pub bounced: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that were moved off a slow or standing worker.
    pub moved: u64,
    /// Runs that were lost with an agent or its backend server.
    pub lost: u64,
    /// From a job's arrival to its answer, by outcome.
    pub took: metrics::Seconds,
    /// From a job's arrival to its first start, by class.
    pub waited: metrics::Seconds,
}

/// The state of an entry.
#[derive(Debug, Default)]
pub struct Board {
    bounds: Bounds,
    pub(super) agents: BTreeMap<id::AgentId, View>,
    pub(super) jobs: HashMap<JobNo, Job>,
    pub(super) queue: BTreeSet<Rank>,
    pub(super) flow: Flow,
    pub(super) learned: Learned,
    pub(super) actions: Vec<Action>,
    /// What entries did since the start.
    pub counts: Counts,
    pub(super) domain: compact_str::CompactString,
    links: HashMap<LinkNo, id::AgentId>,
    by_id: HashMap<JobId, JobNo>,
    endings: HashMap<JobId, Outcome>,
    endings_by_age: VecDeque<(time::Duration, JobId)>,
    next: JobNo,
    pub(super) settled_at: time::Duration,
    /// After which no job is taken, and by when all must have ended; none unless it stops.
    stopping: Option<(time::Duration, time::Duration)>,
}

/// What becomes of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admitted {
    /// It is a job; its answer comes as an [`Action::Answer`].
    Job(JobNo),
    /// It is answered at once.
    Answered(Outcome),
}

impl Board {
    /// Opens a board for an entry in a failure domain.
    pub fn open(domain: &str, bounds: Bounds) -> Board {
        Board {
            bounds,
            domain: domain.into(),
            ..Board::default()
        }
    }

    /// Takes a submission in, or refuses it at once if it can't be served.
    pub fn submit(&mut self, now: time::Duration, ask: Submission) -> Admitted {
        if let Some(no) = self.by_id.get(&ask.job) {
            return Admitted::Job(*no);
        }
        if let Some(outcome) = self.endings.get(&ask.job) {
            return Admitted::Answered(outcome.clone());
        }
        let estimate = self.learned.estimate(&ask.class, ask.declared);
        let job = Job::open(ask, now, estimate);
        if let Some((why, back)) = self.refusal(now, &job) {
            self.log_end(now, &job, &Outcome::NotRun(why, back));
            return Admitted::Answered(Outcome::NotRun(why, back));
        }
        self.next += 1;
        let no = self.next;
        self.by_id.insert(job.ask.job.clone(), no);
        for task in 0..job.ask.tasks {
            self.queue.insert(job.rank(no, task));
        }
        self.flow.came(now, job.ask.priority, job.room());
        self.jobs.insert(no, job);
        self.dispatch(now);
        Admitted::Job(no)
    }

    fn refusal(&self, now: time::Duration, job: &Job) -> Option<(NotRun, time::Duration)> {
        let mut there = self.agents.values().filter(|v| v.is_there());
        if !there.any(|v| v.backend.service == job.ask.service) {
            return Some((NotRun::NoWorker, RETRY_NO_WORKER));
        }
        let mut there = self.agents.values().filter(|v| v.is_there());
        if !there.any(|v| self.suits(job, v) && v.backend.size.fits(&job.ask.need)) {
            return Some((NotRun::NoFit, RETRY_NO_WORKER));
        }
        let forecast = self.forecast(now, job);
        let wait = forecast.wait;
        let end = now + wait + job.estimate;
        if let Some((last, by)) = self.stopping {
            if now > last || end + job.estimate > by {
                return Some((NotRun::Stopping, RETRY_NO_WORKER));
            }
        }
        let slack = job.latest.saturating_sub(now);
        if end > job.ask.deadline || wait > slack.mul_f64(ADMITTED) {
            log::info!(job = job.ask.job.as_str(), wait_ms = wait.as_millis() as u64,
                slack_ms = slack.as_millis() as u64, ahead = forecast.ahead as u64,
                rate = forecast.rate as u64, room = forecast.room; "job would be late");
            return Some((NotRun::Overloaded, wait));
        }
        None
    }

    /// No new job after `last`, nor one that may not have ended `by` then: it takes twice its
    /// estimate at times.
    pub fn stop_by(&mut self, last: time::Duration, by: time::Duration) {
        self.stopping = Some((last, by));
    }

    /// Gives up every job that hasn't ended, since the entry ends now.
    pub fn give_up_all(&mut self, now: time::Duration) {
        let all: Vec<JobNo> = self.jobs.keys().copied().collect();
        for no in all {
            self.finish(now, no, Outcome::GaveUp);
        }
    }

    /// The caller has left; nothing of its job runs on.
    pub fn caller_left(&mut self, now: time::Duration, no: JobNo) {
        if let Some(job) = self.jobs.get(&no) {
            log::info!(job = job.ask.job.as_str(), class = job.ask.class.as_str(),
                starts = job.starts, left = job.left; "caller left");
            self.withdraw(no);
            self.forget(no);
            self.dispatch(now);
        }
    }

    /// The number of a job that hasn't ended, by its id.
    pub fn find(&self, job: &str) -> Option<JobNo> {
        self.by_id.get(job).copied()
    }

    /// Jobs of a class of which nothing was started.
    pub fn pending(&self, class: &str) -> usize {
        let waiting = self.jobs.values().filter(|job| job.starts == 0);
        waiting.filter(|job| job.ask.class == class).count()
    }

    /// Jobs that haven't ended.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The process stood still for a while; see [`SETTLE`].
    pub fn stood_still(&mut self, now: time::Duration) {
        self.settled_at = now + SETTLE;
    }

    /// An agent has connected and said what it has of ours. What it doesn't name doesn't run.
    pub fn agent_up(&mut self, now: time::Duration, link: LinkNo, hello: &Hello) {
        let known = self.agents.get(&hello.agent);
        if let Some(old) = known.and_then(|view| view.link) {
            self.links.remove(&old);
            self.actions.push(Action::Close(old));
        }
        let (agent, life) = (hello.agent.clone(), hello.life);
        log::info!(agent = agent.as_str(), life = life, runs = hello.runs.len(); "agent is there");
        let view = self.agents.entry(agent.clone());
        let view = view.or_insert_with(|| View::open(agent.clone(), life, now));
        if view.life != life {
            // What an earlier life said of its backend server isn't this one's word: starts would go to
            // an agent that knows of none, and come back one after the other.
            *view = View::open(agent.clone(), life, now);
        }
        view.failure_domain = hello.failure_domain.clone();
        view.linked(link, now);
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

    /// Takes back every run of an agent that isn't there any more.
    fn settle_runs(&mut self, now: time::Duration, agent: &str, is_there: impl Fn(&Run) -> bool) {
        let mut gone = Vec::new();
        for (no, job) in &mut self.jobs {
            for (index, task) in job.tasks.iter_mut().enumerate() {
                let State::Placed(placed) = &mut task.state else {
                    continue;
                };
                let run = Run {
                    job: job.ask.job.clone(),
                    task: index as id::TaskIndex,
                    number: placed.number,
                };
                if placed.agent == agent && !is_there(&run) {
                    gone.push((*no, run));
                }
            }
        }
        let here = gone.len() as u32;
        for (no, run) in gone {
            self.counts.lost += 1;
            self.requeue(now, no, run.task);
        }
        if let Some(view) = self.agents.get_mut(agent) {
            view.runs = view.runs.saturating_sub(here);
        }
    }

    /// A line of an agent.
    pub fn heard(&mut self, now: time::Duration, link: LinkNo, line: &FromAgent) {
        let Some(agent) = self.links.get(&link).cloned() else {
            return;
        };
        if let Some(view) = self.agents.get_mut(&agent) {
            let before = view.backend.instance.clone();
            let took = view.is_there();
            view.heard(now, line);
            if view.backend.instance != before {
                self.learned.forget(&agent);
            }
            if view.is_there() != took {
                log::info!(agent = agent.as_str(), takes_work = view.is_there(),
                    instance = view.backend.instance.as_str(); "agent changed its mind about new work");
            }
        }
        self.ended(now, &line.ended);
        for progress in &line.progress {
            self.progress(now, &agent, progress);
        }
        self.dispatch(now);
    }

    /// The link to an agent is gone. Its runs may go on until [`Bounds::abandoned`].
    pub fn agent_down(&mut self, now: time::Duration, link: LinkNo) {
        let Some(agent) = self.links.remove(&link) else {
            return;
        };
        let Some(view) = self.agents.get_mut(&agent) else {
            return;
        };
        view.link = None;
        log::warn!(agent = agent.as_str(), runs = view.runs,
            heard_ms_ago = now.saturating_sub(view.heard).as_millis() as u64; "agent is cut off");
    }

    fn ended(&mut self, now: time::Duration, ends: &[Ended]) {
        for end in ends {
            self.run_ended(now, end);
        }
    }

    fn run_ended(&mut self, now: time::Duration, end: &Ended) {
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
            view.runs = view.runs.saturating_sub(1);
        }
        match end.how {
            How::Done => {
                task.state = State::Done;
                task.last = Some(placed.agent.clone());
                job.left -= 1;
                let left = job.left;
                let took = time::Duration::from_millis(end.took_ms);
                self.learned.done(&class, &placed.agent, estimate, took);
                if let Some(view) = self.agents.get_mut(&placed.agent) {
                    view.done();
                }
                if left == 0 {
                    self.finish(now, no, Outcome::Complete);
                }
            }
            How::Failed => self.run_failed(now, no, &end.run, &placed),
            How::Gone => {
                self.counts.lost += u64::from(!placed.moving);
                self.requeue(now, no, end.run.task);
            }
            How::NotRun | How::Rejected => {
                // A run number that a backend server takes for an old one is too small because the
                // clock that it came from was set back.
                job.next_run += RUN_STEP;
                self.counts.bounced += 1;
                if let Some(view) = self.agents.get_mut(&placed.agent) {
                    view.turned_away(now);
                    if end.how == How::Rejected && view.failed(now) {
                        log::warn!(agent = placed.agent.as_str(), why = "rejects"; "agent is barred");
                    }
                }
                self.requeue(now, no, end.run.task);
            }
        }
    }

    fn run_failed(&mut self, now: time::Duration, no: JobNo, run: &Run, placed: &Placed) {
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

    pub(super) fn requeue(&mut self, now: time::Duration, no: JobNo, index: id::TaskIndex) {
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

    fn placed(&self, run: &Run, agent: &str) -> Option<&Placed> {
        let job = self.jobs.get(self.by_id.get(&run.job)?)?;
        match &job.tasks.get(run.task as usize)?.state {
            State::Placed(placed) if placed.agent == agent && placed.number == run.number => {
                Some(placed)
            }
            _ => None,
        }
    }

    pub(super) fn placed_mut(&mut self, run: &Run, agent: &str) -> Option<(JobNo, &mut Placed)> {
        let no = *self.by_id.get(&run.job)?;
        let job = self.jobs.get_mut(&no)?;
        match &mut job.tasks.get_mut(run.task as usize)?.state {
            State::Placed(placed) if placed.agent == agent && placed.number == run.number => {
                Some((no, placed))
            }
            _ => None,
        }
    }

    /// Looks at every time bound. To be called more often than any of them matters.
    pub fn tick(&mut self, now: time::Duration) {
        self.drop_silent(now);
        self.settle_doubts(now);
        self.give_up(now);
        self.refuse_hopeless(now);
        self.learned.compare();
        self.forget_endings(now);
        self.dispatch(now);
    }

    fn drop_silent(&mut self, now: time::Duration) {
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
    fn settle_doubts(&mut self, now: time::Duration) {
        let away = self.agents.values().filter(|view| view.link.is_none());
        let over = away.filter(|v| now.saturating_sub(v.heard) > self.bounds.abandoned());
        let over: Vec<id::AgentId> = over.map(|view| view.agent.clone()).collect();
        for agent in over {
            self.settle_runs(now, &agent, |_| false);
            self.agents.remove(&agent);
            self.learned.forget(&agent);
        }
    }

    fn give_up(&mut self, now: time::Duration) {
        let late = self.jobs.iter().filter(|(_, job)| now >= job.ask.deadline);
        let late: Vec<JobNo> = late.map(|(no, _)| *no).collect();
        for no in late {
            self.finish(now, no, Outcome::GaveUp);
        }
    }

    /// Refuses jobs that have waited in vain; callers do better to come back.
    fn refuse_hopeless(&mut self, now: time::Duration) {
        let hopeless = self.queue.iter().filter_map(|(.., no, task)| {
            let job = self
                .jobs
                .get(no)
                .filter(|job| job.starts == 0 && *task == 0)?;
            let slack = job.latest.saturating_sub(job.arrived);
            (now > job.arrived + slack.mul_f64(HOPELESS)).then_some(*no)
        });
        let hopeless: Vec<JobNo> = hopeless.collect();
        for no in hopeless {
            self.finish(now, no, Outcome::GaveUp);
        }
    }

    /// Ends a job: stops what still runs and answers its caller.
    pub(super) fn finish(&mut self, now: time::Duration, no: JobNo, outcome: Outcome) {
        self.withdraw(no);
        let Some(job) = self.forget(no) else {
            return;
        };
        let outcome = match outcome {
            Outcome::GaveUp if job.starts == 0 => {
                Outcome::NotRun(NotRun::Overloaded, RETRY_NO_WORKER)
            }
            other => other,
        };
        self.log_end(now, &job, &outcome);
        if matches!(outcome, Outcome::Complete | Outcome::Failed) {
            self.endings.insert(job.ask.job.clone(), outcome.clone());
            self.endings_by_age.push_back((now, job.ask.job));
        }
        self.actions.push(Action::Answer(no, outcome));
    }

    fn forget(&mut self, no: JobNo) -> Option<Job> {
        let job = self.jobs.remove(&no)?;
        self.by_id.remove(&job.ask.job);
        for task in 0..job.ask.tasks {
            self.queue.remove(&job.rank(no, task));
        }
        Some(job)
    }

    /// Stops all that runs of a job.
    fn withdraw(&mut self, no: JobNo) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        for (index, task) in job.tasks.iter().enumerate() {
            let State::Placed(placed) = &task.state else {
                continue;
            };
            let run = Run {
                job: job.ask.job.clone(),
                task: index as id::TaskIndex,
                number: placed.number,
            };
            let Some(view) = self.agents.get_mut(&placed.agent) else {
                continue;
            };
            view.runs = view.runs.saturating_sub(1);
            if let Some(link) = view.link {
                self.actions.push(Action::Stop(link, run));
            }
        }
    }

    fn forget_endings(&mut self, now: time::Duration) {
        let old = |at: time::Duration| now.saturating_sub(at) > KEEP_ENDINGS;
        while let Some((at, _)) = self.endings_by_age.front() {
            if !old(*at) && self.endings_by_age.len() <= MAX_ENDINGS {
                break;
            }
            if let Some((_, job)) = self.endings_by_age.pop_front() {
                self.endings.remove(&job);
            }
        }
    }

    fn log_end(&mut self, now: time::Duration, job: &Job, outcome: &Outcome) {
        let key = (job.ask.class.clone(), outcome.name());
        *self.counts.jobs.entry(key).or_default() += 1;
        let took = now.saturating_sub(job.arrived);
        self.counts.took.observe("outcome", outcome.name(), took);
        if let Some(first) = job.first_start {
            let waited = first.saturating_sub(job.arrived);
            self.counts.waited.observe("class", &job.ask.class, waited);
        }
        let why = match outcome {
            Outcome::NotRun(why, _) => why.name(),
            _ => "",
        };
        let failed: u32 = job.tasks.iter().map(|task: &Task| task.failed).sum();
        let ms = |d: time::Duration| d.as_millis() as u64;
        let waited = job.first_start.unwrap_or(now).saturating_sub(job.arrived);
        let places =
            if now > job.latest + job.estimate.mul_f64(SLACK_OF_WIDTH) || failed + job.moved > 0 {
                job.places()
            } else {
                compact_str::CompactString::default()
            };
        log::info!(job = job.ask.job.as_str(), class = job.ask.class.as_str(), places = places.as_str(),
            outcome = outcome.name(), why = why, tasks = job.ask.tasks, starts = job.starts,
            failed = failed, moved = job.moved, estimate_ms = ms(job.estimate),
            waited_ms = ms(waited), took_ms = ms(now.saturating_sub(job.arrived)),
            queued = self.queue.len(), agents = self.agents.len(); "job answered");
    }

    /// Whether work waits for room.
    pub fn is_hungry(&self) -> bool {
        !self.queue.is_empty()
    }

    /// What is to be done since the last call.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
