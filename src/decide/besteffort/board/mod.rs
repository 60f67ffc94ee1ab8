//! The best-effort jobs of one entry: which task goes next, what an agent's messages or silence mean for its
//! runs, and when a job is answered.
//!
//! Events and `now` (time since boot, suspensions included) go in, [`Action`]s come out. Each part has a
//! file: messages and links of agents, choosing the agent for a task, links to more agents, moving runs off
//! slow or stalled backend servers, and answering jobs.

mod admit;
mod agents;
mod demand;
mod endings;
mod late;
mod matching;
mod place;
mod reach;
mod rescue;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time;

use compact_str::CompactString;

use crate::decide::besteffort::admission::late_outcomes::LateOutcomes;
use crate::decide::besteffort::crashes::Crashes;
use crate::decide::besteffort::earlier_wait::EarlierWaits;
use crate::decide::besteffort::flow::Flow;
use crate::decide::besteffort::job::{Job, JobNo, LinkNo, Outcome, QueueKey, Submission};
use crate::decide::besteffort::learn::RunTimes;
use crate::decide::besteffort::lease::Bounds;
use crate::decide::besteffort::message::{JobId, Run, Start, WaitingWork};
use crate::decide::besteffort::pace::nominal::NominalTimes;
use crate::decide::besteffort::pace::told::Paces;
use crate::decide::besteffort::policy::Policy;
use crate::decide::besteffort::recovery::earlier_wait::UsualWaits;
use crate::decide::besteffort::recovery::late_work::Return;
use crate::decide::besteffort::sharing::turns::Turns;
use crate::decide::besteffort::subset::{LinkChange, Subset};
use crate::decide::besteffort::view::AgentView;
use crate::id;
use crate::metrics;

/// Time after which the caller of a refused job may submit it again where no wait is forecast. A backend
/// server that restarts is known after about one of its heartbeats.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(1_000);

/// How long the entry starts nothing after its process was suspended. In that time the sockets show which
/// callers have left meanwhile; the jobs of these may already run elsewhere.
const RESUME_PAUSE: time::Duration = time::Duration::from_millis(30);

/// What the entry's driver has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a start to an agent.
    Start(LinkNo, Start),
    /// Send a stop to an agent.
    Stop(LinkNo, Run),
    /// Answer the caller of a job.
    Answer(JobNo, Outcome),
    /// Close the link to an agent that is silent; the driver opens it again.
    Close(LinkNo),
    /// Begin or cease to keep a link to an agent.
    Link(LinkChange),
}

/// What the entry has counted since its start, for the metrics page.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Answered jobs by class and outcome.
    pub jobs: BTreeMap<(CompactString, &'static str), u64>,
    /// Answered jobs that were past their targets when they arrived, by class and outcome; only with the feature
    /// `recovery`.
    pub late_jobs: BTreeMap<(CompactString, &'static str), u64>,
    /// Refused jobs by class and reason.
    pub refused: BTreeMap<(CompactString, &'static str), u64>,
    /// Decisions on jobs by what agents report, by class and decision; see
    /// [`admission`](crate::decide::besteffort::admission).
    pub decisions: BTreeMap<(CompactString, &'static str), u64>,
    /// By how much the wait of accepted jobs was longer or shorter than forecast.
    pub forecast_error: metrics::Seconds,
    /// Starts that were sent.
    pub starts: u64,
    /// Starts of tasks that had been sent to an agent before.
    pub starts_again: u64,
    /// Runs that an agent returned without having begun them.
    pub bounced: u64,
    /// Runs that failed.
    pub failed_runs: u64,
    /// Runs that were moved off a slow or stalled backend server.
    pub moved_runs: u64,
    /// Runs that were lost with an agent or its backend server.
    pub lost_runs: u64,
    /// Runs that agents reported, that the entry didn't have, and that it stopped.
    pub unknown_runs: u64,
    /// Jobs that were given up because backend servers crash under one of their tasks.
    pub crashing_jobs: u64,
    /// Tasks that went before more urgent ones because their class would have starved, by class.
    pub turns: BTreeMap<CompactString, u64>,
    /// Time from a job's arrival to its answer, by outcome.
    pub job_seconds: metrics::Seconds,
    /// Time from a job's arrival to its first start, by class.
    pub wait_seconds: metrics::Seconds,
    /// Time from a run's start to its end, by class; only of runs whose task is done.
    pub service_seconds: metrics::Seconds,
}

/// Numbers of agents by what the entry knows of them, for the metrics page.
#[derive(Clone, Copy, Debug)]
pub struct Membership {
    /// Agents that the platform lists.
    pub listed: usize,
    /// Agents that may still have runs of this entry, those without a link included.
    pub known: usize,
    /// Agents with a link to this entry.
    pub linked: usize,
    /// Agents that get work: linked, accepting it and not barred.
    pub taking_work: usize,
    /// Time since the last message of the linked agent that has been silent longest; none where no agent is
    /// linked.
    pub longest_silence: Option<time::Duration>,
}

/// The jobs of one entry, the agents that it knows, and the decisions about both.
#[derive(Debug)]
pub struct Board {
    policy: Policy,
    bounds: Bounds,
    agents: BTreeMap<id::AgentId, AgentView>,
    /// Ordered, so that the same events always have the same effects.
    jobs: BTreeMap<JobNo, Job>,
    /// The tasks that wait for room, the next one first.
    queue: BTreeSet<QueueKey>,
    flow: Flow,
    run_times: RunTimes,
    paces: Paces,
    nominal_times: NominalTimes,
    crashes: Crashes,
    earlier_waits: EarlierWaits,
    usual_waits: UsualWaits,
    returning: Return,
    /// Actions that the driver hasn't taken yet.
    actions: Vec<Action>,
    /// What the entry has counted since its start.
    pub counts: Counts,
    /// The failure domain of the entry.
    failure_domain: CompactString,
    /// The agent at the other end of each link.
    links: HashMap<LinkNo, id::AgentId>,
    /// The jobs that haven't been answered, by the ids that their callers chose.
    by_id: HashMap<JobId, JobNo>,
    /// The latest answers by job id, and below the same ids from the oldest to the newest.
    answers: HashMap<JobId, Outcome>,
    answers_by_age: VecDeque<(time::Duration, JobId)>,
    /// The number that the latest job got.
    last_job_no: JobNo,
    /// When [`Board::tick`] was called for the first time.
    first_tick_at: Option<time::Duration>,
    /// When a link to an agent last came up.
    last_linked_at: Option<time::Duration>,
    /// When the process last resumed after a suspension.
    resumed_at: time::Duration,
    /// Until when nothing is started; see [`RESUME_PAUSE`].
    no_starts_until: time::Duration,
    /// When all jobs must have ended; none unless the entry is stopping.
    stop_by: Option<time::Duration>,
    /// The agents that the platform lists, and which of them the entry links to.
    subset: Subset,
    /// When the links are reviewed next.
    review_at: time::Duration,
    /// The state of opening links beyond the base while work waits; see
    /// [`subset`](crate::decide::besteffort::subset).
    extra_links: reach::ExtraLinks,
    /// Jobs that wait for links.
    parked: Vec<reach::Parked>,
    /// What agents were last told of the waiting work.
    latest_statement: demand::LatestStatement,
    /// What became of late work; recorded only with the feature `demand`.
    late_outcomes: LateOutcomes,
    /// The work that was started lately by class, and the waiting task that goes first for it; counted only with the
    /// feature `demand`.
    turns: Turns,
    turn: Option<QueueKey>,
    /// Number of queued late tasks for which no agent is asked for room, as of the last [`Board::tick`]. Counting
    /// them for each message would cost more the longer the queue is.
    late_tasks: usize,
}

/// What becomes of a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitResult {
    /// The submission is a job now; its answer follows as an [`Action::Answer`].
    Job(JobNo),
    /// The submission is answered at once.
    Answered(Outcome),
}

impl Board {
    /// Opens the board of an entry in a failure domain.
    pub fn open(name: &str, domain: &str, bounds: Bounds, policy: Policy) -> Board {
        Board {
            subset: Subset::open(name, domain, policy.subset),
            review_at: time::Duration::ZERO,
            extra_links: reach::ExtraLinks::default(),
            parked: Vec::new(),
            latest_statement: demand::LatestStatement::default(),
            late_outcomes: LateOutcomes::default(),
            turns: Turns::default(),
            turn: None,
            late_tasks: 0,
            policy,
            bounds,
            agents: BTreeMap::new(),
            jobs: BTreeMap::new(),
            queue: BTreeSet::new(),
            flow: Flow::open(policy.features.recovery),
            run_times: RunTimes::open(policy.learning),
            paces: Paces::default(),
            nominal_times: NominalTimes::default(),
            crashes: Crashes::default(),
            earlier_waits: EarlierWaits::default(),
            usual_waits: UsualWaits::default(),
            returning: Return::default(),
            actions: Vec::new(),
            counts: Counts::default(),
            failure_domain: domain.into(),
            links: HashMap::new(),
            by_id: HashMap::new(),
            answers: HashMap::new(),
            answers_by_age: VecDeque::new(),
            last_job_no: 0,
            first_tick_at: None,
            last_linked_at: None,
            resumed_at: time::Duration::ZERO,
            no_starts_until: time::Duration::ZERO,
            stop_by: None,
        }
    }

    /// Accepts a submission as a job, or answers it at once: with its earlier answer, or with a refusal where
    /// it can't be served.
    pub fn submit(&mut self, now: time::Duration, submission: Submission) -> SubmitResult {
        if let Some(no) = self.by_id.get(&submission.job) {
            return SubmitResult::Job(*no);
        }
        if let Some(outcome) = self.answers.get(&submission.job) {
            return SubmitResult::Answered(outcome.clone());
        }
        let estimate = self
            .run_times
            .estimate(&submission.class, submission.declared_run_time);
        self.nominal_times
            .record(&submission.class, submission.declared_run_time);
        let earlier_wait = self.earlier_wait(now, &submission);
        let mut job = Job::open(submission, now, estimate, earlier_wait);
        if let Some(task) = self.crashes.cause_in(&job.submission.job) {
            self.log_crashing_job(&job, task);
            self.record_answer(now, &job, &Outcome::Failed);
            return SubmitResult::Answered(Outcome::Failed);
        }
        let no = self.last_job_no + 1;
        let is_parked = self.park_job(now, no, &job);
        if !is_parked {
            if let Some((reason, retry_after)) = self.admit(now, &mut job) {
                self.record_answer(now, &job, &Outcome::NotRun(reason, retry_after));
                return SubmitResult::Answered(Outcome::NotRun(reason, retry_after));
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

    /// Queues a job that no longer has to wait for links, or refuses it after all.
    fn queue_parked_job(&mut self, now: time::Duration, no: JobNo) {
        let Some(mut job) = self.jobs.remove(&no) else {
            return;
        };
        if let Some((reason, retry_after)) = self.admit(now, &mut job) {
            self.jobs.insert(no, job);
            self.finish_job(now, no, Outcome::NotRun(reason, retry_after));
        } else {
            self.queue_tasks(now, no, job);
        }
    }

    /// Makes the board refuse each new job that may not have ended at `by`, allowing twice its estimated run
    /// time, since a job sometimes takes that long.
    pub fn stop_by(&mut self, by: time::Duration) {
        self.stop_by = Some(by);
    }

    /// Removes a job whose caller has disconnected, and stops its runs.
    pub fn caller_left(&mut self, now: time::Duration, no: JobNo) {
        if let Some(job) = self.jobs.get(&no) {
            log::info!(job = job.submission.job.as_str(), class = job.submission.class.as_str(),
                starts = job.starts_sent, left = job.unfinished_tasks; "caller left");
            if job.is_late() {
                self.late_outcomes.record(now, false);
            }
            self.remove_job(now, no);
            self.dispatch(now);
        }
    }

    /// Returns the number of a job that hasn't been answered, by its id.
    pub fn find_job(&self, job: &str) -> Option<JobNo> {
        self.by_id.get(job).copied()
    }

    /// Counts the jobs of a class of which nothing was started yet.
    pub fn unstarted_jobs(&self, class: &str) -> usize {
        let waiting = self.jobs.values().filter(|job| job.starts_sent == 0);
        waiting.filter(|job| job.submission.class == class).count()
    }

    /// Returns the numbers of agents that are listed, known, linked and ready for work.
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

    /// Counts the jobs that haven't been answered.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Records that the process was suspended for a while; see [`RESUME_PAUSE`].
    pub fn process_resumed(&mut self, now: time::Duration) {
        self.resumed_at = now;
        self.no_starts_until = now + RESUME_PAUSE;
    }

    /// Applies every time limit. The driver calls it at intervals much shorter than the shortest limit.
    pub fn tick(&mut self, now: time::Duration) {
        self.first_tick_at.get_or_insert(now);
        self.tick_return(now);
        self.close_silent_links(now);
        self.drop_abandoned_agents(now);
        if self.policy.features.demand {
            self.review_late_work(now);
        }
        // With the feature, the review refuses jobs, but not those that wait for links.
        let refuses_late = !self.policy.features.demand;
        self.give_up_jobs(now, |job| {
            now >= job.submission.deadline || (refuses_late && job.is_past_latest_start(now))
        });
        self.run_times.update_median();
        self.update_paces();
        self.crashes.forget_old(now);
        self.forget_old_answers(now);
        self.resume_parked_jobs(now);
        self.dispatch(now);
        self.late_tasks = self.late_tasks_unasked();
        self.review_links(now);
    }

    /// Returns the work that waits for room, if any; its urgency is on the entry's clock.
    pub fn waiting_work(&self) -> Option<WaitingWork> {
        let turn = self.turn.filter(|key| self.queue.contains(key));
        let (priority, latest, no, _) = turn.as_ref().or(self.queue.first())?;
        // Late work takes only room that is left over, and asks no agent for any.
        let job = self.jobs.get(no).filter(|job| !job.is_late())?;
        Some(WaitingWork {
            priority: *priority,
            urgency_ms: latest.as_millis() as u64,
            need: job.submission.need,
            tasks: self.queue.len().saturating_sub(self.late_tasks).max(1) as u32,
            overdue: turn.is_some(),
        })
    }

    /// Returns what the driver has to do since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
