//! The interfaces between processes: their messages, and the clients and servers that exchange
//! them.

pub mod agent;
pub mod backend;
pub mod caller;
pub mod clients;
pub mod closing;
pub mod http;
pub mod link;
pub mod objects;
pub mod peer;
pub mod platform;
pub mod reach;
pub mod rows;
pub mod server;
