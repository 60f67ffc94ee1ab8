//! Stand-ins for tests and the demo: the platform, backend servers and the network between.
//!
//! They are thin, speak the same wire as the real ones, and take faults as closures.

pub mod backend;
pub mod platform;
pub mod store;
pub mod truth;
pub mod wan;
