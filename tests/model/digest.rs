//! Prints of shipped state that don't depend on the order in which a hash map iterates.

use std::fmt;
use std::hash;
use std::sync::Arc;

use xxhash_rust::xxh3;

/// A piece of shipped state with its print; clones share it until it changes.
#[derive(Debug)]
pub struct Part<T> {
    value: Arc<T>,
    print: u128,
}

impl<T> Clone for Part<T> {
    fn clone(&self) -> Part<T> {
        Part {
            value: self.value.clone(),
            print: self.print,
        }
    }
}

impl<T> hash::Hash for Part<T> {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.print.hash(state);
    }
}

impl<T: Clone + Default + fmt::Debug> Default for Part<T> {
    fn default() -> Part<T> {
        Part::open(T::default())
    }
}

impl<T: Clone + fmt::Debug> Part<T> {
    pub fn open(value: T) -> Part<T> {
        Part {
            print: print(&value),
            value: Arc::new(value),
        }
    }

    pub fn get(&self) -> &T {
        &self.value
    }

    /// Changes the piece and prints it anew.
    pub fn change<R>(&mut self, f: impl FnOnce(&mut T) -> R) -> R {
        let result = f(Arc::make_mut(&mut self.value));
        self.print = print(&*self.value);
        result
    }

    pub fn print(&self) -> u128 {
        self.print
    }
}

/// Digests the debug text, with the entries of every brace sorted: fields have names and the
/// entries of maps have keys, so that their order tells nothing.
pub fn print(value: &impl fmt::Debug) -> u128 {
    let text = format!("{value:?}");
    let mut at = 0;
    let sorted = group(text.as_bytes(), &mut at);
    xxh3::xxh3_128(&sorted)
}

/// Reads up to the closing bracket of the group that begins at `at`.
fn group(text: &[u8], at: &mut usize) -> Vec<u8> {
    let mut entries = vec![Vec::new()];
    let mut sorts = false;
    let mut quoted = false;
    if *at > 0 {
        sorts = text[*at - 1] == b'{';
    }
    while *at < text.len() {
        let byte = text[*at];
        *at += 1;
        let entry = entries.last_mut().expect("there is always an entry");
        match byte {
            b'\\' if quoted => {
                entry.extend([byte, text[*at]]);
                *at += 1;
            }
            b'"' => {
                quoted = !quoted;
                entry.push(byte);
            }
            _ if quoted => entry.push(byte),
            b'{' | b'[' | b'(' => {
                entry.push(byte);
                entry.extend(group(text, at));
            }
            b'}' | b']' | b')' => {
                if sorts {
                    entries.sort();
                }
                let mut joined = entries.join(&b',');
                joined.push(byte);
                return joined;
            }
            b',' => entries.push(Vec::new()),
            b' ' => {}
            _ => entry.push(byte),
        }
    }
    entries.join(&b',')
}
