//! Imports between folders go one way, as docs/ARCHITECTURE.md draws them.

#[path = "support/files.rs"]
mod files;

use std::path::Path;

use files::{files, read, root};

/// The layers, highest first. What stands in one line never imports its neighbours.
const LAYERS: [&[&str]; 9] = [
    &["platform"],
    &["cli"],
    &["bench"],
    &["demo"],
    &["agent", "besteffort", "entry", "standin"],
    &["filter"],
    &["controller"],
    &["wire"],
    &["decide"],
];

/// The layer of a module of the crate; the ground modules lie under all layers.
fn layer(module: &str) -> usize {
    let found = LAYERS.iter().position(|layer| layer.contains(&module));
    found.unwrap_or(LAYERS.len())
}

/// Modules of the crate that a source names, with the lines where it does. Comments don't count.
fn named<'a>(text: &'a str, root: &str) -> Vec<(usize, &'a str)> {
    let mut found = Vec::new();
    for (number, line) in text.lines().enumerate() {
        if line.trim_start().starts_with("//") {
            continue;
        }
        for (at, _) in line.match_indices(root) {
            let rest = &line[at + root.len()..];
            let end = rest.find(|c: char| !c.is_alphanumeric() && c != '_');
            found.push((number + 1, &rest[..end.unwrap_or(rest.len())]));
        }
    }
    found
}

/// The top module that a file belongs to, by its path under `src/`.
fn module(path: &Path) -> String {
    let first = path.components().next().expect("a path isn't empty");
    let name = Path::new(first.as_os_str()).file_stem();
    name.expect("a file has a name")
        .to_string_lossy()
        .into_owned()
}

/// Every breach of the order in one source.
fn breaches(path: &Path, text: &str) -> Vec<String> {
    let from = module(path);
    let allowed = |to: &str| {
        let ground = layer(&from) == LAYERS.len() && layer(to) == LAYERS.len();
        to == from || ground || layer(&from) < layer(to)
    };
    let found = named(text, "crate::").into_iter();
    found
        .filter(|(_, to)| !allowed(to))
        .map(|(line, to)| format!("{}:{line} imports {to}", path.display()))
        .collect()
}

#[test]
fn imports_go_one_way() {
    let root = root().join("src");
    let mut found = Vec::new();
    for path in files(&root, "rs") {
        let text = read(&path);
        let short = path.strip_prefix(&root).expect("the source lies in src");
        found.extend(breaches(short, &text));
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// What only `platform/` may know: the names on the users' pages.
const PAGES: [&str; 9] = [
    "/-/",
    "x-lovagemill-",
    "run-start",
    "rows-get",
    "fencing_token",
    "ack_cursor",
    "path_prefix",
    "LOVAGEMILL_BOOT",
    "crate::platform",
];

/// The product stays the product: what the users' platform calls things stands in one folder.
#[test]
fn the_platforms_names_stay_in_its_folder() {
    let root = root().join("src");
    for path in files(&root, "rs") {
        let text = read(&path);
        let text = text.to_lowercase();
        for name in PAGES {
            let found = text.contains(&name.to_lowercase());
            assert!(!found, "{} names {name}", path.display());
        }
    }
}

/// The binaries are thin: they know the command line's module and nothing else.
#[test]
fn binaries_import_only_the_command_line() {
    let root = root().join("src/bin");
    for path in files(&root, "rs") {
        let text = read(&path);
        for (line, to) in named(&text, "lovagemill::") {
            assert_eq!(to, "cli", "{}:{line}", path.display());
        }
    }
}

/// The check sees a breach, or it would prove nothing.
#[test]
fn a_breach_is_seen() {
    let decide = Path::new("decide/queue.rs");
    assert_eq!(breaches(decide, "use crate::wire::http;").len(), 1);
    assert_eq!(breaches(decide, "let f = crate::entry::open;").len(), 1);
    assert!(breaches(decide, "use crate::id;\n// use crate::wire;").is_empty());
    assert_eq!(
        breaches(Path::new("agent/runner.rs"), "use crate::entry::core;").len(),
        1
    );
    assert_eq!(
        breaches(Path::new("id.rs"), "use crate::decide::queue;").len(),
        1
    );
}
