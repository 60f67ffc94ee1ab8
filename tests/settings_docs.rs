//! The settings' page against the help of the binaries.

use clap::{Arg, Command, CommandFactory};
use lovagemill::cli;

fn row(path: &str, arg: &Arg) -> String {
    let flag = match arg.get_long() {
        Some(long) => format!("--{long}"),
        None => arg.get_id().to_string().to_uppercase(),
    };
    let env = arg.get_env().map(|env| env.to_string_lossy().into_owned());
    let defaults = arg.get_default_values().iter();
    let default: Vec<_> = defaults.map(|value| value.to_string_lossy()).collect();
    let help = arg.get_help().map(ToString::to_string).unwrap_or_default();
    let cell = |text: String| {
        if text.is_empty() {
            text
        } else {
            format!("`{text}`")
        }
    };
    let (flag, env) = (cell(flag), cell(env.unwrap_or_default()));
    let default = cell(default.join(","));
    format!("| {path} | {flag} | {env} | {default} | {help} |")
}

fn rows(prefix: &str, command: &Command, found: &mut Vec<String>) {
    let path = format!("{prefix}{}", command.get_name());
    for arg in command.get_arguments() {
        if !matches!(arg.get_id().as_str(), "help" | "version") {
            found.push(row(&path, arg));
        }
    }
    for sub in command.get_subcommands() {
        if sub.get_name() != "help" {
            rows(&format!("{path} "), sub, found);
        }
    }
}

/// Somebody who sets up a VM goes by the page alone, so that it must hold every flag, variable and
/// default of every binary, as its help shows them.
#[test]
fn the_page_holds_every_setting() {
    let commands = [
        cli::entry::Opts::command(),
        cli::agent::Opts::command(),
        cli::command::Opts::command(),
        cli::standin::Opts::command(),
    ];
    let mut expected = Vec::new();
    for command in &commands {
        rows("", command, &mut expected);
    }
    let page = include_str!("../docs/SETTINGS.md");
    let found: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| lovagemill"))
        .collect();
    assert_eq!(
        found,
        expected,
        "docs/SETTINGS.md should hold:\n{}",
        expected.join("\n")
    );
}
