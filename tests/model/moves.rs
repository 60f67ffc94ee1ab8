//! Everything that can happen next in a world.

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
use crate::world::{self, Joining, Message, Mutation, Node, Owning, Row, World, AGENTS, ENTRIES};

/// The worlds that can follow.
pub fn all(node: &Node) -> Vec<Node> {
    let world = &node.world;
    if world.truth.wrong.is_some() {
        return Vec::new();
    }
    let mut next = Vec::new();
    let mut add = |step: String, change: &dyn Fn(&mut World) -> bool| {
        let mut after = world.clone();
        if change(&mut after) {
            tidy(&mut after);
            after.step = step;
            next.push(Node::of(after));
        }
    };
    add("time passes".into(), &|w| pass(w, None));
    for e in 0..ENTRIES {
        let name = e + 1;
        if world.entries[e].owning.is_none() {
            add(format!("entry {name} takes the cell"), &|w| take(w, e));
            continue;
        }
        add(format!("time passes, but entry {name} is frozen"), &|w| {
            pass(w, Some(e))
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
            add(format!("entry {name} beats"), &|w| beat(w, e));
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
                finish(w, a, *index)
            });
        }
    }
    for message in &world.wire {
        add(format!("arrives: {message:?}"), &|w| {
            w.wire.remove(message);
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

/// Sends the hellos that are due, and takes messages away that nobody would heed any more.
fn tidy(w: &mut World) {
    for e in 0..ENTRIES {
        for a in 0..AGENTS {
            link(w, e, a);
        }
    }
    let fence = w.bounds.mutation != Mutation::FenceRemoved;
    let (agents, entries) = (&w.agents, &w.entries);
    let owned = |entry: usize| entries[entry].owning.as_ref().map(|owning| owning.epoch);
    let heeded = |message: &Message| match message {
        Message::Hello {
            entry,
            epoch,
            agent,
        } => {
            let stale = fence && *epoch < agents[*agent].ledger.get().epoch();
            !stale && owned(*entry) == Some(*epoch)
        }
        Message::Down {
            epoch, agent, life, ..
        } => {
            let agent = &agents[*agent];
            let stale = fence && *epoch < agent.ledger.get().epoch();
            !stale && *life >= agent.life
        }
        Message::Up { entry, epoch, .. } => owned(*entry) == Some(*epoch),
    };
    if !w.wire.iter().all(|message| heeded(message)) {
        w.wire.retain(|message| heeded(message));
    }
}

fn pass(w: &mut World, frozen: Option<usize>) -> bool {
    let stride = w.bounds.stride;
    if w.clock + stride > w.bounds.seconds {
        return false;
    }
    w.clock += stride;
    if let Some(e) = frozen {
        if w.used.frozen >= w.bounds.frozen || w.entries[e].owning.is_none() {
            return false;
        }
        w.used.frozen += 1;
        w.entries[e].behind += stride;
    }
    true
}

/// Feeds an event to an owner and does what it asks.
fn feed(w: &mut World, e: usize, event: impl FnOnce(&mut owner::Owner, time::Instant)) -> bool {
    let now = w.now(e);
    let Some(owning) = &mut w.entries[e].owning else {
        return false;
    };
    let before = owning.owner.print();
    let actions = owning.owner.change(|owner| {
        event(owner, now);
        owner.actions()
    });
    let changed = owning.owner.print() != before || !actions.is_empty();
    for action in actions {
        perform(w, e, action);
    }
    changed
}

fn perform(w: &mut World, e: usize, action: Action) {
    match action {
        Action::Order(agent, order) => {
            let agent = world::agent_index(&agent);
            let owning = w.entries[e].owning.as_mut().expect("it acts");
            if let Some(life) = owning.links[agent] {
                w.wire.insert(Arc::new(Message::Down {
                    epoch: owning.epoch,
                    agent,
                    life,
                    order: serde_json::to_string(&order).expect("orders have a codec"),
                }));
            }
        }
        Action::Claim(claim) => {
            let owning = w.entries[e].owning.as_mut().expect("it acts");
            owning.pending.change(|pending| pending.push(claim));
        }
        Action::Reply(waiter, ending) => reply(w, e, waiter, &ending),
        Action::Record(_) => {}
    }
}

fn reply(w: &mut World, e: usize, waiter: action::Waiter, ending: &submission::Ending) {
    match ending {
        submission::Ending::Complete(answers) => {
            let right = |(index, answer): (usize, &serde_json::value::RawValue)| {
                answer.get() == index.to_string()
            };
            let all = answers.len() == w.bounds.tasks as usize;
            if !all || !answers.iter().map(Box::as_ref).enumerate().all(right) {
                w.wrong("a partial or foreign answer reached the caller");
            }
        }
        submission::Ending::Failed(refusal) => {
            let epoch = w.entries[e].owning.as_ref().map_or(0, |o| o.epoch);
            let newest = waiter == u64::from(w.used.submissions);
            // What an owner of the past says is bounded in docs/design/claims.md.
            if !refusal.not_run || !newest || epoch < w.table.epoch {
                return;
            }
            w.truth.denied = true;
            if w.truth.started.values().any(|n| *n > 0) {
                w.wrong(format!(
                    "\"not run\" ({}) was said of what had run",
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
    w.truth.denied = false;
    let submission = world::submission(&w.bounds);
    let waiter = u64::from(w.used.submissions);
    feed(w, e, |owner, now| owner.submit(now, submission, waiter))
}

fn cancel(w: &mut World, e: usize) -> bool {
    if w.used.cancels >= w.bounds.cancels || w.used.submissions == 0 {
        return false;
    }
    w.used.cancels += 1;
    // The answer of the cancellation itself tells nothing about the job.
    feed(w, e, |owner, now| owner.cancel(now, &world::key(), 99))
}

fn entry_dies(w: &mut World, e: usize) -> bool {
    if w.used.entry_deaths >= w.bounds.entry_deaths || w.entries[e].owning.is_none() {
        return false;
    }
    w.used.entry_deaths += 1;
    stop(w, e);
    true
}

/// An owner ends.
fn stop(w: &mut World, e: usize) {
    w.entries[e].owning = None;
    w.entries[e].behind = 0;
}

fn take(w: &mut World, e: usize) -> bool {
    let early = w.bounds.lost_early && w.clock == 0 && w.table.epoch > 0;
    if early {
        return false;
    }
    let limit = w.used.takeovers >= w.bounds.takeovers;
    if limit
        || w.entries[e].owning.is_some()
        || w.table.owner == Some(e) && w.used.entry_deaths == 0
    {
        return false;
    }
    w.used.takeovers += 1;
    if w.bounds.kill {
        w.entries[1 - e].owning = None;
    }
    w.table.owner = Some(e);
    w.table.epoch += 1;
    let epoch = w.table.epoch;
    let (now, wall) = (w.now(e), w.entry_wall(e));
    let owner = owner::Owner::open(epoch, world::policy(), world::config(), now, wall);
    w.entries[e].owning = Some(Owning {
        epoch,
        owner: digest::Part::open(owner),
        members: false,
        pending: digest::Part::default(),
        links: [None; AGENTS],
        greeted: [None; AGENTS],
        blind: false,
    });
    // The claims may be read at any later time: no write of an owner before succeeds any more.
    let claims = w.table.claims.get().clone();
    feed(w, e, |owner, now| owner.set_earlier_claims(now, claims));
    true
}

fn read_members(w: &mut World, e: usize) -> bool {
    let rows = w.table.rows.clone();
    let Some(owning) = &mut w.entries[e].owning else {
        return false;
    };
    if std::mem::replace(&mut owning.members, true) {
        return false;
    }
    let present = || rows.iter().enumerate().filter(|(_, row)| row.life > 0);
    let life = |(a, row): (usize, &Row)| inherit::Life {
        agent: world::agent_id(a),
        incarnation: row.life,
    };
    let lost = |(_, row): (usize, &Row)| row.lost.clone();
    let lost: Vec<_> = present()
        .flat_map(lost)
        .map(|(incarnation, at_ms)| inherit::LostLife {
            incarnation,
            at_ms,
            claimed: false,
        })
        .collect();
    let lives: Vec<_> = present().map(life).collect();
    feed(w, e, |owner, now| owner.set_members(now, lives, &lost));
    true
}

fn write_claims(w: &mut World, e: usize, answer_lost: bool) -> bool {
    let Some(owning) = &mut w.entries[e].owning else {
        return false;
    };
    if owning.pending.get().is_empty()
        || answer_lost && w.used.lost_answers >= w.bounds.lost_answers
    {
        return false;
    }
    let conditional = w.bounds.mutation != Mutation::ClaimUnconditional;
    if conditional && w.table.epoch != owning.epoch {
        stop(w, e);
        return true;
    }
    let claims: Vec<_> = owning
        .pending
        .get()
        .iter()
        .map(inherit::Claimed::of)
        .collect();
    w.table.claims.change(|all| {
        all.retain(|old| !claims.contains(old));
        all.extend(claims);
    });
    if answer_lost {
        w.used.lost_answers += 1;
        return true;
    }
    let pending = owning.pending.change(std::mem::take);
    feed(w, e, |owner, now| owner.claims_written(now, &pending));
    true
}

fn refuse_claims(w: &mut World, e: usize) -> bool {
    let Some(owning) = &w.entries[e].owning else {
        return false;
    };
    let ahead = owning.pending.get().iter().filter(|claim| claim.ahead);
    let keys: Vec<_> = ahead.map(|claim| claim.key.clone()).collect();
    if keys.is_empty() || w.used.refusals >= w.bounds.refusals {
        return false;
    }
    w.used.refusals += 1;
    let down = code::Code::StoreDown;
    feed(w, e, |owner, now| owner.claims_refused(now, &keys, down))
}

fn beat(w: &mut World, e: usize) -> bool {
    let Some(owning) = &w.entries[e].owning else {
        return false;
    };
    if owning.epoch != w.table.epoch {
        stop(w, e);
        return true;
    }
    let begun = w.now(e);
    feed(w, e, |owner, _| owner.note_ownership_proof(begun))
}

fn tick(w: &mut World, e: usize) -> bool {
    feed(w, e, owner::Owner::tick)
}

/// A mutation: starts whose answers are slow are sent to the other agent too.
fn blind_retry(w: &mut World, e: usize) -> bool {
    if w.bounds.mutation != Mutation::BlindRetry {
        return false;
    }
    let Some(owning) = &mut w.entries[e].owning else {
        return false;
    };
    if std::mem::replace(&mut owning.blind, true) {
        return false;
    }
    let mut again = Vec::new();
    for message in &w.wire {
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
        let linked = owning.links[other].filter(|_| *epoch == owning.epoch);
        if let (Some(life), true) = (linked, order.contains("start")) {
            again.push(Arc::new(Message::Down {
                epoch: *epoch,
                agent: other,
                life,
                order: order.clone(),
            }));
        }
    }
    w.wire.extend(again);
    true
}

/// Sends every hello that can be sent; it may arrive at any later time.
fn link(w: &mut World, e: usize, a: usize) {
    let life = w.table.rows[a].life;
    if w.bounds.cut_off == Some((e, a)) {
        return;
    }
    let Some(owning) = &mut w.entries[e].owning else {
        return;
    };
    if !owning.members || life == 0 || owning.greeted[a] == Some(life) {
        return;
    }
    owning.greeted[a] = Some(life);
    w.wire.insert(Arc::new(Message::Hello {
        entry: e,
        epoch: owning.epoch,
        agent: a,
    }));
}

fn lose_link(w: &mut World, e: usize, a: usize) -> bool {
    let Some(owning) = &mut w.entries[e].owning else {
        return false;
    };
    if w.used.link_losses >= w.bounds.link_losses || owning.links[a].is_none() {
        return false;
    }
    w.used.link_losses += 1;
    owning.links[a] = None;
    owning.greeted[a] = None;
    feed(w, e, |owner, now| {
        owner.agent_link_lost(now, &world::agent_id(a))
    })
}

fn agent_dies(w: &mut World, a: usize) -> bool {
    let late = w.bounds.lost_early && w.clock > 0;
    if late || w.used.agent_deaths >= w.bounds.agent_deaths {
        return false;
    }
    w.used.agent_deaths += 1;
    let agent = &mut w.agents[a];
    agent.ledger = digest::Part::open(ledger::Ledger::default());
    agent.life += 1;
    agent.joining = Joining::Nothing;
    agent.owner = None;
    agent.greeted = 0;
    agent.running.clear();
    true
}

/// The order of agent/join.rs: the row first, the epoch after.
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
    tell(w, a, &notice::Notice::Heartbeat);
    true
}

fn write_row(w: &mut World, a: usize) {
    let at_ms = w.agent_wall(a).as_millis() as u64;
    let row = &mut w.table.rows[a];
    if row.life > 0 && w.bounds.mutation != Mutation::LostLivesIgnored {
        row.lost.push((row.life, at_ms));
    }
    row.life = w.agents[a].life;
}

fn finish(w: &mut World, a: usize, index: id::TaskIndex) -> bool {
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
    tell(w, a, &notice::Notice::Answer(answer));
    true
}

fn tell(w: &mut World, a: usize, notice: &notice::Notice) {
    let Some((entry, epoch)) = w.agents[a].owner else {
        return;
    };
    let alive = w.entries[entry].owning.as_ref();
    if alive.is_some_and(|owning| owning.epoch == epoch) {
        w.wire.insert(Arc::new(Message::Up {
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
        } => greet(w, *entry, *epoch, *agent),
        Message::Down {
            epoch,
            agent,
            life,
            order,
        } => {
            let order = serde_json::from_str(order).expect("orders have a codec");
            obey(w, *agent, *epoch, *life, order)
        }
        Message::Up {
            entry,
            epoch,
            agent,
            slots,
            notice,
        } => {
            let notice = serde_json::from_str(notice).expect("notices have a codec");
            hear(w, *entry, *epoch, *agent, *slots, notice)
        }
    }
}

/// What agent/work.rs does with a hello.
fn greet(w: &mut World, entry: usize, epoch: id::Epoch, a: usize) -> bool {
    let fence = w.bounds.mutation != Mutation::FenceRemoved;
    let agent = &mut w.agents[a];
    if fence && agent.ledger.change(|ledger| ledger.fence(epoch)).is_err() {
        return true;
    }
    agent.greeted = agent.greeted.max(epoch);
    agent.owner = Some((entry, epoch));
    let welcome = notice::Welcome {
        incarnation: agent.life,
        failure_domain: "".into(),
        rack: "".into(),
        tasks: agent.ledger.get().report(),
    };
    tell(w, a, &notice::Notice::Welcome(welcome));
    true
}

/// What agent/work.rs does with an order.
fn obey(
    w: &mut World,
    a: usize,
    epoch: id::Epoch,
    life: id::Incarnation,
    order: order::Order,
) -> bool {
    let now = w.true_now();
    let fence = w.bounds.mutation != Mutation::FenceRemoved;
    let agent = &mut w.agents[a];
    if life != agent.life || fence && epoch < agent.ledger.get().epoch() {
        return true;
    }
    match order {
        order::Order::Start(start) => {
            let verdict = agent
                .ledger
                .change(|ledger| ledger.start(now, epoch, &start.id, start.attempt));
            match verdict {
                ledger::Verdict::Run => run(w, a, epoch, start.id.index),
                ledger::Verdict::Duplicate => {}
                ledger::Verdict::Refuse(code) => {
                    tell(w, a, &notice::Notice::Refused(start.attempt(), code));
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

fn run(w: &mut World, a: usize, epoch: id::Epoch, index: id::TaskIndex) {
    if epoch < w.agents[a].greeted {
        w.wrong("an owner of the past started a task");
    }
    if w.truth.denied {
        w.wrong("a task started after \"not run\" was said of its job");
    }
    w.agents[a].running.insert(index);
    let times = w.truth.started.entry(index).or_default();
    *times += 1;
    if *times > 1 {
        w.wrong(format!("task {index} started twice"));
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
    tell(w, a, &notice::Notice::Answer(answer));
}

fn resolve(w: &mut World, a: usize, epoch: id::Epoch, asked: &[order::Attempt]) {
    let now = w.true_now();
    let ledger = &mut w.agents[a].ledger;
    let standings = ledger.change(|ledger| ledger.resolve(now, epoch, asked));
    for (asked, standing) in standings {
        let notice = match w.agents[a].ledger.get().answer(&asked.id) {
            Some((outcome, ran_us)) => notice::Notice::Answer(notice::Answer {
                id: asked.id,
                outcome,
                ran_us,
            }),
            None => notice::Notice::Standing(asked, standing),
        };
        tell(w, a, &notice);
    }
}

/// What entry/cell.rs does with a notice.
fn hear(
    w: &mut World,
    e: usize,
    epoch: id::Epoch,
    a: usize,
    slots: u32,
    notice: notice::Notice,
) -> bool {
    let Some(owning) = &mut w.entries[e].owning else {
        return true;
    };
    if owning.epoch != epoch {
        return true;
    }
    let id = world::agent_id(a);
    let load = notice::Load {
        slots,
        ..notice::Load::default()
    };
    match notice {
        notice::Notice::Welcome(welcome) => {
            owning.links[a] = Some(welcome.incarnation);
            feed(w, e, |owner, now| {
                owner.handle_welcome(now, &id, welcome, load)
            });
        }
        notice => {
            feed(w, e, |owner, now| {
                owner.handle_notice(now, &id, notice);
                owner.update_load(now, &id, load);
            });
        }
    }
    true
}
