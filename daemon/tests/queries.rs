//! Queries that a daemon runs on stand-in upstreams.

#![allow(clippy::unwrap_used)]

mod bench;

use bench::TestBench;

#[test]
fn a_query_gets_a_complete_answer() {
    let bench = TestBench::start();
    let reply = bench.ask("planks", "r1", "oak");
    assert_eq!(reply.status, 200, "{}", reply.body);
    let answer = reply.answer();
    assert_eq!(answer.outcome, "complete");
    assert_eq!(answer.request, "r1");
    assert_eq!(answer.coverage.unwrap().share_ppm, 1_000_000);
    assert_eq!(answer.snapshot, 1);
    assert!(!answer.items.is_empty());
}
