//! The filter chain as a table of cases: a submission, and the code with which it is refused, if
//! any.

use std::sync::Arc;

use bytes::Bytes;
use lovagemill::class::{Class, Document, Versioned};
use lovagemill::code::Code;
use lovagemill::filter::{self, Context, Draft, Kind};

fn context() -> Context {
    let class = Class {
        name: "check".into(),
        target_ms: 1_000,
        max_tasks: 3,
    };
    let document = Document {
        classes: vec![class],
        quotas: Vec::new(),
    };
    let versioned = Versioned {
        version: 1,
        document,
    };
    Context {
        config: Some(Arc::new(versioned)),
        draining: false,
    }
}

fn draft(kind: Kind, key: Option<&str>, body: &str) -> Draft {
    Draft {
        kind,
        key: key.map(Into::into),
        traceparent: None,
        body: Bytes::copy_from_slice(body.as_bytes()),
        job: None,
        idempotent: false,
    }
}

fn refusal_code(cx: &Context, draft: Draft) -> Option<Code> {
    let refusal = filter::pass(cx, draft).err()?;
    assert!(refusal.not_run && !refusal.unknown, "{refusal:?}");
    Some(refusal.code)
}

fn job(tasks: &str) -> String {
    format!(r#"{{"customer":"harbour","class":"check","tasks":[{tasks}]}}"#)
}

fn request(rest: &str) -> String {
    format!(r#"{{"customer":"harbour","class":"check","input":1{rest}}}"#)
}

#[test]
fn jobs_pass_or_get_the_code_of_their_mistake() {
    let kind = "k".repeat(65);
    let cases = [
        ("one task", job(r#"{"input":1}"#), None),
        (
            "as many as allowed",
            job(r#"{"input":1},{"input":2},{"input":3}"#),
            None,
        ),
        ("any JSON as input", job(r#"{"input":{"a":[null]}}"#), None),
        ("null as input", job(r#"{"input":null}"#), None),
        (
            "all fields",
            job(r#"{"kind":"a","run_ms":600000,"needs":{"memory_mb":1},"input":1}"#),
            None,
        ),
        ("no tasks", job(""), Some(Code::TaskCount)),
        (
            "too many",
            job(r#"{"input":1},{"input":2},{"input":3},{"input":4}"#),
            Some(Code::TaskCount),
        ),
        ("no input", job(r#"{"kind":"a"}"#), Some(Code::BadJson)),
        (
            "unknown field of a task",
            job(r#"{"input":1,"weight":2}"#),
            Some(Code::BadJson),
        ),
        (
            "negative run time",
            job(r#"{"input":1,"run_ms":-1}"#),
            Some(Code::BadJson),
        ),
        (
            "run time past the limit",
            job(r#"{"input":1,"run_ms":600001}"#),
            Some(Code::BadTask),
        ),
        (
            "long kind",
            job(&format!(r#"{{"input":1,"kind":"{kind}"}}"#)),
            Some(Code::BadTask),
        ),
        (
            "memory need past the limit",
            job(r#"{"input":1,"needs":{"memory_mb":16000001}}"#),
            Some(Code::BadTask),
        ),
        (
            "unknown need",
            job(r#"{"input":1,"needs":{"disk":1}}"#),
            Some(Code::BadJson),
        ),
        (
            "second task at fault",
            job(r#"{"input":1},{"input":1,"run_ms":600001}"#),
            Some(Code::BadTask),
        ),
        ("empty body", String::new(), Some(Code::BadJson)),
        (
            "cut off in the middle",
            r#"{"customer":"harbour","#.into(),
            Some(Code::BadJson),
        ),
        ("not an object", "[]".into(), Some(Code::BadJson)),
        (
            "two documents",
            format!("{0}{0}", job(r#"{"input":1}"#)),
            Some(Code::BadJson),
        ),
        (
            "unknown field",
            r#"{"customer":"a","class":"check","tasks":[],"backend":"b"}"#.into(),
            Some(Code::BadJson),
        ),
        (
            "no customer",
            r#"{"class":"check","tasks":[{"input":1}]}"#.into(),
            Some(Code::BadJson),
        ),
        (
            "customer with a slash",
            r#"{"customer":"a/b","class":"check","tasks":[{"input":1}]}"#.into(),
            Some(Code::BadTask),
        ),
        (
            "empty customer",
            r#"{"customer":"","class":"check","tasks":[{"input":1}]}"#.into(),
            Some(Code::BadTask),
        ),
        (
            "unknown class",
            r#"{"customer":"a","class":"b","tasks":[{"input":1}]}"#.into(),
            Some(Code::UnknownClass),
        ),
    ];
    for (name, body, expected) in cases {
        let found = refusal_code(&context(), draft(Kind::Job, Some("trip-1"), &body));
        assert_eq!(found, expected, "{name}: {body}");
    }
}

#[test]
fn requests_pass_or_get_the_code_of_their_mistake() {
    let cases = [
        ("not idempotent, with a key", Some("a"), request(""), None),
        (
            "idempotent without a key",
            None,
            request(r#","idempotent":true"#),
            None,
        ),
        (
            "not idempotent without a key",
            None,
            request(""),
            Some(Code::KeyMissing),
        ),
        (
            "said not idempotent, no key",
            None,
            request(r#","idempotent":false"#),
            Some(Code::KeyMissing),
        ),
        (
            "a job's body",
            Some("a"),
            job(r#"{"input":1}"#),
            Some(Code::BadJson),
        ),
        (
            "run time past the limit",
            Some("a"),
            request(r#","run_ms":600001"#),
            Some(Code::BadTask),
        ),
    ];
    for (name, key, body, expected) in cases {
        let found = refusal_code(&context(), draft(Kind::Request, key, &body));
        assert_eq!(found, expected, "{name}: {body}");
    }
}

#[test]
fn keys_pass_or_are_refused_by_their_form() {
    let (longest, longer) = ("k".repeat(128), "k".repeat(129));
    let cases = [
        (Some("0193b3c2-7a1e-7cc0-8000-0123456789ab"), None),
        (Some("trip:17#a"), None),
        (Some(longest.as_str()), None),
        (Some(longer.as_str()), Some(Code::KeyMissing)),
        (Some(""), Some(Code::KeyMissing)),
        (Some("a/b"), Some(Code::KeyMissing)),
        (Some("a b"), Some(Code::KeyMissing)),
        (Some("trip\u{e9}"), Some(Code::KeyMissing)),
        (None, Some(Code::KeyMissing)),
    ];
    for (key, expected) in cases {
        let found = refusal_code(&context(), draft(Kind::Job, key, &job(r#"{"input":1}"#)));
        assert_eq!(found, expected, "{key:?}");
    }
}

/// An entry that drains or has no configuration refuses every submission with a time to retry
/// after, even one with another mistake, so that the caller tries another entry.
#[test]
fn draining_and_unconfigured_entries_refuse_every_submission() {
    let unconfigured = Context {
        config: None,
        ..context()
    };
    let draining = Context {
        draining: true,
        ..context()
    };
    let both = Context {
        config: None,
        draining: true,
    };
    let cases = [
        (unconfigured, Code::NoConfiguration),
        (draining, Code::Draining),
        (both, Code::Draining),
    ];
    for (cx, expected) in cases {
        for body in [job(r#"{"input":1}"#), "{".to_owned()] {
            let refused = filter::pass(&cx, draft(Kind::Job, Some("a"), &body));
            let refusal = refused.expect_err("nothing is taken");
            assert_eq!(refusal.code, expected);
            assert!(refusal.retry_after_ms.is_some(), "{refusal:?}");
        }
    }
}

/// The message names the task and the field, so that the caller needn't search a long job for the
/// mistake.
#[test]
fn refusals_name_the_task_and_field() {
    let body = job(r#"{"input":1},{"input":1,"run_ms":600001}"#);
    let refused = filter::pass(&context(), draft(Kind::Job, Some("a"), &body));
    let message = refused.expect_err("out of range").message;
    assert!(message.starts_with("tasks[1].run_ms: "), "{message}");
}
