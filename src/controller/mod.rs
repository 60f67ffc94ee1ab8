//! The loops that keep an entry's state: one file each, calling back through closures.

pub mod cell_state;
pub mod claims;
pub mod config;
pub mod membership;
pub mod ownership;
pub mod roll;
