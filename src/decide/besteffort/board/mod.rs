//! The best-effort jobs of one entry: who goes next, what an agent's word or silence means, and
//! when a job is answered.
//!
//! Events and `now` (time since boot, suspensions included) go in, [`Action`]s come out. Each part of
//! its work has a file: what agents tell, where tasks go, moving them off sick workers, endings.

mod agents;
mod endings;
mod place;
mod reach;
mod rescue;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::crashes::Crashes;
use crate::decide::besteffort::earlier_wait::EarlierWaits;
use crate::decide::besteffort::flow::Flow;
use crate::decide::besteffort::job::{
    Job, JobNo, LinkNo, NotRunReason, Outcome, QueueKey, Submission,
};
use crate::decide::besteffort::learn::RunTimes;
use crate::decide::besteffort::lease::Bounds;
use crate::decide::besteffort::message::{JobId, Run, Start, WaitingWork};
use crate::decide::besteffort::policy::Policy;
use crate::decide::besteffort::subset::{LinkChange, Subset};
use crate::decide::besteffort::view::AgentView;
use crate::id;
use crate::metrics;

/// When a caller may come back where no worker takes work: a worker that starts anew is known
/// after about a heartbeat of its own.
const RETRY_NO_WORKER: time::Duration = time::Duration::from_millis(1_000);

/// How long nothing is started after the process stood still: in that time the sockets tell which
/// callers have left meanwhile. Their jobs may already run elsewhere.
const SETTLE: time::Duration = time::Duration::from_millis(30);

/// What the entry's driver should do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a start to an agent.
    Start(LinkNo, Start),
    /// Send a stop to an agent.
    Stop(LinkNo, Run),
    /// Answer a caller.
    Answer(JobNo, Outcome),
    /// Close the link to an agent that isn't heard; it is opened again.
    Close(LinkNo),
    /// Keep a link to an agent, or don't any more.
    Link(LinkChange),
}

/// Counts since the start, for the metrics page.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Jobs by class and outcome.
    pub jobs: BTreeMap<(CompactString, &'static str), u64>,
    /// Refusals by class and reason.
    pub refused: BTreeMap<(CompactString, &'static str), u64>,
    /// Starts sent.
    pub starts: u64,
    /// Those of tasks that had been sent before.
    pub starts_again: u64,
    /// Runs that came back without having begun.
    pub bounced: u64,
    /// Runs that failed.
    pub failed_runs: u64,
    /// Runs that were moved off a slow or standing worker.
    pub moved_runs: u64,
    /// Runs that were lost with an agent or its backend server.
    pub lost_runs: u64,
    /// Jobs that were given up because backend servers crash under a task of theirs.
    pub crashing_jobs: u64,
    /// From a job's arrival to its answer, by outcome.
    pub job_seconds: metrics::Seconds,
    /// From a job's arrival to its first start, by class.
    pub wait_seconds: metrics::Seconds,
    /// From a run's start to its end, by class; of runs that were done.
    pub service_seconds: metrics::Seconds,
}

/// The agents in numbers, for the metrics page.
#[derive(Clone, Copy, Debug)]
pub struct Membership {
    /// Agents that are listed.
    pub listed: usize,
    /// Agents that may still have runs of ours, cut off ones included.
    pub known: usize,
    /// Those that are linked.
    pub linked: usize,
    /// Those that get work: linked, taking it, not barred.
    pub taking_work: usize,
    /// How long ago the linked agent was heard that was heard longest ago; none without any.
    pub longest_silence: Option<time::Duration>,
}

/// The state of an entry.
#[derive(Debug)]
pub struct Board {
    policy: Policy,
    bounds: Bounds,
    agents: BTreeMap<id::AgentId, AgentView>,
    /// Ordered, so that the same events have the same effects each time.
    jobs: BTreeMap<JobNo, Job>,
    /// Tasks that wait for room, the next one first.
    queue: BTreeSet<QueueKey>,
    flow: Flow,
    run_times: RunTimes,
    crashes: Crashes,
    earlier_waits: EarlierWaits,
    /// What the driver hasn't fetched yet.
    actions: Vec<Action>,
    /// What the entry did since the start.
    pub counts: Counts,
    /// The failure domain of the entry.
    failure_domain: CompactString,
    /// Whose link is whose.
    links: HashMap<LinkNo, id::AgentId>,
    /// The jobs that haven't ended, by the id that their callers chose.
    by_id: HashMap<JobId, JobNo>,
    /// Latest endings, and in which order they came.
    endings: HashMap<JobId, Outcome>,
    endings_by_age: VecDeque<(time::Duration, JobId)>,
    /// The number of the latest job.
    last_job_no: JobNo,
    /// When time bounds were looked at for the first time.
    first_tick_at: Option<time::Duration>,
    /// When the last link to an agent came up.
    last_linked_at: Option<time::Duration>,
    /// When the process last went on after it stood still.
    resumed_at: time::Duration,
    /// Until when nothing is started; see [`SETTLE`].
    no_starts_until: time::Duration,
    /// By when all jobs must have ended; none unless it stops.
    stop_by: Option<time::Duration>,
    /// Which agents there are, and which of them are linked to.
    subset: Subset,
    /// When links are reviewed next.
    review_at: time::Duration,
    /// Links to more agents while work waits.
    extra_links: reach::Widening,
    /// Jobs that wait for links.
    parked: Vec<reach::Parked>,
}

/// What becomes of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitResult {
    /// It is a job; its answer comes as an [`Action::Answer`].
    Job(JobNo),
    /// It is answered at once.
    Answered(Outcome),
}

impl Board {
    /// Opens a board for an entry in a failure domain.
    pub fn open(name: &str, domain: &str, bounds: Bounds, policy: Policy) -> Board {
        Board {
            subset: Subset::open(name, domain, policy.subset),
            review_at: time::Duration::ZERO,
            extra_links: reach::Widening::default(),
            parked: Vec::new(),
            policy,
            bounds,
            agents: BTreeMap::new(),
            jobs: BTreeMap::new(),
            queue: BTreeSet::new(),
            flow: Flow::default(),
            run_times: RunTimes::open(policy.learning),
            crashes: Crashes::default(),
            earlier_waits: EarlierWaits::default(),
            actions: Vec::new(),
            counts: Counts::default(),
            failure_domain: domain.into(),
            links: HashMap::new(),
            by_id: HashMap::new(),
            endings: HashMap::new(),
            endings_by_age: VecDeque::new(),
            last_job_no: 0,
            first_tick_at: None,
            last_linked_at: None,
            resumed_at: time::Duration::ZERO,
            no_starts_until: time::Duration::ZERO,
            stop_by: None,
        }
    }

    /// Takes a submission in, or refuses it at once if it can't be served.
    pub fn submit(&mut self, now: time::Duration, ask: Submission) -> SubmitResult {
        if let Some(no) = self.by_id.get(&ask.job) {
            return SubmitResult::Job(*no);
        }
        if let Some(outcome) = self.endings.get(&ask.job) {
            return SubmitResult::Answered(outcome.clone());
        }
        let estimate = self.run_times.estimate(&ask.class, ask.declared_run_time);
        let waited = self
            .earlier_waits
            .earlier_wait(&ask.class, ask.wait_shortfall);
        let job = Job::open(ask, now, estimate, waited);
        if let Some(task) = self.crashes.cause_in(&job.submission.job) {
            self.log_crashing_job(&job, task);
            self.record_answer(now, &job, &Outcome::Failed);
            return SubmitResult::Answered(Outcome::Failed);
        }
        let no = self.last_job_no + 1;
        let is_parked = self.park_job(now, no, &job);
        if !is_parked {
            if let Some((why, back)) = self.refusal(now, &job) {
                self.record_answer(now, &job, &Outcome::NotRun(why, back));
                return SubmitResult::Answered(Outcome::NotRun(why, back));
            }
        }
        self.last_job_no = no;
        self.by_id.insert(job.submission.job.clone(), no);
        if is_parked {
            self.jobs.insert(no, job);
        } else {
            self.queue_tasks(now, no, job);
        }
        SubmitResult::Job(no)
    }

    fn queue_tasks(&mut self, now: time::Duration, no: JobNo, job: Job) {
        for task in 0..job.submission.tasks {
            self.queue.insert(job.queue_key(no, task));
        }
        self.flow.job_queued(now, job.priority, job.total_room());
        self.jobs.insert(no, job);
        self.dispatch(now);
    }

    /// A job needn't wait for links any more.
    fn queue_parked_job(&mut self, now: time::Duration, no: JobNo) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        if let Some((why, back)) = self.refusal(now, job) {
            self.finish_job(now, no, Outcome::NotRun(why, back));
        } else if let Some(job) = self.jobs.remove(&no) {
            self.queue_tasks(now, no, job);
        }
    }

    fn refusal(&self, now: time::Duration, job: &Job) -> Option<(NotRunReason, time::Duration)> {
        let mut there = self.agents.values().filter(|v| v.is_in_service());
        if self.has_found_agents(now) && !there.any(|v| v.backend.service == job.submission.service)
        {
            return Some((NotRunReason::NoWorker, RETRY_NO_WORKER));
        }
        if self.has_found_agents(now) && self.large_enough_agents(job).next().is_none() {
            let held_before = self
                .suitable_agents(job)
                .any(|v| v.largest_size.fits(&job.submission.need));
            let why = if held_before {
                NotRunReason::Shrunk
            } else {
                NotRunReason::NoFit
            };
            return Some((why, RETRY_NO_WORKER));
        }
        let forecast = self.forecast_wait(now, job);
        let wait = forecast.wait;
        let end = now + wait + job.estimate;
        if self.stop_by.is_some_and(|by| end + job.estimate > by) {
            return Some((NotRunReason::Stopping, RETRY_NO_WORKER));
        }
        let slack = job.latest_start.saturating_sub(now);
        let late = end > job.submission.deadline
            || wait > slack.mul_f64(self.policy.admission.max_slack_used);
        let hopeless = now + job.estimate > job.submission.deadline;
        if hopeless || (late && self.has_found_agents(now)) {
            log::info!(job = job.submission.job.as_str(), wait_ms = wait.as_millis() as u64,
                slack_ms = slack.as_millis() as u64, ahead = forecast.room_ahead as u64,
                rate = forecast.room_rate as u64, room = forecast.fitting_tasks; "job would be late");
            return Some((NotRunReason::Overloaded, wait));
        }
        None
    }

    /// Takes no new job that may not have ended `by` then: it takes twice its estimate at times.
    pub fn stop_by(&mut self, by: time::Duration) {
        self.stop_by = Some(by);
    }

    /// The caller has left; nothing of its job runs on.
    pub fn caller_left(&mut self, now: time::Duration, no: JobNo) {
        if let Some(job) = self.jobs.get(&no) {
            log::info!(job = job.submission.job.as_str(), class = job.submission.class.as_str(),
                starts = job.starts_sent, left = job.unfinished_tasks; "caller left");
            self.remove_job(no);
            self.dispatch(now);
        }
    }

    /// The number of a job that hasn't ended, by its id.
    pub fn find_job(&self, job: &str) -> Option<JobNo> {
        self.by_id.get(job).copied()
    }

    /// Jobs of a class of which nothing was started.
    pub fn unstarted_jobs(&self, class: &str) -> usize {
        let waiting = self.jobs.values().filter(|job| job.starts_sent == 0);
        waiting.filter(|job| job.submission.class == class).count()
    }

    /// What is known of the agents, in numbers.
    pub fn membership(&self, now: time::Duration) -> Membership {
        let linked = || self.agents.values().filter(|view| view.link.is_some());
        let heard = linked().map(|view| view.heard_at).min();
        Membership {
            listed: self.listed_agents(),
            known: self.agents.len(),
            linked: linked().count(),
            taking_work: linked().filter(|view| view.accepts_tasks(now)).count(),
            longest_silence: heard.map(|heard| now.saturating_sub(heard)),
        }
    }

    /// Jobs that haven't ended.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// The process stood still for a while; see [`SETTLE`].
    pub fn process_resumed(&mut self, now: time::Duration) {
        self.resumed_at = now;
        self.no_starts_until = now + SETTLE;
    }

    /// Looks at every time bound. To be called more often than any of them matters.
    pub fn tick(&mut self, now: time::Duration) {
        self.first_tick_at.get_or_insert(now);
        self.close_silent_links(now);
        self.drop_abandoned_agents(now);
        self.give_up_jobs(now, |job| {
            now >= job.submission.deadline || job.is_hopeless(now)
        });
        self.run_times.update_median();
        self.crashes.forget_old(now);
        self.forget_old_endings(now);
        self.resume_parked_jobs(now);
        self.dispatch(now);
        self.review_links(now);
    }

    /// The work that waits for room, if any does; its urgency on the clock of the entry.
    pub fn waiting_work(&self) -> Option<WaitingWork> {
        let (priority, latest, no, _) = self.queue.first()?;
        // Late work takes what is left over, and competes with none.
        let job = self.jobs.get(no).filter(|job| !job.is_late())?;
        Some(WaitingWork {
            priority: *priority,
            urgency_ms: latest.as_millis() as u64,
            need: job.submission.need,
            tasks: self.queue.len() as u32,
        })
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
