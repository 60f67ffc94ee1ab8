//! The binaries as plain processes, each test with its own, on free ports of loopback.

mod path;
mod support;
mod traces;
