//! The page of the logs against the sources: every message and field of the two programs.

#[path = "support/files.rs"]
mod files;
#[path = "support/log_calls.rs"]
mod log_calls;

use std::collections::BTreeSet;

use files::{files, read, root};
use log_calls::{calls, fields, message, FOLDERS};

fn quoted(page: &str) -> BTreeSet<&str> {
    page.split('`').skip(1).step_by(2).collect()
}

#[test]
fn every_message_and_field_is_on_the_page() {
    let page = quoted(include_str!("../docs/LOGS.md"));
    let mut seen = 0;
    for path in FOLDERS
        .iter()
        .flat_map(|folder| files(&root().join(folder), "rs"))
    {
        let text = read(&path);
        for (_, call) in calls(&text) {
            seen += 1;
            let message = message(&call).unwrap_or_else(|| panic!("{}: {call}", path.display()));
            assert!(page.contains(message), "{}: {message}", path.display());
            for field in fields(&call) {
                assert!(page.contains(field), "{}: field {field}", path.display());
            }
        }
    }
    assert!(seen > 40, "only {seen} log calls were found");
}
