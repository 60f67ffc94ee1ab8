//! Who yields: how much slot time each client account has lately asked for, whether it got it or not.
//!
//! Used time alone can't tell the client account that floods the system from one that merely uses its
//! part: under overload both may use the same. Offered work can. `docs/design/queue.md` compares
//! the two.

use std::collections::HashMap;
use std::time;

use crate::id;

/// Time constant with which offered work fades.
pub const DECAY_TIME: time::Duration = time::Duration::from_secs(10);

/// How often client accounts are sorted anew.
pub const CLASSIFY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Shortest time over which a rate is worked out, so that the first job isn't taken for a flood.
const MIN_SPAN: f64 = 0.25;

/// How many times more the next client account must offer for those below it to go before it beyond
/// their equal share.
const GAP: f64 = 2.0;

/// By how much such client accounts may together seem to exceed the capacity, since a burst of them does
/// so for a while.
const BURST: f64 = 1.15;

/// Weight of a job in the mean slot time of a job.
const JOB_GAIN: f64 = 0.01;

/// Rates below this share of a slot are forgotten.
const NEGLIGIBLE: f64 = 1e-4;

/// What the client accounts of one cell ask for.
#[derive(Clone, Debug)]
pub struct Demand {
    opened: time::Instant,
    refreshed: time::Instant,
    client_accounts: HashMap<id::ClientAccount, Offered>,
    /// Mean slot time of a job, in seconds.
    job: f64,
    light: usize,
    light_rate: f64,
}

#[derive(Clone, Debug)]
struct Offered {
    /// Slot time in seconds, faded up to `at`.
    work: f64,
    at: time::Instant,
    /// What a heavy client account may count on, in slots; none for a light one.
    share: Option<f64>,
}

impl Offered {
    fn fade(&mut self, now: time::Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.work *= (-age / DECAY_TIME.as_secs_f64()).exp();
        self.at = self.at.max(now);
    }
}

impl Demand {
    /// Opens the books.
    pub fn open(now: time::Instant) -> Demand {
        Demand {
            opened: now,
            refreshed: now,
            client_accounts: HashMap::new(),
            job: 0.0,
            light: 0,
            light_rate: 0.0,
        }
    }

    /// Notes work that a client account asks for, in seconds of slot time; refused work counts as well.
    pub fn record_offer(&mut self, now: time::Instant, account: &id::ClientAccount, seconds: f64) {
        let offered = self
            .client_accounts
            .entry(account.clone())
            .or_insert_with(|| Offered {
                work: 0.0,
                at: now,
                share: None,
            });
        offered.fade(now);
        offered.work += seconds;
        self.job += JOB_GAIN * (seconds - self.job);
    }

    /// Tells whether a client account goes before the heavy ones; true for one never seen.
    pub fn is_light(&self, account: &id::ClientAccount) -> bool {
        self.client_accounts
            .get(account)
            .is_none_or(|offered| offered.share.is_none())
    }

    /// Slots that a heavy client account may count on; none for a light one.
    pub fn heavy_share(&self, account: &id::ClientAccount) -> Option<f64> {
        self.client_accounts
            .get(account)
            .and_then(|offered| offered.share)
    }

    /// Light client accounts that have asked for anything of late.
    pub fn light_count(&self) -> usize {
        self.light
    }

    /// Slots that the light client accounts together ask for.
    pub fn light_rate(&self) -> f64 {
        self.light_rate
    }

    /// Corrects what was noted of a task by what it used, so that nobody becomes light, or makes
    /// others heavy, by what it declares.
    pub fn correct(&mut self, now: time::Instant, account: &id::ClientAccount, seconds: f64) {
        if let Some(offered) = self.client_accounts.get_mut(account) {
            offered.fade(now);
            offered.work = (offered.work + seconds).max(0.0);
        }
    }

    /// Sorts the client accounts anew where that is due. Returns those that changed, and whether each is
    /// light now.
    pub fn classify(&mut self, now: time::Instant, slots: u32) -> Vec<(id::ClientAccount, bool)> {
        if now.saturating_duration_since(self.refreshed) < CLASSIFY_INTERVAL {
            return Vec::new();
        }
        self.refreshed = now;
        let mut rates = self.rates(now);
        rates.sort_by(|a, b| a.1.total_cmp(&b.1));
        let capacity = f64::from(slots);
        let light = light_ones(&rates, capacity);
        self.light = light;
        self.light_rate = rates[..light].iter().map(|(_, rate)| rate).sum();
        let mut left = (capacity - self.light_rate - self.scatter()).max(1.0);
        let mut changed = Vec::new();
        for (i, (account, rate)) in rates.iter().enumerate() {
            let sharers = (rates.len() - i) as f64;
            // Whoever comes next may count on an equal part of what those before it leave.
            let share = (i >= light).then(|| (left / sharers).max(1.0));
            left -= share.map_or(0.0, |share| share.min(*rate));
            let offered = self
                .client_accounts
                .get_mut(account)
                .expect("it was listed");
            if offered.share.is_some() != share.is_some() {
                changed.push((account.clone(), share.is_none()));
            }
            offered.share = share;
        }
        changed
    }

    /// By how much the light client accounts may exceed their rate for as long as a job waits: the
    /// standard deviation of jobs that arrive at random.
    fn scatter(&self) -> f64 {
        (self.light_rate * self.job / DECAY_TIME.as_secs_f64()).sqrt()
    }

    /// Slots that each client account asks for, without those that ask for next to nothing.
    fn rates(&mut self, now: time::Instant) -> Vec<(id::ClientAccount, f64)> {
        let window = DECAY_TIME.as_secs_f64();
        let age = now.saturating_duration_since(self.opened).as_secs_f64();
        let span = (window * (1.0 - (-age / window).exp())).max(MIN_SPAN);
        self.client_accounts.retain(|_, offered| {
            offered.fade(now);
            offered.share.is_some() || offered.work > NEGLIGIBLE * span
        });
        self.client_accounts
            .iter()
            .map(|(account, offered)| (account.clone(), offered.work / span))
            .collect()
    }
}

/// How many of the client accounts, least first, go before the others.
///
/// One is light if an equal share of what lighter ones leave would do for it, or if all up to it
/// fit together and whoever comes next offers far more.
fn light_ones(rates: &[(id::ClientAccount, f64)], capacity: f64) -> usize {
    let mut light = 0;
    let mut below = 0.0;
    for (i, (_, rate)) in rates.iter().enumerate() {
        let sharers = (rates.len() - i) as f64;
        let has_share = below + rate * sharers <= capacity;
        let next = rates.get(i + 1).map(|(_, next)| *next);
        let stands_apart = next.is_some_and(|next| next >= GAP * rate);
        below += rate;
        if has_share || (stands_apart && below <= BURST * capacity) {
            light = i + 1;
        }
    }
    light
}
