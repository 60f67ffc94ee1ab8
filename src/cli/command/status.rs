//! `lovagemill status`: what an entry knows, as a table for people or as JSON.

use std::fmt::Write;

use clap::Args;
use hyper::Method;

use crate::cli::command::EntryOpts;
use crate::cli::ExitCode;
use crate::entry::status::{CellStatus, OwnedStatus, Status};

/// `status`.
#[derive(Args, Clone, Debug)]
pub struct StatusOpts {
    /// Which entry
    #[command(flatten)]
    pub entry: EntryOpts,

    /// Print one JSON object instead of a table
    #[arg(long)]
    pub json: bool,
}

/// Prints the status of an entry.
///
/// # Errors
///
/// Returns an entry that doesn't answer.
pub async fn run(opts: &StatusOpts) -> anyhow::Result<ExitCode> {
    let client = opts.entry.client()?;
    if opts.json {
        let text = client
            .call(Method::GET, "/v1/status", None, Vec::new())
            .await?;
        println!("{}", text.trim());
    } else {
        let status: Status = client.get("/v1/status").await?;
        print!("{}", table(&status));
    }
    Ok(ExitCode::Success)
}

/// The status as a table.
pub fn table(status: &Status) -> String {
    let mut out = String::new();
    let state = match (status.draining, status.config_version) {
        (true, _) => "draining",
        (false, 0) => "waits for a configuration",
        (false, _) => "serving",
    };
    let _ = writeln!(
        out,
        "entry {}, {state}, configuration version {}, {} in flight",
        status.entry, status.config_version, status.in_flight
    );
    if !status.stragglers.is_empty() {
        let list = status.stragglers.join(", ");
        let _ = writeln!(out, "behind the newest configuration: {list}");
    }
    for cell in &status.cells {
        write_cell(&mut out, cell);
    }
    out
}

fn write_cell(out: &mut String, cell: &CellStatus) {
    if cell.owner.is_empty() {
        let _ = writeln!(out, "cell {}: no owner known", cell.cell);
        return;
    }
    let _ = writeln!(
        out,
        "cell {}: owned by {} at epoch {}",
        cell.cell, cell.owner, cell.epoch
    );
    if let Some(owned) = &cell.owned {
        write_owned(out, owned);
    }
}

fn write_owned(out: &mut String, owned: &OwnedStatus) {
    let _ = writeln!(
        out,
        "  {}, {} open jobs, {} waiting tasks, {} of {} slots free",
        if owned.ready { "ready" } else { "taking over" },
        owned.open_jobs,
        owned.waiting_tasks,
        owned.free_slots,
        owned.slots
    );
    let _ = writeln!(
        out,
        "\n  {:<20} {:<16} {:<12} {:<9} {:>5} {:>5}",
        "agent", "failure domain", "rack", "state", "slots", "sent"
    );
    for (id, agent) in &owned.agents {
        let _ = writeln!(
            out,
            "  {id:<20} {:<16} {:<12} {:<9} {:>5} {:>5}",
            agent.failure_domain, agent.rack, agent.state, agent.slots, agent.sent
        );
    }
    let _ = writeln!(out, "\n  {:<20} {:>13}", "customer", "waiting tasks");
    for (account, tasks) in &owned.client_accounts {
        let _ = writeln!(out, "  {account:<20} {tasks:>13}");
    }
}
