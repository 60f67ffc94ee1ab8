//! Submission keys: how they are scoped, hashed to cells and read for a time of first submission.

use std::time;

use compact_str::format_compact;
use xxhash_rust::xxh3;

use crate::id;

/// Longest submission key taken from a caller, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Scopes a caller's key to its client account, so that two client accounts can't collide or read each other.
pub fn scoped(account: &str, key: &str) -> id::JobKey {
    format_compact!("{account}/{key}")
}

/// Tells which cell a key belongs to; every entry must compute the same, so the hash is fixed.
pub fn cell(key: &str, cells: u16) -> id::Cell {
    let cells = u64::from(cells.max(1));
    (xxh3::xxh3_64(key.as_bytes()) % cells) as id::Cell
}

/// Digests a body, to tell a resubmission from another job under the same key.
pub fn digest(body: &[u8]) -> u64 {
    xxh3::xxh3_64(body)
}

/// Reads the time of first submission out of a key that is a version 7 UUID.
///
/// Such a key lets an entry tell a fresh submission from a resubmission after a double failure; see
/// `docs/design/claims.md`. The result counts from the Unix epoch, in milliseconds.
pub fn minted_at(key: &str) -> Option<time::Duration> {
    let hex: String = key.chars().filter(|c| *c != '-').collect();
    let well_formed = hex.len() == 32 && hex.is_ascii() && key.len() == 36;
    if !well_formed || hex.as_bytes()[12] != b'7' {
        return None;
    }
    let millis = u64::from_str_radix(&hex[..12], 16).ok()?;
    Some(time::Duration::from_millis(millis))
}

/// Mints a version 7 UUID from a time since the Unix epoch and 74 random bits.
pub fn mint(since_epoch: time::Duration, random: u128) -> String {
    let millis = since_epoch.as_millis() as u64 & 0xffff_ffff_ffff;
    let a = (random & 0xfff) as u16;
    let b = ((random >> 12) & 0x3fff) as u16 | 0x8000;
    let c = (random >> 26) as u64 & 0xffff_ffff_ffff;
    let hi = millis >> 16;
    let lo = millis & 0xffff;
    format!("{hi:08x}-{lo:04x}-7{a:03x}-{b:04x}-{c:012x}")
}
