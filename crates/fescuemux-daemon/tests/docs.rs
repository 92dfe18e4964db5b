//! Checks that the documentation lists every metric, warning and header of the daemon.

mod support;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use support::{Fleet, send_raw};

/// Headers used only between daemons, which are not documented for callers.
const INTERNAL_HEADERS: [&str; 11] = [
    fescuemux_wire::headers::SERVER,
    fescuemux_wire::headers::INCARNATION,
    fescuemux_wire::headers::ATTEMPT,
    fescuemux_wire::headers::KIND,
    fescuemux_wire::headers::IDEMPOTENT,
    fescuemux_wire::headers::BASELINE,
    fescuemux_wire::headers::PRIORITY,
    fescuemux_wire::headers::LOAD,
    fescuemux_wire::headers::SERVICE_TIME_US,
    fescuemux_wire::headers::HEALTH,
    fescuemux_wire::headers::MAC,
];

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn read_page(name: &str) -> String {
    read(&repository_root().join(name))
}

/// Returns the string literals in `source`. Does not support escapes.
fn literals(source: &str) -> impl Iterator<Item = &str> {
    source.lines().filter(|line| !line.trim_start().starts_with("//")).flat_map(|line| {
        let mut parts = line.split('"');
        parts.next();
        parts.step_by(2)
    })
}

/// Returns the words that `page`, in lower case, does not contain in backquotes.
fn missing<'a>(page: &str, words: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let is_quoted = |word: &str| page.contains(&format!("`{}`", word.to_ascii_lowercase()));
    words.into_iter().filter(|word| !is_quoted(word)).collect()
}

/// Fails if a metric is undocumented.
#[test]
fn documentation_lists_every_metric() {
    let fleet = Fleet::start(1);
    let request = "GET /slots HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert_eq!(send_raw(fleet.callers_addr(0), request.as_bytes()).status, Some(200));
    let request = "GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let metrics_text = send_raw(fleet.operators_addr(0), request.as_bytes()).text;
    let exported = metrics_text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let exported = exported.filter_map(|line| line.split(' ').next());
    // A metric with labels is exported only once it has a value, so the source is read as well.
    let source = include_str!("../src/metrics.rs");
    let declared = literals(source).filter(|text| text.starts_with("fescuemux_"));
    let metrics: BTreeSet<&str> = exported.chain(declared).collect();
    assert!(metrics.len() >= 12, "{metrics:?}");
    let missing = missing(&read_page("docs/operators/metrics-and-logs.md"), metrics);
    assert!(missing.is_empty(), "docs/operators/metrics-and-logs.md lacks {missing:?}");
}

/// Fails if a warning is undocumented.
#[test]
fn documentation_lists_every_warning() {
    let mut paths = vec![repository_root().join("crates/fescuemux-daemon/src")];
    let mut messages = BTreeSet::new();
    while let Some(path) = paths.pop() {
        if path.is_dir() {
            paths.extend(std::fs::read_dir(&path).unwrap().map(|entry| entry.unwrap().path()));
            continue;
        }
        let source = read(&path);
        for name in ["tracing::warn!(", "tracing::error!("] {
            for call in source.split(name).skip(1) {
                let call = call.split(");").next().unwrap_or_default();
                // The message is the last literal of the call.
                messages.extend(literals(call).last().map(str::to_owned));
            }
        }
    }
    assert!(messages.len() >= 15, "{messages:?}");
    let page = read_page("docs/operators/metrics-and-logs.md").to_ascii_lowercase();
    let missing = missing(&page, messages.iter().map(String::as_str));
    assert!(missing.is_empty(), "docs/operators/metrics-and-logs.md lacks {missing:?}");
}

/// Fails if a header is undocumented. A new header must be listed in the README or in
/// [`INTERNAL_HEADERS`].
#[test]
fn the_readme_lists_every_header_of_callers() {
    let source = include_str!("../../fescuemux-wire/src/headers.rs");
    let constants = source.lines().filter(|line| line.starts_with("pub const "));
    let constants: Vec<&str> = constants.collect();
    let names: BTreeSet<&str> = constants
        .iter()
        .filter(|line| line.contains(": &str =") && !line.contains(" PREFIX:"))
        .flat_map(|line| literals(line))
        .collect();
    assert!(names.len() > INTERNAL_HEADERS.len(), "{names:?}");
    let caller_headers = names.into_iter().filter(|name| !INTERNAL_HEADERS.contains(name));
    let readme = read_page("README.md").to_ascii_lowercase();
    let missing = missing(&readme, caller_headers);
    assert!(missing.is_empty(), "README.md lacks {missing:?}");
}

/// Fails if the checks of this file pass on every page.
#[test]
fn an_empty_page_fails_the_checks() {
    assert_eq!(missing("", ["fescuemux_members"]), ["fescuemux_members"]);
    assert_eq!(missing("`fescuemux_members`", ["fescuemux_members"]), [""; 0]);
    let source = "// \"no\"\nf(\"a\", x, \"b\");\n";
    assert_eq!(literals(source).collect::<Vec<_>>(), ["a", "b"]);
}
