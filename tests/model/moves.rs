//! The events that can happen next in a state, and their effects.

use std::sync::Arc;
use std::time;

use lovagemill::code;
use lovagemill::decide::action::{self, Action};
use lovagemill::decide::inherit;
use lovagemill::decide::ledger;
use lovagemill::decide::notice;
use lovagemill::decide::order;
use lovagemill::decide::owner;
use lovagemill::id;
use lovagemill::submission;
use lovagemill::task;

use crate::digest;
use crate::world::{
    self, Joining, Message, Mutation, Node, Ownership, Row, World, AGENTS, ENTRIES,
};

/// Returns the states that can follow, each after one event.
pub fn all(node: &Node) -> Vec<Node> {
    let world = &node.world;
    if world.truth.violation.is_some() {
        return Vec::new();
    }
    let mut next = Vec::new();
    let mut add = |step: String, change: &dyn Fn(&mut World) -> bool| {
        let mut after = world.clone();
        if change(&mut after) {
            normalize(&mut after);
            after.step = step;
            next.push(Node::of(after));
        }
    };
    add("time passes".into(), &|w| pass_time(w, None));
    for e in 0..ENTRIES {
        let name = e + 1;
        if world.entries[e].ownership.is_none() {
            add(format!("entry {name} takes the cell"), &|w| take_cell(w, e));
            continue;
        }
        add(format!("time passes, but entry {name} is frozen"), &|w| {
            pass_time(w, Some(e))
        });
        add(format!("the caller submits to entry {name}"), &|w| {
            submit(w, e)
        });
        add(format!("the caller cancels at entry {name}"), &|w| {
            cancel(w, e)
        });
        add(format!("entry {name} dies"), &|w| entry_dies(w, e));
        add(format!("entry {name} reads the members"), &|w| {
            read_members(w, e)
        });
        add(format!("entry {name} writes its claims"), &|w| {
            write_claims(w, e, false)
        });
        add(
            format!("entry {name} writes its claims, the answer is lost"),
            &|w| write_claims(w, e, true),
        );
        add(format!("entry {name} gives up waiting for claims"), &|w| {
            refuse_claims(w, e)
        });
        if world.clock > 0 {
            add(format!("entry {name} writes a heartbeat"), &|w| {
                prove_ownership(w, e)
            });
            add(format!("entry {name} does what is due"), &|w| tick(w, e));
        }
        if world.bounds.mutation == Mutation::BlindRetry {
            add(format!("entry {name} repeats starts elsewhere"), &|w| {
                blind_retry(w, e)
            });
        }
        for a in 0..AGENTS {
            add(format!("entry {name} loses its link to agent {a}"), &|w| {
                lose_link(w, e, a)
            });
        }
    }
    for a in 0..AGENTS {
        add(
            format!("agent {a} dies and starts again with an empty memory"),
            &|w| agent_dies(w, a),
        );
        if world.agents[a].joining != Joining::Joined {
            add(format!("agent {a} joins, first step"), &|w| {
                join_first(w, a)
            });
            add(format!("agent {a} joins, second step"), &|w| {
                join_second(w, a)
            });
        }
        for index in &world.agents[a].running {
            add(format!("task {index} ends on agent {a}"), &|w| {
                finish_task(w, a, *index)
            });
        }
    }
    for message in &world.messages {
        add(format!("arrives: {message:?}"), &|w| {
            w.messages.remove(message);
            deliver(w, message)
        });
        if world.used.duplicates < world.bounds.duplicates {
            add(format!("arrives, and will again: {message:?}"), &|w| {
                w.used.duplicates += 1;
                deliver(w, message)
            });
        }
    }
    next
}

/// Sends the hellos that are due, and removes messages that no receiver would act on, so that equal
/// states are recognized as equal.
fn normalize(w: &mut World) {
    for e in 0..ENTRIES {
        for a in 0..AGENTS {
            send_hello(w, e, a);
        }
    }
    let fence = w.bounds.mutation != Mutation::FenceRemoved;
    let (agents, entries) = (&w.agents, &w.entries);
    let owner_epoch = |entry: usize| {
        entries[entry]
            .ownership
            .as_ref()
            .map(|ownership| ownership.epoch)
    };
    let has_effect = |message: &Message| match message {
        Message::Hello {
            entry,
            epoch,
            agent,
        } => {
            let stale = fence && *epoch < agents[*agent].ledger.get().epoch();
            !stale && owner_epoch(*entry) == Some(*epoch)
        }
        Message::Down {
            epoch,
            agent,
            incarnation,
            ..
        } => {
            let agent = &agents[*agent];
            let stale = fence && *epoch < agent.ledger.get().epoch();
            !stale && *incarnation >= agent.incarnation
        }
        Message::Up { entry, epoch, .. } => owner_epoch(*entry) == Some(*epoch),
    };
    if !w.messages.iter().all(|message| has_effect(message)) {
        w.messages.retain(|message| has_effect(message));
    }
}

/// Advances the clock by one step, without the monotonic clock of the entry in `frozen`.
fn pass_time(w: &mut World, frozen: Option<usize>) -> bool {
    let stride = w.bounds.stride;
    if w.clock + stride > w.bounds.seconds {
        return false;
    }
    w.clock += stride;
    if let Some(e) = frozen {
        if w.used.frozen >= w.bounds.frozen || w.entries[e].ownership.is_none() {
            return false;
        }
        w.used.frozen += 1;
        w.entries[e].clock_lag += stride;
    }
    true
}

/// Lets an entry's owner handle an event and performs its actions. Tells whether the event had an
/// effect.
fn handle_event(
    w: &mut World,
    e: usize,
    event: impl FnOnce(&mut owner::Owner, time::Instant),
) -> bool {
    let now = w.now(e);
    let Some(ownership) = &mut w.entries[e].ownership else {
        return false;
    };
    let before = ownership.owner.digest();
    let actions = ownership.owner.change(|owner| {
        event(owner, now);
        owner.take_actions()
    });
    let changed = ownership.owner.digest() != before || !actions.is_empty();
    for action in actions {
        perform_action(w, e, action);
    }
    changed
}

fn perform_action(w: &mut World, e: usize, action: Action) {
    match action {
        Action::Order(agent, order) => {
            let agent = world::agent_index(&agent);
            let ownership = w.entries[e]
                .ownership
                .as_mut()
                .expect("an entry that acts has an owner");
            if let Some(incarnation) = ownership.links[agent] {
                w.messages.insert(Arc::new(Message::Down {
                    epoch: ownership.epoch,
                    agent,
                    incarnation,
                    order: serde_json::to_string(&order).expect("orders have a codec"),
                }));
            }
        }
        Action::Claim(claim) => {
            let ownership = w.entries[e]
                .ownership
                .as_mut()
                .expect("an entry that acts has an owner");
            ownership
                .pending_claims
                .change(|pending_claims| pending_claims.push(claim));
        }
        Action::Reply(waiter, ending) => check_reply(w, e, waiter, &ending),
        Action::Record(_) => {}
    }
}

/// Checks an ending that the caller gets against what happened in truth.
fn check_reply(w: &mut World, e: usize, waiter: action::WaiterId, ending: &submission::Ending) {
    match ending {
        submission::Ending::Complete(answers) => {
            let right = |(index, answer): (usize, &serde_json::value::RawValue)| {
                answer.get() == index.to_string()
            };
            let all = answers.len() == w.bounds.tasks as usize;
            if !all || !answers.iter().map(Box::as_ref).enumerate().all(right) {
                w.report_violation("a partial or foreign answer reached the caller");
            }
        }
        submission::Ending::Failed(refusal) => {
            let epoch = w.entries[e].ownership.as_ref().map_or(0, |o| o.epoch);
            let newest = waiter == u64::from(w.used.submissions);
            // docs/design/claims.md states what a previous owner may still answer.
            if !refusal.not_run || !newest || epoch < w.table.epoch {
                return;
            }
            w.truth.answered_not_run = true;
            if w.truth.started.values().any(|n| *n > 0) {
                w.report_violation(format!(
                    "the caller got \"not run\" ({}) for a job whose task had started",
                    refusal.code
                ));
            }
        }
    }
}

fn submit(w: &mut World, e: usize) -> bool {
    if w.used.submissions >= w.bounds.submissions {
        return false;
    }
    w.used.submissions += 1;
    w.truth.answered_not_run = false;
    let submission = world::submission(&w.bounds);
    let waiter = u64::from(w.used.submissions);
    handle_event(w, e, |owner, now| owner.submit(now, submission, waiter))
}

fn cancel(w: &mut World, e: usize) -> bool {
    if w.used.cancels >= w.bounds.cancels || w.used.submissions == 0 {
        return false;
    }
    w.used.cancels += 1;
    // The answer to the cancellation itself isn't checked: it says nothing about the job.
    handle_event(w, e, |owner, now| owner.cancel(now, &world::key(), 99))
}

fn entry_dies(w: &mut World, e: usize) -> bool {
    if w.used.entry_deaths >= w.bounds.entry_deaths || w.entries[e].ownership.is_none() {
        return false;
    }
    w.used.entry_deaths += 1;
    end_owner(w, e);
    true
}

/// Ends an entry's owner and resets the lag of the entry's clock.
fn end_owner(w: &mut World, e: usize) {
    w.entries[e].ownership = None;
    w.entries[e].clock_lag = 0;
}

fn take_cell(w: &mut World, e: usize) -> bool {
    let before_deaths = w.bounds.agents_die_early && w.clock == 0 && w.table.epoch > 0;
    if before_deaths {
        return false;
    }
    let bound_reached = w.used.takeovers >= w.bounds.takeovers;
    if bound_reached
        || w.entries[e].ownership.is_some()
        || w.table.owner == Some(e) && w.used.entry_deaths == 0
    {
        return false;
    }
    w.used.takeovers += 1;
    if w.bounds.kill_previous_owner {
        w.entries[1 - e].ownership = None;
    }
    w.table.owner = Some(e);
    w.table.epoch += 1;
    let epoch = w.table.epoch;
    let (now, wall) = (w.now(e), w.entry_wall(e));
    let owner = owner::Owner::open(epoch, world::policy(), world::config(), now, wall);
    w.entries[e].ownership = Some(Ownership {
        epoch,
        owner: digest::Digested::open(owner),
        members_read: false,
        pending_claims: digest::Digested::default(),
        links: [None; AGENTS],
        hello_sent: [None; AGENTS],
        retried: false,
    });
    // Reading the claims later would make no difference: writes of previous owners fail from now
    // on.
    let claims = w.table.claims.get().clone();
    handle_event(w, e, |owner, now| owner.set_earlier_claims(now, claims));
    true
}

fn read_members(w: &mut World, e: usize) -> bool {
    let rows = w.table.rows.clone();
    let Some(ownership) = &mut w.entries[e].ownership else {
        return false;
    };
    if std::mem::replace(&mut ownership.members_read, true) {
        return false;
    }
    let present = || {
        rows.iter()
            .enumerate()
            .filter(|(_, row)| row.incarnation > 0)
    };
    let current = |(a, row): (usize, &Row)| inherit::AgentIncarnation {
        agent: world::agent_id(a),
        incarnation: row.incarnation,
    };
    let lost = |(_, row): (usize, &Row)| row.lost.clone();
    let lost: Vec<_> = present()
        .flat_map(lost)
        .map(|(incarnation, at_ms)| inherit::LostIncarnation {
            incarnation,
            at_ms,
            claimed: false,
        })
        .collect();
    let incarnations: Vec<_> = present().map(current).collect();
    handle_event(w, e, |owner, now| {
        owner.set_members(now, incarnations, &lost)
    });
    true
}

fn write_claims(w: &mut World, e: usize, answer_lost: bool) -> bool {
    let Some(ownership) = &mut w.entries[e].ownership else {
        return false;
    };
    if ownership.pending_claims.get().is_empty()
        || answer_lost && w.used.lost_answers >= w.bounds.lost_answers
    {
        return false;
    }
    let conditional = w.bounds.mutation != Mutation::ClaimUnconditional;
    if conditional && w.table.epoch != ownership.epoch {
        end_owner(w, e);
        return true;
    }
    let claims: Vec<_> = ownership
        .pending_claims
        .get()
        .iter()
        .map(inherit::StoredClaim::of)
        .collect();
    w.table.claims.change(|all| {
        all.retain(|old| !claims.contains(old));
        all.extend(claims);
    });
    if answer_lost {
        w.used.lost_answers += 1;
        return true;
    }
    let pending_claims = ownership.pending_claims.change(std::mem::take);
    handle_event(w, e, |owner, now| {
        owner.claims_written(now, &pending_claims)
    });
    true
}

fn refuse_claims(w: &mut World, e: usize) -> bool {
    let Some(ownership) = &w.entries[e].ownership else {
        return false;
    };
    let blocking = ownership
        .pending_claims
        .get()
        .iter()
        .filter(|claim| claim.blocks_starts);
    let keys: Vec<_> = blocking.map(|claim| claim.key.clone()).collect();
    if keys.is_empty() || w.used.refusals >= w.bounds.refusals {
        return false;
    }
    w.used.refusals += 1;
    let down = code::Code::StoreDown;
    handle_event(w, e, |owner, now| owner.claims_refused(now, &keys, down))
}

/// A heartbeat: proves the ownership, or shows that it is lost.
fn prove_ownership(w: &mut World, e: usize) -> bool {
    let Some(ownership) = &w.entries[e].ownership else {
        return false;
    };
    if ownership.epoch != w.table.epoch {
        end_owner(w, e);
        return true;
    }
    let begun = w.now(e);
    handle_event(w, e, |owner, _| owner.note_ownership_proof(begun))
}

fn tick(w: &mut World, e: usize) -> bool {
    handle_event(w, e, owner::Owner::tick)
}

/// Only by mutation: starts whose answers are slow are sent to the other agent too.
fn blind_retry(w: &mut World, e: usize) -> bool {
    if w.bounds.mutation != Mutation::BlindRetry {
        return false;
    }
    let Some(ownership) = &mut w.entries[e].ownership else {
        return false;
    };
    if std::mem::replace(&mut ownership.retried, true) {
        return false;
    }
    let mut again = Vec::new();
    for message in &w.messages {
        let Message::Down {
            epoch,
            agent,
            order,
            ..
        } = &**message
        else {
            continue;
        };
        let other = 1 - agent;
        let linked = ownership.links[other].filter(|_| *epoch == ownership.epoch);
        if let (Some(incarnation), true) = (linked, order.contains("start")) {
            again.push(Arc::new(Message::Down {
                epoch: *epoch,
                agent: other,
                incarnation,
                order: order.clone(),
            }));
        }
    }
    w.messages.extend(again);
    true
}

/// Sends a hello to an agent's incarnation if none was sent yet; it may arrive at any later time.
fn send_hello(w: &mut World, e: usize, a: usize) {
    let incarnation = w.table.rows[a].incarnation;
    if w.bounds.cut_off == Some((e, a)) {
        return;
    }
    let Some(ownership) = &mut w.entries[e].ownership else {
        return;
    };
    if !ownership.members_read || incarnation == 0 || ownership.hello_sent[a] == Some(incarnation) {
        return;
    }
    ownership.hello_sent[a] = Some(incarnation);
    w.messages.insert(Arc::new(Message::Hello {
        entry: e,
        epoch: ownership.epoch,
        agent: a,
    }));
}

fn lose_link(w: &mut World, e: usize, a: usize) -> bool {
    let Some(ownership) = &mut w.entries[e].ownership else {
        return false;
    };
    if w.used.link_losses >= w.bounds.link_losses || ownership.links[a].is_none() {
        return false;
    }
    w.used.link_losses += 1;
    ownership.links[a] = None;
    ownership.hello_sent[a] = None;
    handle_event(w, e, |owner, now| {
        owner.agent_link_lost(now, &world::agent_id(a))
    })
}

fn agent_dies(w: &mut World, a: usize) -> bool {
    let late = w.bounds.agents_die_early && w.clock > 0;
    if late || w.used.agent_deaths >= w.bounds.agent_deaths {
        return false;
    }
    w.used.agent_deaths += 1;
    let agent = &mut w.agents[a];
    agent.ledger = digest::Digested::open(ledger::Ledger::default());
    agent.incarnation += 1;
    agent.joining = Joining::Nothing;
    agent.owner = None;
    agent.newest_hello = 0;
    agent.running.clear();
    true
}

/// Joins in the order of agent/join.rs: writes the row first and reads the epoch after.
fn join_first(w: &mut World, a: usize) -> bool {
    if w.agents[a].joining != Joining::Nothing {
        return false;
    }
    if w.bounds.mutation == Mutation::JoinReversed {
        w.agents[a].joining = Joining::Read(w.table.epoch);
    } else {
        write_row(w, a);
        w.agents[a].joining = Joining::Written;
    }
    true
}

fn join_second(w: &mut World, a: usize) -> bool {
    let epoch = match w.agents[a].joining {
        Joining::Written => w.table.epoch,
        Joining::Read(epoch) => {
            write_row(w, a);
            epoch
        }
        Joining::Nothing | Joining::Joined => return false,
    };
    w.agents[a].ledger.change(|ledger| ledger.join(epoch));
    w.agents[a].joining = Joining::Joined;
    send_notice(w, a, &notice::Notice::Heartbeat);
    true
}

fn write_row(w: &mut World, a: usize) {
    let at_ms = w.agent_wall(a).as_millis() as u64;
    let row = &mut w.table.rows[a];
    if row.incarnation > 0 && w.bounds.mutation != Mutation::LostIncarnationsIgnored {
        row.lost.push((row.incarnation, at_ms));
    }
    row.incarnation = w.agents[a].incarnation;
}

fn finish_task(w: &mut World, a: usize, index: id::TaskIndex) -> bool {
    let now = w.true_now();
    let agent = &mut w.agents[a];
    if !agent.running.remove(&index) {
        return false;
    }
    let id = task::Id {
        job: world::key(),
        index,
    };
    let value = serde_json::value::RawValue::from_string(index.to_string());
    let outcome = task::Outcome::Done(value.expect("a number is JSON"));
    agent
        .ledger
        .change(|ledger| ledger.finish(now, &id, outcome.clone(), 100_000));
    let answer = notice::Answer {
        id,
        outcome,
        ran_us: 100_000,
    };
    send_notice(w, a, &notice::Notice::Answer(answer));
    true
}

/// Sends a notice to the agent's owner, if that is still there.
fn send_notice(w: &mut World, a: usize, notice: &notice::Notice) {
    let Some((entry, epoch)) = w.agents[a].owner else {
        return;
    };
    let alive = w.entries[entry].ownership.as_ref();
    if alive.is_some_and(|ownership| ownership.epoch == epoch) {
        w.messages.insert(Arc::new(Message::Up {
            entry,
            epoch,
            agent: a,
            slots: u32::from(w.agents[a].joining == Joining::Joined),
            notice: serde_json::to_string(notice).expect("notices have a codec"),
        }));
    }
}

fn deliver(w: &mut World, message: &Message) -> bool {
    match message {
        Message::Hello {
            entry,
            epoch,
            agent,
        } => receive_hello(w, *entry, *epoch, *agent),
        Message::Down {
            epoch,
            agent,
            incarnation,
            order,
        } => {
            let order = serde_json::from_str(order).expect("orders have a codec");
            receive_order(w, *agent, *epoch, *incarnation, order)
        }
        Message::Up {
            entry,
            epoch,
            agent,
            slots,
            notice,
        } => {
            let notice = serde_json::from_str(notice).expect("notices have a codec");
            receive_notice(w, *entry, *epoch, *agent, *slots, notice)
        }
    }
}

/// Handles a hello as agent/runner.rs does.
fn receive_hello(w: &mut World, entry: usize, epoch: id::Epoch, a: usize) -> bool {
    let fence = w.bounds.mutation != Mutation::FenceRemoved;
    let agent = &mut w.agents[a];
    if fence
        && agent
            .ledger
            .change(|ledger| ledger.raise_fence(epoch))
            .is_err()
    {
        return true;
    }
    agent.newest_hello = agent.newest_hello.max(epoch);
    agent.owner = Some((entry, epoch));
    let welcome = notice::Welcome {
        incarnation: agent.incarnation,
        failure_domain: "".into(),
        rack: "".into(),
        tasks: agent.ledger.get().task_states(),
    };
    send_notice(w, a, &notice::Notice::Welcome(welcome));
    true
}

/// Handles an order as agent/runner.rs does.
fn receive_order(
    w: &mut World,
    a: usize,
    epoch: id::Epoch,
    incarnation: id::Incarnation,
    order: order::Order,
) -> bool {
    let now = w.true_now();
    let fence = w.bounds.mutation != Mutation::FenceRemoved;
    let agent = &mut w.agents[a];
    if incarnation != agent.incarnation || fence && epoch < agent.ledger.get().epoch() {
        return true;
    }
    match order {
        order::Order::Start(start) => {
            let verdict = agent
                .ledger
                .change(|ledger| ledger.start(now, epoch, &start.id, start.attempt));
            match verdict {
                ledger::StartDecision::Run => start_task(w, a, epoch, start.id.index),
                ledger::StartDecision::Duplicate => {}
                ledger::StartDecision::Refuse(code) => {
                    send_notice(w, a, &notice::Notice::Refused(start.attempt(), code));
                }
            }
        }
        order::Order::Cancel(job) => {
            let running = agent
                .ledger
                .change(|ledger| ledger.cancel(now, epoch, &job));
            for id in running {
                stop_task(w, a, &id);
            }
        }
        order::Order::Acknowledge(job) => {
            agent
                .ledger
                .change(|ledger| ledger.acknowledge(epoch, &job));
        }
        order::Order::Resolve(asked) => resolve(w, a, epoch, &asked),
        order::Order::Heartbeat => {}
    }
    true
}

/// Starts a task on an agent's backend server and checks that it may.
fn start_task(w: &mut World, a: usize, epoch: id::Epoch, index: id::TaskIndex) {
    if epoch < w.agents[a].newest_hello {
        w.report_violation("a previous owner started a task");
    }
    if w.truth.answered_not_run {
        w.report_violation("a task started after its job was answered with \"not run\"");
    }
    w.agents[a].running.insert(index);
    let times = w.truth.started.entry(index).or_default();
    *times += 1;
    if *times > 1 {
        w.report_violation(format!("task {index} started twice"));
    }
}

fn stop_task(w: &mut World, a: usize, id: &task::Id) {
    let now = w.true_now();
    let agent = &mut w.agents[a];
    if !agent.running.remove(&id.index) {
        return;
    }
    let outcome = task::Outcome::Failed(code::Code::Cancelled);
    agent
        .ledger
        .change(|ledger| ledger.finish(now, id, outcome.clone(), 0));
    let answer = notice::Answer {
        id: id.clone(),
        outcome,
        ran_us: 0,
    };
    send_notice(w, a, &notice::Notice::Answer(answer));
}

fn resolve(w: &mut World, a: usize, epoch: id::Epoch, asked: &[order::Attempt]) {
    let now = w.true_now();
    let ledger = &mut w.agents[a].ledger;
    let states = ledger.change(|ledger| ledger.resolve(now, epoch, asked));
    for (asked, state) in states {
        let notice = match w.agents[a].ledger.get().answer(&asked.id) {
            Some((outcome, ran_us)) => notice::Notice::Answer(notice::Answer {
                id: asked.id,
                outcome,
                ran_us,
            }),
            None => notice::Notice::Standing(asked, state),
        };
        send_notice(w, a, &notice);
    }
}

/// Handles a notice as entry/cell.rs does.
fn receive_notice(
    w: &mut World,
    e: usize,
    epoch: id::Epoch,
    a: usize,
    slots: u32,
    notice: notice::Notice,
) -> bool {
    let Some(ownership) = &mut w.entries[e].ownership else {
        return true;
    };
    if ownership.epoch != epoch {
        return true;
    }
    let id = world::agent_id(a);
    let load = notice::Load {
        slots,
        ..notice::Load::default()
    };
    match notice {
        notice::Notice::Welcome(welcome) => {
            ownership.links[a] = Some(welcome.incarnation);
            handle_event(w, e, |owner, now| {
                owner.handle_welcome(now, &id, welcome, load)
            });
        }
        notice => {
            handle_event(w, e, |owner, now| {
                owner.handle_notice(now, &id, notice);
                owner.update_load(now, &id, load);
            });
        }
    }
    true
}
