//! The daemons' settings: what is refused, and that all of it is reported at once.

use std::process::{Command, Output};

use clap::Parser;
use lovagemill::cli;

const ENTRY: &str = env!("CARGO_BIN_EXE_lovagemill-entry");
const AGENT: &str = env!("CARGO_BIN_EXE_lovagemill-agent");

fn run(binary: &str, args: &[&str], env: &[(&str, &str)]) -> Output {
    let mut command = Command::new(binary);
    command.env_clear().args(args).envs(env.iter().copied());
    command.output().expect("it starts")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn one_setting_at_fault_is_named() {
    let good = ["--id", "a", "--platform", "127.0.0.1:1"];
    let cases = [
        (ENTRY, "--id", "a b"),
        (ENTRY, "--id", ""),
        (ENTRY, "--http", "localhost"),
        (ENTRY, "--peer", "127.0.0.1:7001"),
        (ENTRY, "--platform", "127.0.0.1"),
        (ENTRY, "--platform", "127.0.0.1:0"),
        (ENTRY, "--platform", "http://127.0.0.1:1/x:1"),
        (ENTRY, "--platform-timeout-ms", "0"),
        (ENTRY, "--platform-timeout-ms", "soon"),
        (ENTRY, "--cells", "0"),
        (ENTRY, "--cells", "1025"),
        (ENTRY, "--drain-seconds", "3601"),
        (ENTRY, "--advertise", "here"),
        (ENTRY, "--otlp", "127.0.0.1:4318"),
        (ENTRY, "--otlp", "http://127.0.0.1"),
        (ENTRY, "--otlp-share", "1.5"),
        (ENTRY, "--otlp-share", "NaN"),
        (AGENT, "--link", "7201"),
        (AGENT, "--announce", "127.0.0.1:7201"),
        (AGENT, "--failure-domain", ""),
        (AGENT, "--rack", "r/1"),
        (AGENT, "--linger-seconds", "-1"),
    ];
    for (binary, flag, value) in cases {
        let pair = format!("{flag}={value}");
        let kept = good.chunks(2).filter(|pair| pair[0] != flag).flatten();
        let args: Vec<&str> = kept.copied().chain([pair.as_str()]).collect();
        let output = run(binary, &args, &[]);
        let text = stderr(&output);
        assert_eq!(output.status.code(), Some(2), "{pair}: {text}");
        assert!(
            text.starts_with("[lovagemill error]: LM6001 "),
            "{pair}: {text}"
        );
        assert!(text.contains(&format!("\n  {flag}: ")), "{pair}: {text}");
        assert_eq!(text.trim_end().lines().count(), 2, "{pair}: {text}");
    }
}

/// Somebody sets up a VM with four mistakes and gets to know all of them at the first start, also
/// those that came by the environment.
#[test]
fn all_mistakes_are_reported_at_once() {
    let env = [
        ("LOVAGEMILL_CELLS", "many"),
        ("LOVAGEMILL_PLATFORM", "here"),
    ];
    let output = run(ENTRY, &["--http", "x", "--drain-seconds", "-1"], &env);
    let text = stderr(&output);
    let flags = ["--id", "--http", "--drain-seconds", "--platform", "--cells"];
    for flag in flags {
        assert!(text.contains(&format!("\n  {flag}: ")), "{flag}: {text}");
    }
    assert_eq!(text.trim_end().lines().count(), 1 + flags.len(), "{text}");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn an_unknown_flag_is_refused_with_the_code() {
    for binary in [ENTRY, AGENT, env!("CARGO_BIN_EXE_lovagemill")] {
        let output = run(binary, &["--weight", "3"], &[]);
        let text = stderr(&output);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.starts_with("[lovagemill error]: LM6001 "), "{text}");
        assert!(text.contains("--weight"), "{text}");
    }
}

/// A daemon that can't have its address must say so and end, not run without it.
#[test]
fn an_address_in_use_is_refused_with_the_code() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = taken.local_addr().expect("it is bound").to_string();
    let args = ["--id", "a", "--platform", "127.0.0.1:1", "--http", &addr];
    let output = run(
        ENTRY,
        &[&args[..], &["--peer", "127.0.0.1:0"]].concat(),
        &[],
    );
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(
        stderr(&output).contains("[lovagemill error]: LM6004 "),
        "{output:?}"
    );
}

#[test]
fn good_settings_resolve() {
    let args = [
        "lovagemill-entry",
        "--id=entry-1",
        "--platform=db.internal:7000",
        "--platform-timeout-ms=250",
        "--cells=16",
        "--otlp=http://127.0.0.1:4318/",
        "--otlp-share=0.01",
    ];
    let opts = cli::entry::Opts::try_parse_from(args).expect("they parse");
    let (cfg, daemon) = opts.resolve().expect("they are good");
    assert_eq!(cfg.id, "entry-1");
    assert_eq!(cfg.cells, 16);
    assert_eq!(daemon.platform, "db.internal:7000");
    assert_eq!(daemon.platform_timeout.as_millis(), 250);
    assert_eq!(daemon.traces.expect("they are set").share, 0.01);
}

#[test]
fn help_is_no_error() {
    for flag in ["-h", "--help", "--version"] {
        let output = run(ENTRY, &[flag], &[]);
        assert_eq!(output.status.code(), Some(0), "{flag}");
        assert!(
            output.stderr.is_empty() && !output.stdout.is_empty(),
            "{flag}"
        );
    }
}
