//! Runs the agent's side of the connection to its backend server: requests listings, sends orders and checks
//! the time bounds.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time;

use tokio::time::{sleep, timeout};

use crate::awake;
use crate::besteffort::agent::{
    wake_all_links, wake_links_with_unsent, Answer, Inner, ListCall, ListingError,
    LISTING_ANSWER_MARGIN, TICK,
};
use crate::clock;
use crate::decide::besteffort::message::Run;
use crate::decide::besteffort::slots::{Check, CheckResult, Order, StartAnswer};
use crate::mutex;

/// Interval at which the time bounds are checked while the agent holds no run.
const IDLE_TICK: time::Duration = time::Duration::from_millis(100);

/// A check of the time bounds that is late by more than this shows that the process stood still. On an ordinary machine
/// it is late by a few milliseconds.
const MIN_STANDSTILL: time::Duration = time::Duration::from_millis(40);

/// How long the backend server may delay a listing until a run ends; it bounds the age of the lease and of the
/// reported progress.
const MAX_LISTING_WAIT: time::Duration = time::Duration::from_millis(150);

/// How long a delayed listing may go unanswered while something runs before a second one asks for the present
/// state. About the time between two ends at an agent under ordinary load (33 ms).
const PROBE_AFTER: time::Duration = time::Duration::from_millis(40);

/// How long the delayed listing may still take after the second one has listed an end.
const DELAYED_LISTING_GRACE: time::Duration = time::Duration::from_millis(5);

/// How long the agent waits for a listing that tells whether a start without an answer was carried out. On an
/// ordinary machine the listing takes a millisecond or two.
const CONFIRMATION_TIMEOUT: time::Duration = time::Duration::from_millis(30);

/// Pause after a listing that failed.
const LISTING_PAUSE: time::Duration = time::Duration::from_millis(100);

pub(super) async fn tick(inner: Arc<Inner>) {
    let mut last = clock::since_boot();
    let mut skipped_check = false;
    let bounds = inner.cfg.bounds;
    let leftovers_lapse_at = last + bounds.lease_lapses_within();
    loop {
        let idle = mutex::lock(&inner.slots).is_idle();
        let interval = if idle { IDLE_TICK } else { TICK };
        sleep(interval).await;
        let now = clock::since_boot();
        let pause = now - last;
        if pause > bounds.silence {
            log::warn!(ms = pause.as_millis() as u64; "this process stood still");
        }
        last = now;
        if now > leftovers_lapse_at {
            inner.leftovers_ended.store(true, Ordering::Relaxed);
        }
        renew_if_late(&inner, now);
        // After a standstill, what arrived meanwhile is read first: it may show that a run has ended, or that an entry
        // is up.
        skipped_check = !skipped_check && pause > interval + MIN_STANDSTILL;
        if !skipped_check {
            mutex::lock(&inner.slots).tick(now);
        }
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

/// Keeps a delayed listing under way at the backend server, so that ends are learned at once and the lease is
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

/// Waits until a run has ended, or for [`MAX_LISTING_WAIT`], with a listing that the backend server delays
/// until then. Returns false if that listing failed.
///
/// A lost listing looks like one that is delayed until a run ends. When one order in twenty was lost, one end
/// in ten was learned 200 ms late, and its slot was idle for as long. So while something runs and no listing
/// came for [`PROBE_AFTER`], a second listing asks for the present state. If that one contains an end, the
/// delayed one is lost and is given up.
async fn wait_for_end(inner: &Arc<Inner>) -> bool {
    let delayed = list_once(inner, MAX_LISTING_WAIT);
    tokio::pin!(delayed);
    loop {
        let is_working = mutex::lock(&inner.slots).is_working();
        tokio::select! {
            listed = &mut delayed => return listed.is_some(),
            // A listing of the incarnation before may hang until its timeout; if the agent waited for it, the
            // new incarnation would look unreachable.
            () = inner.new_incarnation.notified() => return true,
            // An idle agent, as most of a large fleet are, needn't wake up to see that nothing runs.
            () = inner.work_began.notified(), if !is_working => continue,
            () = sleep(PROBE_AFTER), if is_working => {}
        }
        if !mutex::lock(&inner.slots).is_working() {
            continue;
        }
        let end_count = list_once(inner, time::Duration::ZERO).await;
        if end_count.is_some_and(|count| count > 0) {
            return match timeout(DELAYED_LISTING_GRACE, &mut delayed).await {
                Ok(listed) => listed.is_some(),
                Err(_) => true,
            };
        }
    }
}

/// Checks whether an incarnation that has announced itself is up.
pub(super) async fn check_incarnation(inner: Arc<Inner>, check: Check) {
    let sent = clock::since_boot();
    let call = (inner.server.list)(ListCall {
        to: check.to.clone(),
        lease_until_ms: None,
        acknowledged: 0,
        wait: time::Duration::ZERO,
    });
    let result = match timeout(LISTING_ANSWER_MARGIN, call).await {
        Ok(Ok(listing)) => CheckResult::Answered(listing),
        Ok(Err(ListingError::AnotherIncarnation)) => CheckResult::AnotherIncarnation,
        Ok(Err(ListingError::NoAnswer | ListingError::Refused)) | Err(_) => CheckResult::NoAnswer,
    };
    let is_idle = matches!(&result, CheckResult::Answered(listing) if listing.running.is_empty());
    let is_current =
        mutex::lock(&inner.slots).check_answered(clock::since_boot(), sent, &check, result);
    if !is_current {
        return;
    }
    if is_idle {
        inner.leftovers_ended.store(true, Ordering::Relaxed);
    }
    inner.new_incarnation.notify_one();
    send_orders(&inner);
    wake_all_links(&inner);
}

/// Requests a listing and handles it. Returns the number of ends in it; none without an answer.
async fn list_once(inner: &Arc<Inner>, wait: time::Duration) -> Option<usize> {
    let sent = clock::since_boot();
    let call = {
        let mut slots = mutex::lock(&inner.slots);
        let leftovers_ended = inner.leftovers_ended.load(Ordering::Relaxed);
        ListCall {
            to: slots.recipient(),
            lease_until_ms: leftovers_ended.then(|| slots.renew_lease(sent)).flatten(),
            acknowledged: slots.acknowledged_end(),
            wait,
        }
    };
    let asked = call.to.clone();
    let answer = timeout(wait + LISTING_ANSWER_MARGIN, (inner.server.list)(call)).await;
    let now = clock::since_boot();
    // An answer from or about an earlier incarnation, which was under way when the next one was accepted, says
    // nothing about what runs now. If it were used, it would end runs that have just begun, and their tasks
    // would run twice.
    if mutex::lock(&inner.slots).recipient() != asked {
        return None;
    }
    let listing = match answer {
        Ok(Ok(listing)) => listing,
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
    if listing.running.is_empty() {
        inner.leftovers_ended.store(true, Ordering::Relaxed);
    }
    let end_count = listing.ended.len();
    let changed = {
        let mut slots = mutex::lock(&inner.slots);
        let before = slots.advertised_backend();
        slots.listing_received(now, sent, listing);
        slots.advertised_backend() != before
    };
    send_orders(inner);
    if changed {
        wake_all_links(inner);
    } else {
        wake_links_with_unsent(inner);
    }
    Some(end_count)
}

/// Sends the orders that the agent has decided to the backend server.
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
    if answer == StartAnswer::Unknown {
        // If the run is listed, it is kept. Otherwise it is stopped, since its start may be carried out later.
        let listing = list_once(&inner, time::Duration::ZERO);
        let _ = awake::timeout(CONFIRMATION_TIMEOUT, listing).await;
    }
    mutex::lock(&inner.slots).start_answered(clock::since_boot(), &run, answer);
    inner.work_began.notify_one();
    send_orders(&inner);
    wake_links_with_unsent(&inner);
}

async fn await_stop(inner: Arc<Inner>, run: Run, answer: Answer<bool>) {
    if answer.await {
        let start_unconfirmed = mutex::lock(&inner.slots).stop_answered(clock::since_boot(), &run);
        inner.work_began.notify_one();
        if start_unconfirmed {
            // The delayed listing that is under way waits for an end, which may never come.
            list_once(&inner, time::Duration::ZERO).await;
        }
    }
}
