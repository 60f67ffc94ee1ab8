//! What the kernel tells of this process: processor time by thread name, and resident memory.

use std::collections::BTreeMap;
use std::fs;

/// Bytes of a page of memory, as `statm` counts them.
const PAGE: f64 = 4_096.0;

/// Seconds of processor time so far, by the names of the threads that are alive.
pub fn processor() -> BTreeMap<String, f64> {
    let mut by_name = BTreeMap::new();
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return by_name;
    };
    for thread in threads.flatten() {
        let read = |file| fs::read_to_string(thread.path().join(file)).unwrap_or_default();
        let nanos = read("schedstat").split(' ').next().map(str::to_owned);
        let seconds = nanos.and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1e9;
        *by_name.entry(read("comm").trim().to_owned()).or_default() += seconds;
    }
    by_name
}

/// Seconds of processor time of threads with one name, since an earlier reading.
pub fn since(before: &BTreeMap<String, f64>, name: &str) -> f64 {
    let now = processor().get(name).copied().unwrap_or(0.0);
    now - before.get(name).copied().unwrap_or(0.0)
}

/// Bytes of memory that are resident.
pub fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE
}
