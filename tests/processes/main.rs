//! Runs the binaries as plain processes on free loopback ports; each test starts its own.

mod path;
mod support;
mod traces;
