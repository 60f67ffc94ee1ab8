//! Traces, a span per hop, by the opentelemetry crates.
