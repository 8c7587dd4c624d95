//! The catalogue of log events: it matches its page in the docs and its codes are in order.

#![allow(clippy::unwrap_used)]

use daemon::events::CATALOGUE;

#[test]
fn catalogue_matches_docs_page() {
    let page = std::fs::read_to_string("../docs/EVENTS.md").unwrap();
    let rows: Vec<String> = page
        .lines()
        .filter(|line| line.starts_with("| E"))
        .map(|line| line.split('|').take(4).collect::<Vec<_>>().join("|"))
        .collect();
    let expected: Vec<String> = CATALOGUE
        .iter()
        .map(|kind| {
            format!(
                "| {} | {} | {} ",
                kind.code,
                kind.level.as_str(),
                kind.message
            )
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn codes_are_ascending() {
    assert!(CATALOGUE.windows(2).all(|pair| pair[0].code < pair[1].code));
}
