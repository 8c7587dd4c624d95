//! Replies of upstreams: which are used, and which count as failed.

#![allow(clippy::unwrap_used)]

mod bench;

use bench::{
    body,
    TestBench, //
};
use daemon::check_reply;
use policy::engine::AttemptFailure;
use standin::UpstreamSettings;

type SetFault = fn(&mut UpstreamSettings);

const ATTEMPT_ID: &str = "d.1.7";

fn reply_json(task: &str, load: &str) -> String {
    format!(r#"{{"replies":[{task}],"load":{load}}}"#)
}

#[test]
fn a_valid_reply_is_parsed() {
    let hit = r#"{"key":3,"id":"a","body":"text"}"#;
    let task = format!(r#"{{"attempt":"d.1.7","snapshot":4,"spans":[0,10],"hits":[{hit}]}}"#);
    let load = r#"{"running":1,"queued":2,"slots":3,"snapshots":[3,4],"spans":[0,10]}"#;
    let reply_data = check_reply(reply_json(&task, load).as_bytes(), ATTEMPT_ID).unwrap();
    assert_eq!(reply_data.snapshot.0, 4);
    assert_eq!(reply_data.covered.to_pairs(), [0, 10]);
    assert_eq!(reply_data.items.len(), 1);
    assert_eq!(reply_data.load.snapshots.len(), 2);
    assert_eq!(
        (
            reply_data.load.running,
            reply_data.load.queued,
            reply_data.load.slots
        ),
        (1, 2, 3)
    );
}

#[test]
fn refusals_are_parsed() {
    let cases = [
        ("shed", AttemptFailure::Shed),
        ("draining", AttemptFailure::Draining),
        ("snapshot_gone", AttemptFailure::SnapshotGone),
        ("range_gone", AttemptFailure::RangeGone),
        ("late", AttemptFailure::Late),
        ("failed", AttemptFailure::RanFailed),
    ];
    for (refusal, failure) in cases {
        let task = format!(r#"{{"attempt":"d.1.7","refusal":"{refusal}"}}"#);
        let failed = check_reply(
            reply_json(&task, r#"{"draining":true}"#).as_bytes(),
            ATTEMPT_ID,
        );
        let failed = failed.unwrap_err();
        assert_eq!(failed.failure, failure);
        assert!(failed.load.unwrap().draining);
    }
}

#[test]
fn invalid_replies_are_rejected() {
    let valid_task = r#"{"attempt":"d.1.7","snapshot":4,"spans":[0,10]}"#;
    let cases = [
        String::new(),
        "[]".into(),
        "{".into(),
        r#"{"replies":[]}"#.into(),
        r#"{"replies":{}}"#.into(),
        reply_json(&format!("{valid_task},{valid_task}"), "{}"),
        reply_json(r#"{"attempt":"d.1.8","snapshot":4}"#, "{}"),
        reply_json(r#"{"attempt":"d.1.70","snapshot":4}"#, "{}"),
        reply_json(r#"{"attempt":"e.1.7","snapshot":4}"#, "{}"),
        reply_json(r#"{"snapshot":4}"#, "{}"),
        reply_json(r#"{"attempt":"d.1.7","refusal":"tired"}"#, "{}"),
        reply_json(r#"{"attempt":"d.1.7","snapshot":-1}"#, "{}"),
        reply_json(r#"{"attempt":"d.1.7","snapshot":4,"spans":[0]}"#, "{}"),
        reply_json(r#"{"attempt":"d.1.7","snapshot":4,"spans":[5,5]}"#, "{}"),
        reply_json(
            r#"{"attempt":"d.1.7","snapshot":4,"spans":[0,65537]}"#,
            "{}",
        ),
        reply_json(
            r#"{"attempt":"d.1.7","snapshot":4,"spans":[0,10],"hits":[{"key":10,"id":"a"}]}"#,
            "{}",
        ),
        reply_json(valid_task, r#"{"spans":[7,3]}"#),
        reply_json(valid_task, r#"{"slots":"two"}"#),
    ];
    for text in cases {
        let failed = check_reply(text.as_bytes(), ATTEMPT_ID).unwrap_err();
        assert_eq!(failed.failure, AttemptFailure::BadReply, "{text}");
    }
}

#[test]
fn faulty_replies_yield_no_data() {
    let cases: [(&str, SetFault); 4] = [
        ("truncated", |settings| settings.truncated_ppm = 1_000_000),
        ("malformed", |settings| settings.malformed_ppm = 1_000_000),
        ("wrong echo", |settings| settings.wrong_echo_ppm = 1_000_000),
        ("failed", |settings| settings.failed_ppm = 1_000_000),
    ];
    for (name, set_fault) in cases {
        let bench = TestBench::start();
        bench.fleet.adjust_all(set_fault);
        let answer = bench.ask("planks", "r1", "oak").answer();
        assert!(answer.items.is_empty(), "{name}");
        assert_eq!(answer.coverage.unwrap().share_ppm, 0, "{name}");
        assert_ne!(answer.outcome, "complete", "{name}");
        assert_ne!(answer.outcome, "not_run", "{name}");
        assert_eq!(bench.admin("/ready").status, 200, "{name}");
    }
}

#[test]
fn an_oversized_reply_yields_no_data() {
    let bench = TestBench::with(&body(), |config| config.limits.reply_bytes = 16);
    let answer = bench.ask("planks", "r1", "oak").answer();
    assert_eq!(answer.coverage.unwrap().share_ppm, 0);
    assert_eq!(bench.admin("/ready").status, 200);
}

#[test]
fn retries_cover_a_faulty_replica() {
    let bench = TestBench::start();
    // First attempts fill the budget that the retries are charged to.
    for number in 0..60 {
        bench.ask("planks", &format!("warm{number}"), "oak");
    }
    let (vm, _) = bench.fleet.upstreams().next().unwrap();
    let server = bench.fleet.upstream(vm).unwrap();
    server.adjust(|settings| settings.truncated_ppm = 1_000_000);
    for number in 0..8 {
        let answer = bench.ask("planks", &format!("r{number}"), "oak").answer();
        assert_eq!(
            answer.outcome, "complete",
            "request {number}: {}",
            answer.reason
        );
    }
}

/// Each request has a different body, as a body under which a replica fails twice becomes suspect
/// and is not retried.
#[test]
fn retries_cover_a_faulty_replica_right_after_the_start() {
    let bench = TestBench::start();
    let (vm, _) = bench.fleet.upstreams().next().unwrap();
    let server = bench.fleet.upstream(vm).unwrap();
    server.adjust(|settings| settings.truncated_ppm = 1_000_000);
    for number in 0..8 {
        let answer = bench
            .ask("planks", &format!("r{number}"), &format!("oak {number}"))
            .answer();
        assert_eq!(answer.outcome, "complete", "request {number}");
        assert_eq!(answer.coverage.unwrap().share_ppm, 1_000_000);
    }
}

/// A body under which a replica fails twice is suspect and not retried. The answer then reports the
/// missing key ranges.
#[test]
fn a_suspect_body_reports_what_is_missing() {
    let bench = TestBench::start();
    let (vm, _) = bench.fleet.upstreams().next().unwrap();
    let server = bench.fleet.upstream(vm).unwrap();
    server.adjust(|settings| settings.truncated_ppm = 1_000_000);
    let faulty_span = server.settings().serves;
    for number in 0..8 {
        let answer = bench.ask("planks", &format!("r{number}"), "oak").answer();
        let coverage = answer.coverage.unwrap();
        if answer.outcome == "complete" {
            assert_eq!(coverage.share_ppm, 1_000_000);
            continue;
        }
        assert_eq!(answer.outcome, "partial", "request {number}");
        for missing in &coverage.missing {
            assert_eq!(missing.reason, "connection_lost", "request {number}");
            let span = schema::KeySpan::new(missing.start, missing.end).unwrap();
            assert!(faulty_span.covers(span), "request {number}");
        }
        for item in &answer.items {
            assert!(!faulty_span.contains(item.key), "request {number}");
        }
    }
}
