//! The networked parts that run best-effort jobs: an [`entry`] accepts jobs from callers, an [`agent`] runs
//! beside each backend server, and they exchange JSON [`line`]s.
//!
//! Both access callers, backend servers and the platform only through closures and handles, so that the same
//! code runs on the users' platform (`platform/`) and in tests. `docs/design/besteffort.md` describes the path
//! of a job.

pub mod agent;
pub mod entry;
pub mod line;
