//! Versioned configuration: checked as a whole, and never taken back by a slow read.
//!
//! Run with `cargo run --example versioned_configuration`.

use lovagemill::class::{Document, Versioned};
use lovagemill::decide::config::Current;

fn document(target_ms: u64) -> Document {
    let text = format!(
        "[[class]]\nname = \"trip-check\"\ntarget_ms = {target_ms}\n\n\
         [[quota]]\ncustomer = \"rede-estadual\"\nwaiting_tasks = 5000\n"
    );
    Document::parse(text.as_bytes()).expect("the document is right")
}

pub fn main() {
    // A mistaken document is refused as a whole, with every mistake named.
    let mistakes = Document::parse(b"[[class]]\nname = \"trip check\"\ntarget_ms = 0\n")
        .expect_err("the document is mistaken");
    for mistake in &mistakes {
        println!("{}: {}", mistake.place, mistake.mend);
    }
    assert_eq!(mistakes.len(), 2);

    // Version 2 comes into force; then a read of version 1 arrives that was under way for longer.
    let mut current = Current::default();
    let versioned = |version, target_ms| Versioned {
        version,
        document: document(target_ms),
    };
    assert!(
        current.get().is_none(),
        "nothing is served before a version was read"
    );
    assert!(current.accept(versioned(2, 6_000)));
    assert!(!current.accept(versioned(1, 8_000)), "it never goes back");

    // Another process tells of version 3 on a message that was sent anyway: reading pays now.
    assert!(!current.is_behind());
    current.record_remote_version(3);
    assert!(current.is_behind());
    assert!(current.accept(versioned(3, 5_000)));
    assert!(!current.is_behind());

    let config = current.get().expect("a version is in force");
    let class = config
        .document
        .class("trip-check")
        .expect("the class is there");
    println!(
        "version {} is in force; trip-check answers within {:?}",
        config.version,
        class.target()
    );
    assert_eq!(class.target_ms, 5_000);
}
