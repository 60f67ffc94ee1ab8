//! After an owner and an agent were lost together: which new work may already have run, by the time
//! at which its key was minted.

use std::time;

use lovagemill::decide::inherit::{self, Found, Inheritance};

const TAKEN_AT: time::Duration = time::Duration::from_secs(1_000_000);

/// What an owner that took over knows of earlier work if one agent doesn't come back. The previous
/// owner may have started work without a claim until the time given.
fn successor(unclaimed_starts_until: time::Duration) -> Inheritance {
    let now = time::Instant::now();
    let mut inheritance = Inheritance::open(now, TAKEN_AT);
    inheritance.set_unclaimed_starts_until(unclaimed_starts_until);
    let incarnation = inherit::AgentIncarnation {
        agent: "a".into(),
        incarnation: 1,
    };
    inheritance.set_members(now, vec![incarnation], &[]);
    inheritance.set_claims(Vec::new());
    assert!(inheritance.is_ready(now + inherit::REPORT_TIMEOUT));
    inheritance
}

fn look_up(inheritance: &Inheritance, minted: time::Duration) -> Found {
    inheritance.look_up(&"canoas/k".into(), 1, Some(minted))
}

/// Guards against new work that is refused as "unknown" without need. A failure domain is lost with
/// the owner in it. The other entries see no new heartbeat for seconds and take over, and meanwhile
/// callers submit new work. All of it was answered "unknown", although the dead owner's last proof
/// of ownership, without which it may not start unclaimed work, was long too old.
#[test]
fn work_minted_after_the_dead_owner_could_start_it_is_new() {
    let unclaimed_starts_until = TAKEN_AT - time::Duration::from_secs(2);
    let inheritance = successor(unclaimed_starts_until);
    let minted = unclaimed_starts_until + 2 * inherit::CLOCK_SKEW;
    assert_eq!(look_up(&inheritance, minted), Found::Fresh);
}

/// As above, but the work was minted while the previous owner may still have started it, by clocks
/// that differ as much as they may. So it may run on the missing agent.
#[test]
fn work_minted_while_the_dead_owner_could_start_it_may_have_run() {
    let unclaimed_starts_until = TAKEN_AT - time::Duration::from_secs(2);
    let inheritance = successor(unclaimed_starts_until);
    let minted = unclaimed_starts_until + 2 * inherit::CLOCK_SKEW - time::Duration::from_millis(1);
    assert_eq!(look_up(&inheritance, minted), Found::MayHaveRun);
}

/// Guards against a job that runs twice. An owner and an agent are lost together before the claim
/// of a running job is written. The agent comes back with a new incarnation, and another entry,
/// which was paused, takes over only seconds later. The loss of the old incarnation counted as long
/// past, so the job ran again when it was submitted again.
#[test]
fn work_of_an_incarnation_lost_long_before_the_takeover_may_have_run() {
    let now = time::Instant::now();
    let mut inheritance = Inheritance::open(now, TAKEN_AT);
    let lost = TAKEN_AT - time::Duration::from_secs(8);
    let incarnation = inherit::LostIncarnation {
        incarnation: 1,
        at_ms: lost.as_millis() as u64,
        claimed: false,
    };
    inheritance.set_members(now, Vec::new(), &[incarnation]);
    inheritance.set_claims(Vec::new());
    let before = lost - time::Duration::from_secs(1);
    assert_eq!(look_up(&inheritance, before), Found::MayHaveRun);
    // An owner also starts keys that were minted up to this time after its last proof of ownership.
    let last = lost + inherit::TABLE_CONTACT_WINDOW + 2 * inherit::CLOCK_SKEW;
    let within = last - time::Duration::from_millis(1);
    assert_eq!(look_up(&inheritance, within), Found::MayHaveRun);
    let after = last;
    assert_eq!(look_up(&inheritance, after), Found::Fresh);
}
