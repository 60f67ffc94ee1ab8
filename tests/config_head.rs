//! When a process reads the watched rows itself, and the bounds on the delay of a change that
//! follow.

use std::time;

use lovagemill::decide::head::{self, WatchState};
use lovagemill::wire::peer;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// The slowest propagation of a change: the owner reads just before the change and once more after
/// its pause, its next message is sent one heartbeat interval later, and the receiver reads the
/// watched rows and then the document. Each of these two reads is taken as 500 ms.
#[test]
fn bounds_add_up_to_less_than_five_seconds() {
    let reads = ms(2 * 500);
    assert!(head::OWNER_READ_INTERVAL + peer::HEARTBEAT + reads < ms(5_000));
    assert!(head::MAX_CONFIRMATION_AGE + reads < ms(5_000));
}

#[test]
fn first_read_is_due_at_once() {
    let now = time::Instant::now();
    assert_eq!(WatchState::default().next_read_in(now, false), ms(0));
    assert_eq!(WatchState::default().next_read_in(now, true), ms(0));
}

#[test]
fn fresh_digest_of_the_same_rows_delays_a_read_but_not_an_owners() {
    let start = time::Instant::now();
    let mut watch_state = WatchState::default();
    assert!(watch_state.record_read(start, 7));
    let later = start + ms(2_900);
    assert!(!watch_state.record_remote_read(later, 7, ms(400)));
    assert_eq!(
        watch_state.next_read_in(later, false),
        head::MAX_CONFIRMATION_AGE - ms(400)
    );
    assert_eq!(watch_state.next_read_in(later, true), ms(0));
}

/// Guards against an entry that serves an old configuration for minutes. Its peer couldn't read the
/// table any more and kept sending the digest of its last read. A digest carries the age of the
/// read behind it, so an old one doesn't delay this entry's own read.
#[test]
fn old_digest_delays_no_read() {
    let start = time::Instant::now();
    let mut watch_state = WatchState::default();
    watch_state.record_read(start, 7);
    let later = start + ms(3_000);
    assert!(!watch_state.record_remote_read(later, 7, ms(3_000)));
    assert_eq!(watch_state.next_read_in(later, false), ms(0));
}

#[test]
fn digest_that_is_passed_on_keeps_the_age_of_its_read() {
    let start = time::Instant::now();
    let mut watch_state = WatchState::default();
    watch_state.record_read(start, 7);
    watch_state.record_remote_read(start + ms(2_000), 7, ms(500));
    assert_eq!(
        watch_state.known_digest(start + ms(2_200)),
        Some((7, ms(700)))
    );
}

#[test]
fn fresher_rows_that_differ_are_read_at_once_and_older_ones_are_not() {
    let start = time::Instant::now();
    let mut watch_state = WatchState::default();
    watch_state.record_read(start + ms(1_000), 7);
    let now = start + ms(1_500);
    assert!(
        watch_state.record_remote_read(now, 8, ms(100)),
        "newer than this process's own read"
    );
    assert!(
        !watch_state.record_remote_read(now, 6, ms(900)),
        "older than this process's own read"
    );
}

#[test]
fn process_that_has_read_nothing_reads_at_the_first_digest() {
    let now = time::Instant::now();
    let mut watch_state = WatchState::default();
    assert!(watch_state.record_remote_read(now, 0, ms(0)));
    assert_eq!(watch_state.known_digest(now), None);
}
