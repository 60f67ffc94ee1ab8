//! The interfaces between processes: typed messages, and a client and server of each.

pub mod agent;
pub mod backend;
pub mod caller;
pub mod closing;
pub mod http;
pub mod link;
pub mod objects;
pub mod peer;
pub mod platform;
pub mod reach;
pub mod rows;
pub mod server;
