//! lovagemill is a dispatcher for sub-second tasks, and a library of the coordination parts it is
//! built from.
//!
//! Read `docs/ARCHITECTURE.md` for the picture. Imports go one way, down this list: the command
//! line in [`cli`], the measurements in [`mod@bench`], the [`demo`], the running parts ([`entry`],
//! [`agent`], [`standin`]), the request [`filter`] chain, the state [`controller`]s, the [`wire`]
//! interfaces, the pure decisions in [`decide`], and the ground modules that everything may use.

pub mod agent;
pub mod bench;
pub mod besteffort;
pub mod controller;
pub mod decide;
pub mod demo;
pub mod entry;
pub mod filter;
pub mod standin;
pub mod wire;

#[path = "../platform/mod.rs"]
pub mod platform;

pub mod awake;
pub mod backoff;
pub mod class;
pub mod cli;
pub mod clock;
pub mod code;
pub mod count;
pub mod id;
pub mod key;
pub mod logging;
pub mod metrics;
pub mod mutex;
pub mod refusal;
pub mod submission;
pub mod task;
pub mod trace;
