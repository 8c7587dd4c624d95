//! The upstreams' interface: replies that count and replies that do not.

#![allow(clippy::unwrap_used)]

mod bench;

use bench::{
    body,
    TestBench, //
};
use daemon::check_reply;
use policy::engine::AttemptFailure;
use standin::UpstreamSettings;

type FaultSwitch = fn(&mut UpstreamSettings);

const ECHO: &str = "d.1.7";

fn reply(task: &str, load: &str) -> String {
    format!(r#"{{"replies":[{task}],"load":{load}}}"#)
}

#[test]
fn good_reply() {
    let hit = r#"{"key":3,"id":"a","body":"text"}"#;
    let task = format!(r#"{{"attempt":"d.1.7","snapshot":4,"spans":[0,10],"hits":[{hit}]}}"#);
    let load = r#"{"running":1,"queued":2,"slots":3,"snapshots":[3,4],"spans":[0,10]}"#;
    let checked = check_reply(reply(&task, load).as_bytes(), ECHO).unwrap();
    assert_eq!(checked.snapshot.0, 4);
    assert_eq!(checked.covered.to_pairs(), [0, 10]);
    assert_eq!(checked.items.len(), 1);
    assert_eq!(checked.load.snapshots.len(), 2);
    assert_eq!(
        (
            checked.load.running,
            checked.load.queued,
            checked.load.slots
        ),
        (1, 2, 3)
    );
}

#[test]
fn refusals() {
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
        let failed = check_reply(reply(&task, r#"{"draining":true}"#).as_bytes(), ECHO);
        let failed = failed.unwrap_err();
        assert_eq!(failed.failure, failure);
        assert!(failed.load.unwrap().draining);
    }
}

#[test]
fn bad_replies() {
    let whole = r#"{"attempt":"d.1.7","snapshot":4,"spans":[0,10]}"#;
    let cases = [
        String::new(),
        "[]".into(),
        "{".into(),
        r#"{"replies":[]}"#.into(),
        r#"{"replies":{}}"#.into(),
        reply(&format!("{whole},{whole}"), "{}"),
        reply(r#"{"attempt":"d.1.8","snapshot":4}"#, "{}"),
        reply(r#"{"attempt":"d.1.70","snapshot":4}"#, "{}"),
        reply(r#"{"attempt":"e.1.7","snapshot":4}"#, "{}"),
        reply(r#"{"snapshot":4}"#, "{}"),
        reply(r#"{"attempt":"d.1.7","refusal":"tired"}"#, "{}"),
        reply(r#"{"attempt":"d.1.7","snapshot":-1}"#, "{}"),
        reply(r#"{"attempt":"d.1.7","snapshot":4,"spans":[0]}"#, "{}"),
        reply(r#"{"attempt":"d.1.7","snapshot":4,"spans":[5,5]}"#, "{}"),
        reply(
            r#"{"attempt":"d.1.7","snapshot":4,"spans":[0,65537]}"#,
            "{}",
        ),
        reply(
            r#"{"attempt":"d.1.7","snapshot":4,"spans":[0,10],"hits":[{"key":10,"id":"a"}]}"#,
            "{}",
        ),
        reply(whole, r#"{"spans":[7,3]}"#),
        reply(whole, r#"{"slots":"two"}"#),
    ];
    for text in cases {
        let failed = check_reply(text.as_bytes(), ECHO).unwrap_err();
        assert_eq!(failed.failure, AttemptFailure::BadReply, "{text}");
    }
}

#[test]
fn spoilt_replies_are_no_data() {
    let cases: [(&str, FaultSwitch); 4] = [
        ("truncated", |settings| settings.truncated_ppm = 1_000_000),
        ("malformed", |settings| settings.malformed_ppm = 1_000_000),
        ("wrong echo", |settings| settings.wrong_echo_ppm = 1_000_000),
        ("failed", |settings| settings.failed_ppm = 1_000_000),
    ];
    for (name, fault) in cases {
        let bench = TestBench::start();
        bench.fleet.adjust_all(fault);
        let answer = bench.ask("planks", "r1", "oak").answer();
        assert!(answer.items.is_empty(), "{name}");
        assert_eq!(answer.coverage.unwrap().share_ppm, 0, "{name}");
        assert_ne!(answer.outcome, "complete", "{name}");
        assert_ne!(answer.outcome, "not_run", "{name}");
        assert_eq!(bench.admin("/ready").status, 200, "{name}");
    }
}

#[test]
fn oversize_reply() {
    let bench = TestBench::with(&body(), |config| config.limits.reply_bytes = 16);
    let answer = bench.ask("planks", "r1", "oak").answer();
    assert_eq!(answer.coverage.unwrap().share_ppm, 0);
    assert_eq!(bench.admin("/ready").status, 200);
}

#[test]
fn one_bad_replica_is_made_good() {
    let bench = TestBench::start();
    // Retries are paid from a budget that first attempts fill.
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

/// Bodies of their own: a replica that breaks under one body twice makes that body suspect.
#[test]
fn a_bad_replica_at_a_cold_start_is_made_good() {
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

/// A body that one replica breaks under twice is suspect and not retried: what is missing is named.
#[test]
fn a_body_that_breaks_a_replica_twice_is_owned_up_to() {
    let bench = TestBench::start();
    let (vm, _) = bench.fleet.upstreams().next().unwrap();
    let server = bench.fleet.upstream(vm).unwrap();
    server.adjust(|settings| settings.truncated_ppm = 1_000_000);
    let spoilt = server.settings().serves;
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
            assert!(spoilt.covers(span), "request {number}");
        }
        for item in &answer.items {
            assert!(!spoilt.contains(item.key), "request {number}");
        }
    }
}
