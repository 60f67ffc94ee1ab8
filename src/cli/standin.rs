//! The settings of `lovagemill-standin`.

use std::net;

use clap::{Parser, Subcommand};
use compact_str::CompactString;

use crate::cli::{self, ExitCode};
use crate::code::Code;
use crate::logging;
use crate::standin::backend;
use crate::standin::platform;
use crate::standin::truth::Truth;
use crate::task;

/// Stand-ins for tests and trials; nothing here is for production.
#[derive(Clone, Debug, Parser)]
#[command(name = "lovagemill-standin", version)]
pub struct Opts {
    /// What to stand in for
    #[command(subcommand)]
    pub part: Part,
}

/// What a stand-in stands in for.
#[derive(Clone, Debug, Subcommand)]
pub enum Part {
    /// The platform's table and object store, in memory
    Platform {
        /// Where it listens
        #[arg(long, default_value = "127.0.0.1:7000")]
        addr: net::SocketAddr,
    },
    /// A backend server that runs tasks by sleeping
    Backend {
        /// Names it
        #[arg(long, default_value = "backend")]
        id: String,
        /// Where it listens
        #[arg(long, default_value = "127.0.0.1:0")]
        addr: net::SocketAddr,
        /// Where its agent takes announcements
        #[arg(long, value_name = "HOST:PORT")]
        agent: String,
        /// Tasks at a time
        #[arg(long, default_value_t = 8)]
        slots: u32,
        /// Connections at a time
        #[arg(long, default_value_t = 64)]
        connections: u32,
        /// Processors that it has for tasks
        #[arg(long, default_value_t = 32)]
        processors: u32,
        /// Memory that it has for tasks, in megabytes
        #[arg(long, default_value_t = 65_536)]
        memory_mb: u32,
        /// Accelerators that it has for tasks
        #[arg(long, default_value_t = 0)]
        accelerators: u32,
    },
}

/// Runs a stand-in until it is asked to stop.
///
/// # Errors
///
/// Returns addresses that can't be bound.
pub async fn run(opts: Opts) -> anyhow::Result<ExitCode> {
    logging::init("standin");
    match opts.part {
        Part::Platform { addr } => {
            let platform = platform::bind(addr)
                .await
                .map_err(cli::coded(Code::CannotListen))?;
            log::info!("stand-in platform listens: http={}", platform.addr());
            cli::stop_signal().await;
        }
        Part::Backend {
            id,
            addr,
            agent,
            slots,
            connections,
            processors,
            memory_mb,
            accelerators,
        } => {
            let cfg = backend::Config {
                id: CompactString::from(id),
                addr,
                agent: CompactString::from(agent),
                slots,
                connections,
                capacity: task::Needs {
                    processor_milli: processors.saturating_mul(1_000),
                    memory_mb,
                    accelerators,
                },
            };
            let backend = backend::bind(cfg, Truth::default())
                .await
                .map_err(cli::coded(Code::CannotListen))?;
            log::info!("stand-in backend server listens: http={}", backend.addr());
            cli::stop_signal().await;
            backend.leave().await;
            backend.idle().await;
        }
    }
    Ok(ExitCode::Success)
}
