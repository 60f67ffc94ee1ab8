//! No two modules import each other, not by way of others either: a newcomer can read any of them
//! before those that use it.

#[path = "support/files.rs"]
mod files;

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use files::{read, root};

/// Imports of each module, by its path in the crate.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// `decide::queue` for `decide/queue.rs`, `decide` for `decide/mod.rs`.
fn module(path: &Path) -> String {
    let path = path.with_extension("");
    let parts: Vec<_> = path.iter().map(|part| part.to_string_lossy()).collect();
    let parts = match parts.as_slice() {
        [folder @ .., last] if last == "mod" => folder,
        all => all,
    };
    parts.join("::")
}

/// The longest known module that a path begins with.
fn known<'a>(modules: &'a BTreeSet<String>, path: &str) -> Option<&'a String> {
    let is_within = |module: &&String| {
        let rest = path.strip_prefix(module.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
    };
    modules.iter().filter(is_within).max_by_key(|m| m.len())
}

/// The paths that a `use crate::` statement names, with its braces resolved one level deep.
fn used(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    for statement in text.split("use crate::").skip(1) {
        let statement = statement.split(';').next().unwrap_or_default();
        let statement: String = statement.split_whitespace().collect();
        match statement.split_once("::{") {
            Some((base, names)) => {
                let names = names.trim_end_matches('}').split(',');
                let paths = names.map(|name| format!("{base}::{name}"));
                found.extend(paths.map(|path| path.trim_end_matches("::self").to_owned()));
            }
            None => found.push(statement),
        }
    }
    found
}

fn imports() -> Imports {
    let root = root().join("src");
    let files = files::files(&root, "rs");
    let name = |path: &PathBuf| module(path.strip_prefix(&root).expect("a source"));
    let modules: BTreeSet<String> = files.iter().map(name).collect();
    let mut imports = Imports::new();
    for path in &files {
        let text = read(path);
        let own = name(path);
        let used = used(&text);
        let used = used.iter().filter_map(|path| known(&modules, path));
        // A module and the one that it is a part of belong together.
        let apart = used.filter(|other| known(&[own.clone()].into(), other).is_none());
        let apart = apart.filter(|other| known(&[(*other).clone()].into(), &own).is_none());
        imports.insert(own.clone(), apart.cloned().collect());
    }
    imports
}

/// Whether a way leads from one module to another.
fn leads(imports: &Imports, from: &str, to: &str) -> bool {
    let mut seen = BTreeSet::new();
    let mut next = vec![from.to_owned()];
    while let Some(module) = next.pop() {
        for other in imports.get(&module).into_iter().flatten() {
            if other == to {
                return true;
            }
            if seen.insert(other.clone()) {
                next.push(other.clone());
            }
        }
    }
    false
}

fn circles(imports: &Imports) -> Vec<&String> {
    let modules = imports.keys();
    modules.filter(|m| leads(imports, m, m)).collect()
}

#[test]
fn no_module_imports_itself_by_way_of_others() {
    let imports = imports();
    assert!(imports.len() > 100, "the sources were found");
    let found = circles(&imports);
    assert!(found.is_empty(), "in a circle: {found:?}");
}

#[test]
fn a_circle_is_seen() {
    let text = "use crate::a::b::{self, Thing};\nuse crate::c;";
    assert_eq!(used(text), ["a::b", "a::b::Thing", "c"]);
    let imports = |pairs: &[(&str, &str)]| {
        let pairs = pairs.iter();
        let pairs = pairs.map(|(a, b)| (a.to_string(), BTreeSet::from([b.to_string()])));
        pairs.collect::<Imports>()
    };
    let round = imports(&[("a", "b"), ("b", "c"), ("c", "a"), ("d", "a")]);
    assert_eq!(circles(&round), ["a", "b", "c"]);
    assert!(circles(&imports(&[("a", "b"), ("b", "c")])).is_empty());
}
