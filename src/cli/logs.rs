//! Reads the logs of several processes, for commands that tell what happened.

use std::fs;

use serde_json::{Map, Value};

use crate::cli::failure::Failure;
use crate::code::Code;

/// One line of a log.
pub struct Line {
    /// When it was written, in milliseconds since 1970.
    pub time_ms: i64,
    /// All fields by name.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; text before the first brace, such as a collector's own time, is passed over.
    pub fn read(text: &str) -> Option<Line> {
        let fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let time_ms = fields.get("time_ms")?.as_i64()?;
        Some(Line { time_ms, fields })
    }

    /// A field's text; empty where there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// A field's number; 0 where there is none.
    pub fn number(&self, name: &str) -> u64 {
        let value = self.fields.get(name);
        value.and_then(Value::as_u64).unwrap_or_default()
    }
}

/// Reads all lines of some files; what isn't a line of a log is passed over.
///
/// # Errors
///
/// Fails where a file can't be read.
pub fn read(files: &[String]) -> anyhow::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file)
            .map_err(|e| Failure::new(Code::FileUnreadable, format!("{file}: {e}")))?;
        lines.extend(text.lines().filter_map(Line::read));
    }
    Ok(lines)
}
