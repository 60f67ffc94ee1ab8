//! Classifies client accounts as light or heavy by their offered work: the slot time that each has
//! lately asked for, including what was refused.
//!
//! Used slot time alone can't distinguish a client account that floods the system from one that
//! uses its fair share: under overload both may use the same amount. Their offered work differs.
//! `docs/design/queue.md` compares the two.

use std::collections::HashMap;
use std::time;

use crate::id;

/// Time constant of the exponential decay of offered work.
pub const DECAY_TIME: time::Duration = time::Duration::from_secs(10);

/// Interval at which client accounts are classified.
pub const CLASSIFY_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Shortest time over which a rate is computed, in seconds; over a shorter one, the first job alone
/// would give an excessive rate.
const MIN_RATE_SPAN: f64 = 0.25;

/// If a client account's rate is at least this many times the next lower one, all those below it
/// may be light although they exceed their equal share.
const MIN_RATE_RATIO: f64 = 2.0;

/// Share of the capacity that the rates of such client accounts may add up to. It exceeds 1, since
/// a burst of their work exceeds the capacity for a while.
const MAX_LIGHT_LOAD: f64 = 1.15;

/// Weight of a new job in the mean slot time of a job.
const JOB_WEIGHT: f64 = 0.01;

/// Rate, in slots, below which a light client account is forgotten.
const NEGLIGIBLE_RATE: f64 = 1e-4;

/// The demand of a cell's client accounts, and which of them are light.
#[derive(Clone, Debug)]
pub struct Demand {
    opened_at: time::Instant,
    classified_at: time::Instant,
    client_accounts: HashMap<id::ClientAccount, AccountDemand>,
    /// Mean slot time of a job, in seconds.
    mean_job_seconds: f64,
    /// Number of light client accounts, at the last classification.
    light_count: usize,
    /// Slots that those ask for together.
    light_rate: f64,
}

/// The recent demand of one client account.
#[derive(Clone, Debug)]
struct AccountDemand {
    /// Slot time that it has asked for, in seconds, decayed up to `decayed_at`.
    seconds: f64,
    decayed_at: time::Instant,
    /// Slots that a heavy client account can expect to get; `None` for a light one.
    share: Option<f64>,
}

impl AccountDemand {
    /// Applies the decay of the offered work from `decayed_at` to `now`.
    fn decay(&mut self, now: time::Instant) {
        let age = now.saturating_duration_since(self.decayed_at).as_secs_f64();
        self.seconds *= (-age / DECAY_TIME.as_secs_f64()).exp();
        self.decayed_at = self.decayed_at.max(now);
    }
}

impl Demand {
    /// Creates a record without any demand.
    pub fn open(now: time::Instant) -> Demand {
        Demand {
            opened_at: now,
            classified_at: now,
            client_accounts: HashMap::new(),
            mean_job_seconds: 0.0,
            light_count: 0,
            light_rate: 0.0,
        }
    }

    /// Records work that a client account asks for, in seconds of slot time; refused work counts
    /// too.
    pub fn record_offer(&mut self, now: time::Instant, account: &id::ClientAccount, seconds: f64) {
        let demand = self
            .client_accounts
            .entry(account.clone())
            .or_insert_with(|| AccountDemand {
                seconds: 0.0,
                decayed_at: now,
                share: None,
            });
        demand.decay(now);
        demand.seconds += seconds;
        self.mean_job_seconds += JOB_WEIGHT * (seconds - self.mean_job_seconds);
    }

    /// Returns whether a client account is light; true for one without any demand.
    pub fn is_light(&self, account: &id::ClientAccount) -> bool {
        self.client_accounts
            .get(account)
            .is_none_or(|demand| demand.share.is_none())
    }

    /// Returns the slots that a heavy client account can expect to get; `None` for a light one.
    pub fn heavy_share(&self, account: &id::ClientAccount) -> Option<f64> {
        self.client_accounts
            .get(account)
            .and_then(|demand| demand.share)
    }

    /// Returns the number of light client accounts with recent demand.
    pub fn light_count(&self) -> usize {
        self.light_count
    }

    /// Returns the slots that the light client accounts ask for together.
    pub fn light_rate(&self) -> f64 {
        self.light_rate
    }

    /// Adds the difference between used and estimated slot time of a task, in seconds, so that
    /// wrong declared run times make neither their client account light nor other ones heavy.
    pub fn correct(&mut self, now: time::Instant, account: &id::ClientAccount, seconds: f64) {
        if let Some(demand) = self.client_accounts.get_mut(account) {
            demand.decay(now);
            demand.seconds = (demand.seconds + seconds).max(0.0);
        }
    }

    /// Classifies the client accounts if [`CLASSIFY_INTERVAL`] has passed. Returns those that
    /// changed, and whether each is light now.
    pub fn classify(&mut self, now: time::Instant, slots: u32) -> Vec<(id::ClientAccount, bool)> {
        if now.saturating_duration_since(self.classified_at) < CLASSIFY_INTERVAL {
            return Vec::new();
        }
        self.classified_at = now;
        let mut rates = self.rates(now);
        rates.sort_by(|a, b| a.1.total_cmp(&b.1));
        let capacity = f64::from(slots);
        let light_count = count_light(&rates, capacity);
        self.light_count = light_count;
        self.light_rate = rates[..light_count].iter().map(|(_, rate)| rate).sum();
        let mut left = (capacity - self.light_rate - self.light_rate_deviation()).max(1.0);
        let mut changed = Vec::new();
        for (i, (account, rate)) in rates.iter().enumerate() {
            let sharers = (rates.len() - i) as f64;
            // Each heavy client account, lowest first, can expect an equal part of what those
            // before it leave.
            let share = (i >= light_count).then(|| (left / sharers).max(1.0));
            left -= share.map_or(0.0, |share| share.min(*rate));
            let demand = self
                .client_accounts
                .get_mut(account)
                .expect("rates come from the same map");
            if demand.share.is_some() != share.is_some() {
                changed.push((account.clone(), share.is_none()));
            }
            demand.share = share;
        }
        changed
    }

    /// Returns by how many slots the light client accounts may exceed their rate while a job waits:
    /// the standard deviation of their rate if jobs arrive at random.
    fn light_rate_deviation(&self) -> f64 {
        (self.light_rate * self.mean_job_seconds / DECAY_TIME.as_secs_f64()).sqrt()
    }

    /// Returns the slots that each client account asks for. Forgets the light client accounts whose
    /// rate is negligible.
    fn rates(&mut self, now: time::Instant) -> Vec<(id::ClientAccount, f64)> {
        let window = DECAY_TIME.as_secs_f64();
        let age = now.saturating_duration_since(self.opened_at).as_secs_f64();
        // Constant demand since the record was opened gives decayed work of its rate times this
        // span.
        let span = (window * (1.0 - (-age / window).exp())).max(MIN_RATE_SPAN);
        self.client_accounts.retain(|_, demand| {
            demand.decay(now);
            demand.share.is_some() || demand.seconds > NEGLIGIBLE_RATE * span
        });
        self.client_accounts
            .iter()
            .map(|(account, demand)| (account.clone(), demand.seconds / span))
            .collect()
    }
}

/// Returns how many of the client accounts, sorted by rate from the lowest, are light.
///
/// One is light if its rate is at most an equal share of what those with lower rates leave, or if
/// all up to it fit into the capacity together and the next one asks for far more.
fn count_light(rates: &[(id::ClientAccount, f64)], capacity: f64) -> usize {
    let mut light_count = 0;
    let mut below = 0.0;
    for (i, (_, rate)) in rates.iter().enumerate() {
        let sharers = (rates.len() - i) as f64;
        let fits_equal_share = below + rate * sharers <= capacity;
        let next = rates.get(i + 1).map(|(_, next)| *next);
        let is_next_far_higher = next.is_some_and(|next| next >= MIN_RATE_RATIO * rate);
        below += rate;
        if fits_equal_share || (is_next_far_higher && below <= MAX_LIGHT_LOAD * capacity) {
            light_count = i + 1;
        }
    }
    light_count
}
