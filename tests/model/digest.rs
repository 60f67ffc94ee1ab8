//! Digests of the shipped types' states that don't depend on the order in which a hash map
//! iterates.

use std::fmt;
use std::hash;
use std::sync::Arc;

use xxhash_rust::xxh3;

/// A value with its digest; clones share the value until one of them changes.
#[derive(Debug)]
pub struct Digested<T> {
    value: Arc<T>,
    digest: u128,
}

impl<T> Clone for Digested<T> {
    fn clone(&self) -> Digested<T> {
        Digested {
            value: self.value.clone(),
            digest: self.digest,
        }
    }
}

impl<T> hash::Hash for Digested<T> {
    fn hash<H: hash::Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

impl<T: Clone + Default + fmt::Debug> Default for Digested<T> {
    fn default() -> Digested<T> {
        Digested::open(T::default())
    }
}

impl<T: Clone + fmt::Debug> Digested<T> {
    pub fn open(value: T) -> Digested<T> {
        Digested {
            digest: debug_digest(&value),
            value: Arc::new(value),
        }
    }

    pub fn get(&self) -> &T {
        &self.value
    }

    /// Changes the value and computes its digest again.
    pub fn change<R>(&mut self, f: impl FnOnce(&mut T) -> R) -> R {
        let result = f(Arc::make_mut(&mut self.value));
        self.digest = debug_digest(&*self.value);
        result
    }

    pub fn digest(&self) -> u128 {
        self.digest
    }
}

/// Digests the debug text of a value, with the entries of every pair of braces sorted. Fields have
/// names and entries of maps have keys, so their order carries no information.
pub fn debug_digest(value: &impl fmt::Debug) -> u128 {
    let text = format!("{value:?}");
    let mut at = 0;
    let sorted = sorted_group(text.as_bytes(), &mut at);
    xxh3::xxh3_128(&sorted)
}

/// Reads up to the closing bracket of the group that begins at `at`, and returns its text with the
/// entries sorted if the bracket is a brace.
fn sorted_group(text: &[u8], at: &mut usize) -> Vec<u8> {
    let mut entries = vec![Vec::new()];
    let mut is_braced = false;
    let mut quoted = false;
    if *at > 0 {
        is_braced = text[*at - 1] == b'{';
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
                entry.extend(sorted_group(text, at));
            }
            b'}' | b']' | b')' => {
                if is_braced {
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
