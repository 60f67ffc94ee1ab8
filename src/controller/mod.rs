//! The background loops of an entry that read and write the table: claims, configuration, members
//! and ownership of cells. They report what they find through callbacks.

pub mod cell_state;
pub mod claims;
pub mod config;
pub mod membership;
pub mod ownership;
pub mod roll;
