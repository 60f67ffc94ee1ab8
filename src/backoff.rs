//! The pause before something that fails is asked again: growing, with jitter, by `backon`.
//!
//! Guards against a storm on a platform that comes back: all processes saw it fail at the same
//! moment, and without jitter they would all ask again at the same moment.

use std::time;

use backon::BackoffBuilder;

/// The pauses of one client of something that may be down.
#[derive(Debug)]
pub struct Backoff {
    builder: backon::ExponentialBuilder,
    pauses: backon::ExponentialBackoff,
    until: Option<time::Instant>,
}

/// Opens pauses that grow from `min` to `max`, each with up to its own length added.
pub fn open(min: time::Duration, max: time::Duration) -> Backoff {
    seeded(min, max, rand::random())
}

/// Opens pauses whose jitter comes from a seed.
pub fn seeded(min: time::Duration, max: time::Duration, seed: u64) -> Backoff {
    let builder = backon::ExponentialBuilder::default()
        .with_min_delay(min)
        .with_max_delay(max)
        .without_max_times()
        .with_jitter()
        .with_jitter_seed(seed);
    Backoff {
        pauses: builder.build(),
        builder,
        until: None,
    }
}

impl Backoff {
    /// The next pause.
    pub fn pause(&mut self) -> time::Duration {
        self.pauses.next().unwrap_or_default()
    }

    /// Starts from the shortest pause again.
    pub fn reset(&mut self) {
        self.pauses = self.builder.build();
        self.until = None;
    }

    /// Notes how an operation ended.
    pub fn note(&mut self, worked: bool) {
        if worked {
            if self.until.is_some() {
                self.reset();
            }
            return;
        }
        self.until = Some(time::Instant::now() + self.pause());
    }

    /// Time until the next operation may begin.
    pub fn left(&self) -> time::Duration {
        let now = time::Instant::now();
        self.until
            .map_or(time::Duration::ZERO, |at| at.saturating_duration_since(now))
    }
}
