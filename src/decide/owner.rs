//! The owner of a cell: takes submissions, hands out tasks, gathers answers, ends jobs.
//!
//! Events come in through the methods, with the time; what is to be done leaves as
//! [`action::Action`]s. The promises that it keeps are listed in `docs/design/claims.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time;

use crate::class;
use crate::code;
use crate::decide::action::{self, Action};
use crate::decide::estimate;
use crate::decide::fleet;
use crate::decide::inherit;
use crate::decide::job::{self, Progress};
use crate::decide::ledger;
use crate::decide::notice;
use crate::decide::order;
use crate::decide::queue;
use crate::id;
use crate::refusal;
use crate::submission;
use crate::task;

/// Silence of an agent's link after which its tasks are given up as lost.
pub const LOST_AFTER: time::Duration = time::Duration::from_secs(2);

/// How long an ended job's answers stay at the agents, for a caller that lost the owner with it.
pub const ACKNOWLEDGE_AFTER: time::Duration = time::Duration::from_secs(10);

/// How long an ending is kept for resubmissions.
pub const KEEP: time::Duration = ledger::RETENTION;

/// Most ended jobs that are kept.
pub const MAX_KEPT: usize = 20_000;

/// What the operators and the command line set for an owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Policy {
    /// Who goes next.
    pub queue: queue::Policy,
    /// Where to.
    pub placement: fleet::Placement,
    /// Whether every claim is written ahead of the start.
    pub claims_ahead: bool,
}

/// The owner of one cell in one epoch.
#[derive(Debug)]
pub struct Owner {
    epoch: id::Epoch,
    policy: Policy,
    inheritance: inherit::Inheritance,
    ready: bool,
    parked: Vec<(Arc<submission::Submission>, action::Waiter)>,
    jobs: HashMap<id::JobKey, job::Job>,
    deadlines: BTreeSet<(time::Instant, id::JobKey)>,
    ended: VecDeque<(time::Instant, id::JobKey)>,
    unacknowledged: VecDeque<(time::Instant, id::JobKey)>,
    outstanding: HashMap<id::AgentId, BTreeSet<task::Id>>,
    queue: queue::Queue,
    fleet: fleet::Fleet,
    estimates: estimate::Estimates,
    config: Arc<class::Versioned>,
    table_seen: time::Instant,
    actions: Vec<Action>,
}

impl Owner {
    /// Opens the owner of an epoch that was just written to the table, `wall` since the Unix epoch.
    pub fn open(
        epoch: id::Epoch,
        policy: Policy,
        config: Arc<class::Versioned>,
        now: time::Instant,
        wall: time::Duration,
    ) -> Owner {
        Owner {
            epoch,
            policy,
            inheritance: inherit::Inheritance::open(now, wall),
            ready: false,
            parked: Vec::new(),
            jobs: HashMap::new(),
            deadlines: BTreeSet::new(),
            ended: VecDeque::new(),
            unacknowledged: VecDeque::new(),
            outstanding: HashMap::new(),
            queue: queue::Queue::open(policy.queue, now),
            fleet: fleet::Fleet::open(policy.placement, epoch),
            estimates: estimate::Estimates::default(),
            config,
            table_seen: now,
            actions: Vec::new(),
        }
    }

    /// The epoch.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Tells whether submissions are looked up, no longer parked.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// The agents, for placement and status.
    pub fn fleet(&self) -> &fleet::Fleet {
        &self.fleet
    }

    /// The waiting tasks, for status.
    pub fn queue(&self) -> &queue::Queue {
        &self.queue
    }

    /// Jobs that have not ended.
    pub fn open_jobs(&self) -> usize {
        self.deadlines.len()
    }

    /// What is to be done, in order; empties the list.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Puts a newer configuration into force.
    pub fn configure(&mut self, config: Arc<class::Versioned>) {
        if config.version > self.config.version {
            self.config = config;
        }
    }

    /// Notes that the owner saw itself in the table by an operation that began at `begun`.
    pub fn table_seen(&mut self, begun: time::Instant) {
        self.table_seen = self.table_seen.max(begun);
    }

    /// Takes the members of the cell, read after the epoch was raised.
    pub fn members(
        &mut self,
        now: time::Instant,
        lives: Vec<inherit::Life>,
        lost: &[inherit::LostLife],
    ) {
        self.inheritance.members(now, lives, lost);
        self.settle(now);
    }

    /// Takes the claims of earlier owners, read after the epoch was raised.
    pub fn claims(&mut self, now: time::Instant, claims: Vec<inherit::Claimed>) {
        self.inheritance.claims(claims);
        self.settle(now);
    }

    /// Takes a submission. Its ending goes to the waiter, once.
    pub fn submit(
        &mut self,
        now: time::Instant,
        submission: Arc<submission::Submission>,
        waiter: action::Waiter,
    ) {
        if !self.ready {
            self.parked.push((submission, waiter));
            return;
        }
        if self.attach(&submission, waiter) {
            return;
        }
        let minted = submission.minted_ms.map(time::Duration::from_millis);
        match self
            .inheritance
            .look(&submission.key, submission.digest, minted)
        {
            inherit::Found::Fresh => self.admit(now, submission, waiter),
            inherit::Found::Known {
                tasks,
                rest_startable,
            } => {
                self.resume(now, submission, waiter, tasks, rest_startable);
            }
            inherit::Found::MayHaveRun => {
                self.refuse(waiter, refusal::Refusal::new(code::Code::MayHaveRun))
            }
            inherit::Found::Reused => {
                self.refuse(waiter, refusal::Refusal::new(code::Code::KeyReused))
            }
        }
        self.dispatch(now);
    }

    /// Withdraws a job; the waiter is told how the job ended.
    pub fn cancel(&mut self, now: time::Instant, key: &id::JobKey, waiter: action::Waiter) {
        let Some(job) = self.jobs.get_mut(key) else {
            self.refuse(waiter, refusal::Refusal::new(code::Code::NotFound));
            return;
        };
        if let Some(ending) = &job.ending {
            self.actions.push(Action::Reply(waiter, ending.clone()));
            return;
        }
        job.waiters.push(waiter);
        self.fail(now, key, code::Code::Cancelled);
        self.dispatch(now);
    }

    /// Notes that claims are in the table; tasks that waited for them may start.
    pub fn claimed(&mut self, now: time::Instant, keys: &[id::JobKey]) {
        for key in keys {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            let awaited = job.claim == job::Claim::Awaited;
            job.claim = job::Claim::Written;
            if awaited && job.ending.is_none() {
                self.enqueue(key);
            }
        }
        self.dispatch(now);
    }

    /// Notes that claims can't be written now: what waits for them is given up, not run.
    pub fn claim_refused(&mut self, now: time::Instant, keys: &[id::JobKey], reason: code::Code) {
        for key in keys {
            let awaited = self
                .jobs
                .get(key)
                .is_some_and(|job| job.claim == job::Claim::Awaited);
            if awaited {
                self.fail(now, key, reason);
            }
        }
    }

    /// Takes the first notice of an agent's link.
    pub fn welcome(
        &mut self,
        now: time::Instant,
        id: &id::AgentId,
        welcome: notice::Welcome,
        load: notice::Load,
    ) {
        let life = inherit::Life {
            agent: id.clone(),
            incarnation: welcome.incarnation,
        };
        self.inheritance.report(&life, &welcome.tasks);
        let known = self
            .fleet
            .get(id)
            .map(|agent| (agent.incarnation, agent.sent, agent.taken));
        let same = known.filter(|(incarnation, ..)| *incarnation == welcome.incarnation);
        if known.is_some() && same.is_none() {
            // The agent came back with an empty memory; what it had started nobody can tell.
            self.lose(now, id);
        }
        let (sent, taken) = same.map_or((0, task::Needs::default()), |(_, sent, taken)| {
            (sent, taken)
        });
        self.fleet.insert(
            id.clone(),
            fleet::Agent {
                incarnation: welcome.incarnation,
                failure_domain: welcome.failure_domain,
                rack: welcome.rack,
                state: fleet::State::Up,
                since: now,
                load,
                sent,
                taken,
            },
        );
        self.ask_outstanding(id);
        self.settle(now);
        self.dispatch(now);
    }

    /// Takes the load that rode on an agent's message.
    pub fn load(&mut self, now: time::Instant, id: &id::AgentId, load: notice::Load) {
        self.fleet.update(id, |agent| agent.load = load);
        self.dispatch(now);
    }

    /// Takes a notice of an agent, apart from its welcome.
    pub fn notice(&mut self, now: time::Instant, agent: &id::AgentId, notice: notice::Notice) {
        match notice {
            notice::Notice::Answer(answer) => self.answer(now, agent, answer),
            notice::Notice::Refused(id, code) => self.refused(now, agent, &id, code),
            notice::Notice::Standing(id, standing) => self.standing(now, agent, &id, standing),
            notice::Notice::Welcome(_) | notice::Notice::Stale(_) | notice::Notice::Heartbeat => {}
        }
    }

    /// Hands out what can be handed out; called once after a message was taken in.
    pub fn dispatch(&mut self, now: time::Instant) {
        if !self.ready {
            return;
        }
        while self.fleet.free_slots() > 0 {
            let fleet = &self.fleet;
            let Some(waiting) = self.queue.pop(|task| fleet.has_room(&task.needs)) else {
                return;
            };
            let agent = self.fleet.choose(&waiting.needs);
            self.start(
                now,
                &agent.expect("a task was taken only where it fits"),
                &waiting,
            );
        }
    }

    /// Notes that an agent's link is gone.
    pub fn link_lost(&mut self, now: time::Instant, id: &id::AgentId) {
        self.fleet.update(id, |agent| {
            if agent.state == fleet::State::Up {
                agent.state = fleet::State::Silent;
                agent.since = now;
            }
        });
    }

    /// Gives an agent up: what it may have started is answered as unknown.
    pub fn lose(&mut self, now: time::Instant, id: &id::AgentId) {
        self.fleet.remove(id);
        for task in self.outstanding.remove(id).unwrap_or_default() {
            self.drop_task(&task);
            self.fail(now, &task.job, code::Code::WorkerLost);
        }
    }

    /// Does what is due: passed targets, lost agents, acknowledgements, old endings.
    pub fn tick(&mut self, now: time::Instant) {
        self.settle(now);
        while let Some((deadline, key)) = self.deadlines.first().cloned() {
            if deadline > now {
                break;
            }
            self.fail(now, &key, code::Code::TaskTimeout);
        }
        let is_lost = |agent: &fleet::Agent| {
            agent.state == fleet::State::Silent
                && now.saturating_duration_since(agent.since) >= LOST_AFTER
        };
        let agents = self.fleet.agents().iter();
        let lost: Vec<id::AgentId> = agents
            .filter(|(_, a)| is_lost(a))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.lose(now, &id);
        }
        self.acknowledge(now);
        self.forget(now);
        self.dispatch(now);
    }

    /// Leaves the not yet ready state once the knowledge is complete, and takes up what was parked.
    fn settle(&mut self, now: time::Instant) {
        if self.ready || !self.inheritance.is_ready(now) {
            return;
        }
        self.ready = true;
        for (submission, waiter) in std::mem::take(&mut self.parked) {
            self.submit(now, submission, waiter);
        }
    }

    /// Attaches a waiter to a job that is known under the key.
    fn attach(&mut self, submission: &submission::Submission, waiter: action::Waiter) -> bool {
        let Some(job) = self.jobs.get_mut(&submission.key) else {
            return false;
        };
        if job.submission.digest != submission.digest {
            self.refuse(waiter, refusal::Refusal::new(code::Code::KeyReused));
            return true;
        }
        match &job.ending {
            Some(ending) => self.actions.push(Action::Reply(waiter, ending.clone())),
            None => job.waiters.push(waiter),
        }
        true
    }

    fn refuse(&mut self, waiter: action::Waiter, refusal: refusal::Refusal) {
        let ending = Arc::new(submission::Ending::Failed(refusal));
        self.actions.push(Action::Reply(waiter, ending));
    }

    /// Takes a new job, or refuses it with nothing run.
    fn admit(
        &mut self,
        now: time::Instant,
        submission: Arc<submission::Submission>,
        waiter: action::Waiter,
    ) {
        let target = match self.check(&submission) {
            Ok(target) => target,
            Err(refusal) => {
                self.refuse(waiter, refusal);
                return;
            }
        };
        let ahead = self.must_claim_ahead(now, &submission);
        let claim = if ahead {
            job::Claim::Awaited
        } else {
            job::Claim::Behind
        };
        let mut job = job::Job::open(submission.clone(), now + target, claim);
        job.waiters.push(waiter);
        self.actions.push(Action::Claim(action::Claim {
            key: submission.key.clone(),
            digest: submission.digest,
            tasks: submission.job.tasks.len() as u32,
            ahead,
        }));
        self.deadlines
            .insert((job.deadline, submission.key.clone()));
        self.jobs.insert(submission.key.clone(), job);
        if !ahead {
            self.enqueue(&submission.key);
        }
    }

    /// Everything that refuses a job before anything of it runs. Returns the class target.
    fn check(
        &self,
        submission: &submission::Submission,
    ) -> Result<time::Duration, refusal::Refusal> {
        let job = &submission.job;
        let Some(class) = self.config.document.class(&job.class) else {
            return Err(refusal::Refusal::detailed(
                code::Code::UnknownClass,
                &job.class,
            ));
        };
        if job.tasks.is_empty() || job.tasks.len() > class.max_tasks as usize {
            return Err(refusal::Refusal::new(code::Code::TaskCount));
        }
        let known = !self.fleet.agents().is_empty();
        if known
            && job
                .tasks
                .iter()
                .any(|task| !self.fleet.could_ever_run(&task.needs))
        {
            return Err(refusal::Refusal::new(code::Code::NeverRunnable));
        }
        if let Some(quota) = self.config.document.quota(&job.customer) {
            let waiting = self.queue.waiting(&job.customer) + job.tasks.len();
            if waiting as i64 > quota.waiting_tasks {
                let wait = self.wait_of(&job.customer);
                return Err(refusal::Refusal::new(code::Code::OverQuota).retry_after(wait));
            }
        }
        let wait = self.wait_of(&job.customer);
        if wait > class.target() {
            let back = wait - class.target();
            return Err(refusal::Refusal::new(code::Code::Overloaded).retry_after(back));
        }
        Ok(class.target())
    }

    /// How long a customer's new task would wait behind the customer's own, at its fair share.
    fn wait_of(&self, customer: &id::Customer) -> time::Duration {
        let slots = self.fleet.slots();
        if slots == 0 {
            return time::Duration::ZERO;
        }
        let others = self.queue.active().saturating_sub(1).max(1);
        let share = f64::from(slots) / others as f64;
        let fair = self.queue.backlog(customer).as_secs_f64() / share;
        let whole = self.queue.total_backlog().as_secs_f64() / f64::from(slots);
        time::Duration::from_secs_f64(fair.min(whole))
    }

    /// Tells whether a submission's claim must be in the table before anything of it starts.
    ///
    /// Without a claim a start is safe only if a later owner can tell that the key is old, and
    /// only while this owner surely is the owner: a key that tells its age, of idempotent work,
    /// within sight of the table.
    fn must_claim_ahead(&self, now: time::Instant, submission: &submission::Submission) -> bool {
        let in_sight = now.saturating_duration_since(self.table_seen) < inherit::TABLE_SIGHT;
        let tells_age = submission.minted_ms.is_some();
        self.policy.claims_ahead || !submission.idempotent || !tells_age || !in_sight
    }

    /// Takes up a job that an earlier owner accepted.
    fn resume(
        &mut self,
        now: time::Instant,
        submission: Arc<submission::Submission>,
        waiter: action::Waiter,
        tasks: BTreeMap<id::TaskIndex, (id::AgentId, ledger::Standing)>,
        rest_startable: bool,
    ) {
        let class = self.config.document.class(&submission.job.class);
        let target = class.map_or(class::MAX_TARGET, class::Class::target);
        let mut job = job::Job::open(submission.clone(), now + target, job::Claim::Written);
        job.waiters.push(waiter);
        let key = submission.key.clone();
        let mut asked: HashMap<id::AgentId, Vec<task::Id>> = HashMap::new();
        let mut gone = false;
        for (index, (agent, standing)) in &tasks {
            let Some(progress) = job.tasks.get_mut(*index as usize) else {
                continue;
            };
            gone |= *standing == ledger::Standing::Gone;
            *progress = Progress::Inherited {
                agent: agent.clone(),
            };
            job.agents.insert(agent.clone());
            let id = task::Id {
                job: key.clone(),
                index: *index,
            };
            self.outstanding
                .entry(agent.clone())
                .or_default()
                .insert(id.clone());
            asked.entry(agent.clone()).or_default().push(id);
        }
        let missing = tasks.len() < job.tasks.len();
        self.deadlines.insert((job.deadline, key.clone()));
        self.jobs.insert(key.clone(), job);
        if gone {
            self.fail(now, &key, code::Code::AnswerGone);
            return;
        }
        if missing && !rest_startable {
            self.drop_waiting_as_unknown(&key);
            self.fail(now, &key, code::Code::MayHaveRun);
            return;
        }
        for (agent, ids) in asked {
            self.actions
                .push(Action::Order(agent, order::Order::Resolve(ids)));
        }
        self.enqueue(&key);
    }

    fn drop_waiting_as_unknown(&mut self, key: &id::JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        for task in &mut job.tasks {
            if matches!(task, Progress::Waiting) {
                *task = Progress::Dropped;
            }
        }
    }

    /// Puts a job's waiting tasks into the queue.
    fn enqueue(&mut self, key: &id::JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let mut waiting = Vec::new();
        for (index, progress) in job.tasks.iter().enumerate() {
            if matches!(progress, Progress::Waiting) {
                waiting.push(self.waiting(job, index as id::TaskIndex));
            }
        }
        let customer = job.submission.job.customer.clone();
        self.queue.push(&customer, key, job.deadline, waiting);
    }

    fn waiting(&self, job: &job::Job, index: id::TaskIndex) -> queue::Waiting {
        let declared = &job.submission.job.tasks[index as usize];
        let customer = &job.submission.job.customer;
        queue::Waiting {
            id: task::Id {
                job: job.submission.key.clone(),
                index,
            },
            estimate: self
                .estimates
                .guess(customer, &declared.kind, declared.run_ms),
            needs: declared.needs,
        }
    }

    fn start(&mut self, now: time::Instant, agent: &id::AgentId, waiting: &queue::Waiting) {
        let id = &waiting.id;
        let job = self
            .jobs
            .get_mut(&id.job)
            .expect("a waiting task has a job");
        let declared = &job.submission.job.tasks[id.index as usize];
        job.tasks[id.index as usize] = Progress::Sent {
            agent: agent.clone(),
            at: now,
            estimate: waiting.estimate,
        };
        job.agents.insert(agent.clone());
        let customer = job.submission.job.customer.clone();
        let left = job.deadline.saturating_duration_since(now);
        let start = order::Start {
            id: id.clone(),
            customer: customer.clone(),
            deadline_ms: left.as_millis().max(1) as u64,
            needs: waiting.needs,
            input: declared.input.clone(),
            direct: job.claim != job::Claim::Written,
            traceparent: job.submission.traceparent.clone(),
        };
        self.actions
            .push(Action::Order(agent.clone(), order::Order::Start(start)));
        self.outstanding
            .entry(agent.clone())
            .or_default()
            .insert(id.clone());
        self.fleet.book(agent, &waiting.needs);
        self.queue
            .charge(now, &customer, waiting.estimate.as_secs_f64());
    }

    /// Takes an agent's answer; one that isn't awaited from that agent reaches nobody.
    fn answer(&mut self, now: time::Instant, agent: &id::AgentId, answer: notice::Answer) {
        let Some(index) = self.give_back(now, agent, &answer.id, Some(answer.ran_us)) else {
            return;
        };
        let key = &answer.id.job;
        let job = self
            .jobs
            .get_mut(key)
            .expect("a task that was given back has a job");
        if job.ending.is_some() {
            job.tasks[index] = Progress::Dropped;
            return;
        }
        match answer.outcome {
            task::Outcome::Done(value) => {
                job.tasks[index] = Progress::Done(value);
                job.left -= 1;
                if let Some(ending) = job.complete() {
                    self.end(now, key, ending);
                }
            }
            task::Outcome::Failed(reason) => self.fail(now, key, reason),
        }
    }

    /// Takes back a start that provably didn't run.
    fn refused(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        id: &task::Id,
        code: code::Code,
    ) {
        if code == code::Code::StaleEpoch {
            return;
        }
        self.requeue(now, agent, id);
    }

    fn standing(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        id: &task::Id,
        standing: ledger::Standing,
    ) {
        match standing {
            ledger::Standing::Withdrawn => self.requeue(now, agent, id),
            // The answer follows, or came already.
            ledger::Standing::Started | ledger::Standing::Done => {}
            ledger::Standing::Gone => {
                if self.give_back(now, agent, id, None).is_some() {
                    self.fail(now, &id.job, code::Code::AnswerGone);
                }
            }
        }
    }

    fn requeue(&mut self, now: time::Instant, agent: &id::AgentId, id: &task::Id) {
        let Some(index) = self.give_back(now, agent, id, None) else {
            return;
        };
        let job = self
            .jobs
            .get_mut(&id.job)
            .expect("a task that was given back has a job");
        if job.ending.is_some() {
            job.tasks[index] = Progress::Dropped;
            return;
        }
        job.tasks[index] = Progress::Waiting;
        let job = &self.jobs[&id.job];
        let waiting = self.waiting(job, id.index);
        let customer = job.submission.job.customer.clone();
        self.queue
            .push(&customer, &id.job, job.deadline, vec![waiting]);
    }

    /// Ends the booking of a task on an agent. Returns its index if it was booked there.
    fn give_back(
        &mut self,
        now: time::Instant,
        agent: &id::AgentId,
        id: &task::Id,
        ran_us: Option<u64>,
    ) -> Option<usize> {
        if !self.outstanding.get_mut(agent)?.remove(id) {
            return None;
        }
        let job = self.jobs.get(&id.job)?;
        let index = id.index as usize;
        let declared = &job.submission.job.tasks[index];
        let customer = &job.submission.job.customer;
        let ran = time::Duration::from_micros(ran_us.unwrap_or(0));
        if let Progress::Sent { estimate, .. } = &job.tasks[index] {
            self.fleet.release(agent, &declared.needs);
            let correction = ran.as_secs_f64() - estimate.as_secs_f64();
            self.queue.charge(now, customer, correction);
        }
        if ran_us.is_some() {
            self.estimates.observe(customer, &declared.kind, ran);
        }
        Some(index)
    }

    /// Marks a task whose agent is lost.
    fn drop_task(&mut self, id: &task::Id) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let task = &mut job.tasks[id.index as usize];
            if job.ending.is_some() {
                *task = Progress::Dropped;
            }
        }
    }

    /// Ends a job without an answer, if it hasn't ended.
    fn fail(&mut self, now: time::Instant, key: &id::JobKey, reason: code::Code) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.ending.is_some() {
            return;
        }
        let refusal = job.refusal(reason);
        let withdrawn = self.queue.remove(key);
        let job = self.jobs.get_mut(key).expect("the job was there");
        for task in &withdrawn {
            job.tasks[task.id.index as usize] = Progress::Dropped;
        }
        for agent in &job.agents {
            self.actions.push(Action::Order(
                agent.clone(),
                order::Order::Cancel(key.clone()),
            ));
        }
        let forget = refusal.not_run && refusal.code != code::Code::CancelledBefore;
        self.end(now, key, submission::Ending::Failed(refusal));
        if forget {
            // Nothing ran, so a retry under the same key starts from nothing.
            self.jobs.remove(key);
        }
    }

    fn end(&mut self, now: time::Instant, key: &id::JobKey, ending: submission::Ending) {
        let job = self.jobs.get_mut(key).expect("a job that ends is there");
        let ending = Arc::new(ending);
        job.ending = Some(ending.clone());
        for waiter in std::mem::take(&mut job.waiters) {
            self.actions.push(Action::Reply(waiter, ending.clone()));
        }
        for task in &mut job.tasks {
            if matches!(task, Progress::Done(_)) {
                *task = Progress::Dropped;
            }
        }
        self.deadlines.remove(&(job.deadline, key.clone()));
        self.ended.push_back((now, key.clone()));
        self.unacknowledged.push_back((now, key.clone()));
    }

    /// Asks an agent that is back how the tasks stand that were sent to it.
    fn ask_outstanding(&mut self, id: &id::AgentId) {
        let Some(tasks) = self.outstanding.get(id) else {
            return;
        };
        if tasks.is_empty() {
            return;
        }
        let ids = tasks.iter().cloned().collect();
        self.actions
            .push(Action::Order(id.clone(), order::Order::Resolve(ids)));
    }

    /// Lets agents drop the answers of jobs that ended a while ago and whose claim is written.
    fn acknowledge(&mut self, now: time::Instant) {
        while let Some((at, key)) = self.unacknowledged.front() {
            if now.saturating_duration_since(*at) < ACKNOWLEDGE_AFTER {
                return;
            }
            let job = self.jobs.get(key);
            if job.is_some_and(|job| job.claim != job::Claim::Written && job.ending.is_some()) {
                // Without its claim in the table the agents' records are all that tells of it.
                let later = (now, key.clone());
                self.unacknowledged.pop_front();
                self.unacknowledged.push_back(later);
                return;
            }
            if let Some(job) = job.filter(|job| job.ending.is_some()) {
                for agent in &job.agents {
                    let order = order::Order::Acknowledge(key.clone());
                    self.actions.push(Action::Order(agent.clone(), order));
                }
            }
            self.unacknowledged.pop_front();
        }
    }

    fn forget(&mut self, now: time::Instant) {
        while let Some((at, key)) = self.ended.front() {
            let old = now.saturating_duration_since(*at) >= KEEP || self.ended.len() > MAX_KEPT;
            if !old {
                return;
            }
            if self.jobs.get(key).is_some_and(|job| job.ending.is_some()) {
                self.jobs.remove(key);
            }
            self.ended.pop_front();
        }
    }
}
