//! Estimates of run times: they are learned from observations, with the declared run times as a prior.

use std::time::Duration;

use compact_str::CompactString;
use lovagemill::decide::estimate::Estimates;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ACCOUNT: CompactString = CompactString::const_new("town");
const KIND: CompactString = CompactString::const_new("check");

/// Guards against estimates that follow declared run times which are all wrong by the same factor. They are
/// corrected, and still distinguish long tasks from short ones.
#[test]
fn constant_error_is_corrected() {
    for factor in [0.1, 10.0] {
        let mut estimates = Estimates::default();
        let mut rng = SmallRng::seed_from_u64(1);
        for _ in 0..50 {
            let ms: u64 = rng.random_range(50..1_000);
            let declared = (ms as f64 * factor) as u64;
            estimates.observe(&ACCOUNT, &KIND, declared, Duration::from_millis(ms));
        }
        let estimate = estimates.estimate(&ACCOUNT, &KIND, (700.0 * factor) as u64);
        assert!((650..750).contains(&estimate.as_millis()), "{estimate:?}");
    }
}

/// Guards against estimates that follow declared run times which don't correlate with the observed ones. The
/// estimate is then the mean of the observations.
#[test]
fn uncorrelated_declarations_are_ignored() {
    let mut estimates = Estimates::default();
    let mut rng = SmallRng::seed_from_u64(2);
    for _ in 0..200 {
        let declared = 10_u64.pow(rng.random_range(1..6));
        let ran = Duration::from_millis(rng.random_range(290..310));
        estimates.observe(&ACCOUNT, &KIND, declared, ran);
    }
    let estimate = estimates.estimate(&ACCOUNT, &KIND, 100_000);
    assert!((280..320).contains(&estimate.as_millis()), "{estimate:?}");
}

/// Guards against an estimate of zero for a kind of task that hasn't run yet: the declared run time
/// is the estimate, and without a declaration a default is.
#[test]
fn declared_value_is_the_prior() {
    let estimates = Estimates::default();
    let declared = estimates.estimate(&ACCOUNT, &KIND, 700);
    assert_eq!(declared, Duration::from_millis(700));
    assert!(estimates.estimate(&ACCOUNT, &KIND, 0) > Duration::ZERO);
}
