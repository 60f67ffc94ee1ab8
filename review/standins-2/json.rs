//! A small JSON reader, so that the stand-ins need no crate.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; null where it isn't JSON.
    pub fn parse(text: &str) -> Json {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at).unwrap_or(Json::Null)
    }

    /// Returns a field of a table; null where there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Returns the items of a list; none for any other value.
    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    /// Returns the text of a string; empty for any other value.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number; none for any other value.
    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }
}

/// Encodes a string with its quotes.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match *chars.get(*at)? {
        '{' => table(chars, at),
        '[' => list(chars, at),
        '"' => string(chars, at).map(Json::Text),
        't' => word(chars, at, "true", Json::Bool(true)),
        'f' => word(chars, at, "false", Json::Bool(false)),
        'n' => word(chars, at, "null", Json::Null),
        _ => number(chars, at),
    }
}

fn word(chars: &[char], at: &mut usize, text: &str, found: Json) -> Option<Json> {
    for c in text.chars() {
        if *chars.get(*at)? != c {
            return None;
        }
        *at += 1;
    }
    Some(found)
}

fn number(chars: &[char], at: &mut usize) -> Option<Json> {
    let begin = *at;
    while chars
        .get(*at)
        .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
    {
        *at += 1;
    }
    let text: String = chars[begin..*at].iter().collect();
    text.parse().ok().map(Json::Number)
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(out),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => out.push('\n'),
                    't' => out.push('\t'),
                    'r' => out.push('\r'),
                    'b' => out.push('\u{8}'),
                    'f' => out.push('\u{c}'),
                    'u' => {
                        let digits: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        let code = u32::from_str_radix(&digits, 16).ok()?;
                        out.push(char::from_u32(code).unwrap_or('?'));
                    }
                    other => out.push(other),
                }
            }
            c => out.push(c),
        }
    }
}

fn list(chars: &[char], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut items = Vec::new();
    loop {
        skip_space(chars, at);
        match *chars.get(*at)? {
            ']' => {
                *at += 1;
                return Some(Json::List(items));
            }
            ',' => *at += 1,
            _ => items.push(value(chars, at)?),
        }
    }
}

fn table(chars: &[char], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut fields = BTreeMap::new();
    loop {
        skip_space(chars, at);
        match *chars.get(*at)? {
            '}' => {
                *at += 1;
                return Some(Json::Table(fields));
            }
            ',' => *at += 1,
            '"' => {
                let name = string(chars, at)?;
                skip_space(chars, at);
                if *chars.get(*at)? != ':' {
                    return None;
                }
                *at += 1;
                let found = value(chars, at)?;
                fields.insert(name, found);
            }
            _ => return None,
        }
    }
}
