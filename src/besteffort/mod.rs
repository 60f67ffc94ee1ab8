//! The running parts for best-effort jobs: an [`entry`] that callers' work comes to, an [`agent`]
//! beside each backend server, and the [`line`]s that they exchange.
//!
//! Both know callers, backend servers and the platform only as closures and handles, so that the
//! same parts run on the users' platform (`platform/`) and in tests. `docs/design/besteffort.md`
//! tells the way of a job.

pub mod agent;
pub mod entry;
pub mod line;
