//! The numbered codes against their page, and against each other.

use std::collections::BTreeSet;

use lovagemill::code::{Code, Outcome};
use lovagemill::refusal::Refusal;

fn row(code: Code) -> String {
    let outcome = match code.outcome() {
        Outcome::NotRun => "not run",
        Outcome::Failed => "failed",
        Outcome::Unknown => "unknown",
    };
    let (status, advice) = (code.status(), code.advice());
    format!("| {code} | {code:?} | {status} | {outcome} | {advice} |")
}

/// The page is what callers go by, so it must hold every code, as it is, and no other.
#[test]
fn the_page_holds_the_table() {
    let page = include_str!("../docs/CODES.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| LM"))
        .collect();
    let expected: Vec<String> = Code::ALL.iter().copied().map(row).collect();
    assert_eq!(
        rows,
        expected,
        "docs/CODES.md should hold:\n{}",
        expected.join("\n")
    );
}

#[test]
fn numbers_are_in_order_and_told_apart() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    let sorted: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(numbers, sorted.into_iter().collect::<Vec<_>>());
}

/// The first digit is a promise: scripts may retry on 1 and 2 without looking at the rest.
#[test]
fn first_digits_tell_the_outcome() {
    for code in Code::ALL {
        let expected = match code.number() / 1_000 {
            1 | 2 => Outcome::NotRun,
            3 => Outcome::Failed,
            4 => Outcome::Unknown,
            _ => continue,
        };
        assert_eq!(code.outcome(), expected, "{code}");
    }
}

/// A caller's program reads the three fields, not the advice, so they must agree with the code.
#[test]
fn refusals_say_what_their_code_says() {
    for code in Code::ALL {
        let refusal = Refusal::new(*code);
        assert_eq!(refusal.not_run, code.outcome() == Outcome::NotRun, "{code}");
        assert_eq!(
            refusal.unknown,
            code.outcome() == Outcome::Unknown,
            "{code}"
        );
        let text = serde_json::to_string(&refusal).expect("JSON");
        let read: Refusal = serde_json::from_str(&text).expect("a refusal");
        assert_eq!(read.code, *code);
    }
}
