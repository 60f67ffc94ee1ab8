//! `lovagemill config check` on good and bad files: the exit status, and the place in the file that
//! the message names.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use lovagemill::class;
use lovagemill::demo::deployment;

const CLASS: &str = "[[class]]\nname = \"a\"\ntarget_ms = 5\n";

fn check(file: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lovagemill"));
    let args = ["config", "check"];
    command.args(args).arg(file).output().expect("it starts")
}

fn write(name: &str, content: &[u8]) -> std::path::PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, content).expect("the file can be written");
    file
}

#[test]
fn good_files_pass() {
    let cases = [
        CLASS.to_owned(),
        format!("{CLASS}max_tasks = 1000\n"),
        format!("{CLASS}[[class]]\nname = \"b\"\ntarget_ms = 600000\n"),
        format!("{CLASS}[[quota]]\ncustomer = \"x\"\nwaiting_tasks = 1\n"),
    ];
    for content in cases {
        let output = check(&write("good.toml", content.as_bytes()));
        assert_eq!(output.status.code(), Some(0), "{content}\n{output:?}");
    }
}

/// Operators start from the example in the configuration page, so it has to be valid.
#[test]
fn the_example_of_the_page_passes() {
    let page = include_str!("../docs/CONFIG.md");
    let from = page.split("```toml\n").nth(1).expect("there is an example");
    let example = from.split("```").next().expect("it ends");
    let output = check(&write("example.toml", example.as_bytes()));
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// `load` needs the example files' configuration to be in force, so they equal the deployments'.
#[test]
fn the_example_files_are_the_deployments() {
    let examples = [
        (
            include_str!("../docs/examples/trilha.toml"),
            deployment::trilha(),
        ),
        (
            include_str!("../docs/examples/kwinana.toml"),
            deployment::kwinana(),
        ),
    ];
    for (example, deployment) in examples {
        let document = class::Document::parse(example.as_bytes());
        assert_eq!(document, Ok(deployment.config), "{}", deployment.name);
    }
}

#[test]
fn bad_files_are_refused_with_the_place() {
    let class = |rest: &str| format!("[[class]]\nname = \"a\"\n{rest}\n").into_bytes();
    let after = |rest: &str| format!("{CLASS}{rest}\n").into_bytes();
    let cases: Vec<(&str, Vec<u8>, &str)> = vec![
        ("empty", Vec::new(), "class: "),
        (
            "zero target",
            class("target_ms = 0"),
            "class[0].target_ms: use 1 to 600000",
        ),
        (
            "negative target",
            class("target_ms = -5"),
            "class[0].target_ms: ",
        ),
        (
            "target over the limit",
            class("target_ms = 600001"),
            "class[0].target_ms: ",
        ),
        (
            "target that is text",
            class("target_ms = \"5\""),
            "line 3: ",
        ),
        ("no target", class(""), "line 1: "),
        ("no tasks", after("max_tasks = 0"), "class[0].max_tasks: "),
        ("negative tasks", after("max_tasks = -1"), "line 4: "),
        (
            "too many tasks",
            after("max_tasks = 1001"),
            "class[0].max_tasks: ",
        ),
        (
            "unknown field",
            after("weight = 2"),
            "line 4: unknown field `weight`",
        ),
        (
            "unknown table",
            after("[[backend]]\nname = \"b\""),
            "line 4: unknown field `backend`",
        ),
        (
            "same name",
            after(CLASS),
            "class[1].name: 'a' is there twice",
        ),
        (
            "bad name",
            b"[[class]]\nname = \"a b\"\ntarget_ms = 5\n".to_vec(),
            "class[0].name: ",
        ),
        (
            "zero quota",
            after("[[quota]]\ncustomer = \"x\"\nwaiting_tasks = 0"),
            "quota[0].waiting_tasks: ",
        ),
        (
            "negative quota",
            after("[[quota]]\ncustomer = \"x\"\nwaiting_tasks = -1"),
            "quota[0].waiting_tasks: ",
        ),
        ("broken", after("[[class"), "line 4: "),
        (
            "not text",
            [CLASS.as_bytes(), b"# \xff\n"].concat(),
            "line 4: ",
        ),
        (
            "oversize",
            [CLASS.as_bytes(), &b"# long\n".repeat(10_000)].concat(),
            "file: ",
        ),
    ];
    for (name, content, place) in cases {
        let file = write("bad.toml", &content);
        let output = check(&file);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{name}: {output:?}");
        assert!(
            stderr.starts_with("[lovagemill error]: LM5001 "),
            "{name}: {stderr}"
        );
        assert_eq!(stderr.matches("[lovagemill error]").count(), 1, "{name}");
        let named = format!("{}: {place}", file.display());
        assert!(stderr.contains(&named), "{name}: {stderr}");
        assert!(output.stdout.is_empty(), "{name}");
    }
}

#[test]
fn all_mistakes_are_named_at_once() {
    let content = "[[class]]\nname = \"\"\ntarget_ms = 0\nmax_tasks = 0\n";
    let output = check(&write("many.toml", content.as_bytes()));
    let stderr = String::from_utf8_lossy(&output.stderr);
    for place in ["class[0].name", "class[0].target_ms", "class[0].max_tasks"] {
        assert!(stderr.contains(place), "{stderr}");
    }
}

#[test]
fn a_missing_file_has_its_own_code() {
    let output = check(Path::new("no-such-file.toml"));
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr.starts_with("[lovagemill error]: LM6003 no-such-file.toml"),
        "{stderr}"
    );
}
