//! The agent's driver towards its backend server: listings, orders, and the look at the time bounds.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time;

use tokio::time::{sleep, timeout};

use crate::besteffort::agent::{
    wake_all_links, wake_links_with_unsent, Answer, Inner, ListCall, ListingError,
    LISTING_ANSWER_MARGIN, TICK,
};
use crate::clock;
use crate::decide::besteffort::message::Run;
use crate::decide::besteffort::slots::{Check, CheckResult, Order, StartAnswer};
use crate::mutex;

/// The same while nothing is held.
const IDLE_TICK: time::Duration = time::Duration::from_millis(100);

/// How long a listing may wait for an end; bounds the age of the lease and of the progress.
const MAX_LISTING_WAIT: time::Duration = time::Duration::from_millis(150);

/// How long nothing may be heard while something runs before what there is now is asked for. About what
/// passes between two ends at an agent under an ordinary load (33 ms).
const PROBE_AFTER: time::Duration = time::Duration::from_millis(40);

/// How long after an end was listed elsewhere the listing that waits for one may still come.
const WAITING_LISTING_GRACE: time::Duration = time::Duration::from_millis(5);

/// Pause after a listing that failed.
const LISTING_PAUSE: time::Duration = time::Duration::from_millis(100);

pub(super) async fn tick(inner: Arc<Inner>) {
    let mut last = clock::since_boot();
    let bounds = inner.cfg.bounds;
    let lapsed = last + bounds.lease_lapses_within();
    loop {
        let idle = mutex::lock(&inner.slots).is_idle();
        sleep(if idle { IDLE_TICK } else { TICK }).await;
        let now = clock::since_boot();
        if now - last > bounds.silence {
            log::warn!(ms = (now - last).as_millis() as u64; "this process stood still");
        }
        last = now;
        if now > lapsed {
            inner.leftovers_ended.store(true, Ordering::Relaxed);
        }
        renew_if_late(&inner, now);
        mutex::lock(&inner.slots).tick(now);
        send_orders(&inner);
        wake_links_with_unsent(&inner);
    }
}

fn renew_if_late(inner: &Arc<Inner>, now: time::Duration) {
    if mutex::lock(&inner.slots).is_renewal_overdue(now) {
        let inner = inner.clone();
        tokio::spawn(async move {
            let _ = list_once(&inner, time::Duration::ZERO).await;
        });
    }
}

/// Keeps a listing waiting at the backend server, so that ends are heard at once and the lease is
/// renewed.
pub(super) async fn keep_listing(inner: Arc<Inner>) {
    loop {
        if !wait_for_end(&inner).await {
            sleep(LISTING_PAUSE).await;
        }
        if mutex::lock(&inner.slots).is_idle() {
            let _ = timeout(MAX_LISTING_WAIT, inner.work_began.notified()).await;
        }
    }
}

/// Waits for a listing that tells of an end; false where none can be had.
///
/// A listing that waits may have been lost on its way, and looks just like one that waits for an end:
/// where one order in twenty was lost, one task in ten was heard to end 200 ms late, and its slot stood
/// idle for as long. So while something runs and nothing was heard for a moment, a second listing asks
/// what there is now. Has anything ended, the one that waits is lost and given up.
async fn wait_for_end(inner: &Arc<Inner>) -> bool {
    let waiting = list_once(inner, MAX_LISTING_WAIT);
    tokio::pin!(waiting);
    loop {
        let is_working = mutex::lock(&inner.slots).is_working();
        tokio::select! {
            listed = &mut waiting => return listed.is_some(),
            // A listing of the life before may hang for as long as it is allowed to; waiting for it
            // would make the new life look out of reach.
            () = inner.new_incarnation.notified() => return true,
            // An idle agent, which most of a large fleet are, needn't wake up to see that nothing runs.
            () = inner.work_began.notified(), if !is_working => continue,
            () = sleep(PROBE_AFTER), if is_working => {}
        }
        if !mutex::lock(&inner.slots).is_working() {
            continue;
        }
        let ends = list_once(inner, time::Duration::ZERO).await;
        if ends.is_some_and(|ends| ends > 0) {
            return match timeout(WAITING_LISTING_GRACE, &mut waiting).await {
                Ok(listed) => listed.is_some(),
                Err(_) => true,
            };
        }
    }
}

/// Asks a life that has announced itself whether it is there.
pub(super) async fn check_incarnation(inner: Arc<Inner>, check: Check) {
    let sent = clock::since_boot();
    let call = (inner.server.list)(ListCall {
        to: check.to.clone(),
        lease_until_ms: None,
        acknowledged: 0,
        wait: time::Duration::ZERO,
    });
    let checked = match timeout(LISTING_ANSWER_MARGIN, call).await {
        Ok(Ok(listing)) => CheckResult::Answered(listing),
        Ok(Err(ListingError::AnotherIncarnation)) => CheckResult::AnotherIncarnation,
        Ok(Err(ListingError::NoAnswer | ListingError::Refused)) | Err(_) => CheckResult::NoAnswer,
    };
    let is_idle = matches!(&checked, CheckResult::Answered(listing) if listing.running.is_empty());
    let known =
        mutex::lock(&inner.slots).check_answered(clock::since_boot(), sent, &check, checked);
    if !known {
        return;
    }
    if is_idle {
        inner.leftovers_ended.store(true, Ordering::Relaxed);
    }
    inner.new_incarnation.notify_one();
    send_orders(&inner);
    wake_all_links(&inner);
}

/// Lists what the backend server has; returns how many ends were listed, none without an answer.
async fn list_once(inner: &Arc<Inner>, wait: time::Duration) -> Option<usize> {
    let sent = clock::since_boot();
    let call = {
        let mut slots = mutex::lock(&inner.slots);
        let clean = inner.leftovers_ended.load(Ordering::Relaxed);
        ListCall {
            to: slots.recipient(),
            lease_until_ms: clean.then(|| slots.renew_lease(sent)).flatten(),
            acknowledged: slots.acknowledged_end(),
            wait,
        }
    };
    let asked = call.to.clone();
    let answer = timeout(wait + LISTING_ANSWER_MARGIN, (inner.server.list)(call)).await;
    let now = clock::since_boot();
    // Word from or about an earlier life, which was under way when the next one announced itself,
    // says nothing of what runs now. Taken for news, it ends runs that have just begun, and their
    // tasks run twice.
    if mutex::lock(&inner.slots).recipient() != asked {
        return None;
    }
    let listed = match answer {
        Ok(Ok(listed)) => listed,
        Ok(Err(ListingError::AnotherIncarnation)) => {
            mutex::lock(&inner.slots).another_incarnation_answered(now);
            return None;
        }
        Ok(Err(ListingError::Refused)) => {
            let took_work = {
                let mut slots = mutex::lock(&inner.slots);
                let before = slots.advertised_backend().takes_work;
                slots.connection_refused(now, &asked);
                before
            };
            send_orders(inner);
            if took_work {
                wake_all_links(inner);
            }
            return None;
        }
        Ok(Err(ListingError::NoAnswer)) | Err(_) => return None,
    };
    if listed.running.is_empty() {
        inner.leftovers_ended.store(true, Ordering::Relaxed);
    }
    let ends = listed.ended.len();
    let changed = {
        let mut slots = mutex::lock(&inner.slots);
        let before = slots.advertised_backend();
        slots.listing_received(now, sent, listed);
        slots.advertised_backend() != before
    };
    send_orders(inner);
    if changed {
        wake_all_links(inner);
    } else {
        wake_links_with_unsent(inner);
    }
    Some(ends)
}

/// Carries out what the slots ask for.
pub(super) fn send_orders(inner: &Arc<Inner>) {
    let orders = mutex::lock(&inner.slots).take_orders();
    for order in orders {
        let inner = inner.clone();
        match order {
            Order::Start {
                to,
                run,
                input,
                lease_until_ms,
            } => {
                let answer = (inner.server.start)(to, run.clone(), input, lease_until_ms);
                tokio::spawn(await_start(inner, run, answer));
            }
            Order::Stop { to, run } => {
                let answer = (inner.server.stop)(to, run.clone());
                tokio::spawn(await_stop(inner, run, answer));
            }
        }
    }
}

async fn await_start(inner: Arc<Inner>, run: Run, answer: Answer<StartAnswer>) {
    let answer = answer.await;
    mutex::lock(&inner.slots).start_answered(clock::since_boot(), &run, answer);
    inner.work_began.notify_one();
    send_orders(&inner);
    wake_links_with_unsent(&inner);
}

async fn await_stop(inner: Arc<Inner>, run: Run, answer: Answer<bool>) {
    if answer.await {
        let unsure = mutex::lock(&inner.slots).stop_answered(clock::since_boot(), &run);
        inner.work_began.notify_one();
        if unsure {
            // The listing that is under way waits for an end, which may never come.
            list_once(&inner, time::Duration::ZERO).await;
        }
    }
}
