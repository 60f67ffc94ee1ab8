//! `lovagemill config`: check, show and set classes, targets and quotas.

use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};

use clap::Subcommand;

use crate::class;
use crate::cli::command::{submit, EntryOpts};
use crate::cli::failure::Failure;
use crate::cli::ExitCode;

/// `config`.
#[derive(Clone, Debug, Subcommand)]
pub enum ConfigCommand {
    /// Check a file without talking to anybody
    Check {
        /// The file, in the format of docs/CONFIG.md
        file: PathBuf,
    },
    /// Print the configuration in force
    Show(EntryOpts),
    /// Change the configuration to a file's
    Set {
        /// Which entry
        #[command(flatten)]
        entry: EntryOpts,
        /// Refuse unless this version is still the newest; the one in force where it is missing
        #[arg(long)]
        base: Option<u64>,
        /// The file, in the format of docs/CONFIG.md
        file: PathBuf,
    },
}

/// Runs a configuration command.
///
/// # Errors
///
/// Returns an unreadable or mistaken file, and a change that the entry refuses.
pub async fn run(command: ConfigCommand) -> anyhow::Result<ExitCode> {
    match command {
        ConfigCommand::Check { file } => {
            let document = read(&file)?;
            let (classes, quotas) = (document.classes.len(), document.quotas.len());
            println!("{}: {classes} classes, {quotas} quotas", file.display());
        }
        ConfigCommand::Show(entry) => {
            let config: class::Versioned = entry.client()?.get("/v1/config").await?;
            println!("# version {}", config.version);
            print!("{}", toml::to_string(&config.document)?);
        }
        ConfigCommand::Set { entry, base, file } => {
            let document = read(&file)?;
            let version = entry.client()?.change(document, base).await?;
            println!("accepted as version {version}");
        }
    }
    Ok(ExitCode::Success)
}

/// Reads a document; of a file that is far too long, no more than shows that it is.
fn read(file: &Path) -> anyhow::Result<class::Document> {
    let mut bytes = Vec::new();
    let limit = class::MAX_DOCUMENT_BYTES as u64 + 1;
    File::open(file)
        .and_then(|f| f.take(limit).read_to_end(&mut bytes))
        .map_err(|e| submit::unreadable(file, &e))?;
    let place = format!("{}: ", file.display());
    class::Document::parse(&bytes).map_err(|mistakes| Failure::mistakes(&place, &mistakes).into())
}
