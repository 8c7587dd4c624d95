//! Aggregation of segments: which charges are counted, and which are reported as lost.

#![allow(clippy::expect_used)]

mod charges_kit;
mod store_kit;

use std::time::Duration;

use charges_kit::{
    ChargeSimulation,
    LedgerStep,
    START, //
};
use policy::charges::{
    ChargeEvent,
    ChargeRollup,
    ChargeToken, //
};
use prost::Message;
use schema::{
    peer::{
        ChargeRecord,
        ChargeSegment,
        RosterBody,
        RosterEntry, //
    },
    DaemonName,
    Incarnation,
    TimePoint, //
};

const WINDOW: Duration = Duration::from_secs(3600);

fn instance(daemon: &str) -> (DaemonName, Incarnation) {
    (daemon.parse().expect("name"), Incarnation(5))
}

fn rollup(daemons: &[&str]) -> ChargeRollup {
    let mut rollup = ChargeRollup::new(WINDOW);
    let mut roster = RosterBody::default();
    for daemon in daemons {
        roster.entries.push(RosterEntry {
            daemon: (*daemon).into(),
            incarnation: 5,
            first: 0,
        });
    }
    rollup.add_roster(&roster);
    rollup
}

fn segment(tokens: &[u64], answered: u64, closing: bool, at: TimePoint) -> Vec<u8> {
    let mut segment = ChargeSegment {
        sealed_us: at.0,
        answered,
        closing,
        ..ChargeSegment::default()
    };
    for token in tokens {
        segment.records.push(ChargeRecord {
            token_low: *token,
            user: "ana".into(),
            units: 10,
            ..ChargeRecord::default()
        });
    }
    segment.encode_to_vec()
}

#[test]
fn retried_request_on_another_daemon_is_counted_once() {
    let mut rollup = rollup(&["a", "b"]);
    let first = segment(&[1, 2], 2, true, START);
    let second = segment(&[2, 3], 2, true, START + Duration::from_secs(1800));
    rollup.add_segment(&instance("a"), 0, Some(&first));
    rollup.add_segment(&instance("b"), 0, Some(&second));
    let report = rollup.report();
    assert_eq!(
        (report.answered, report.charged, report.repeated),
        (4, 3, 1)
    );
    assert_eq!(report.users[&"ana".parse().expect("user")].units.0, 30);
    assert!(report.lost.is_empty());
    assert!(rollup.next_segments().is_empty());
}

#[test]
fn missing_segment_is_reported_as_lost_charges() {
    let mut rollup = rollup(&["a"]);
    let first = segment(&[1, 2], 2, false, START);
    let last = segment(&[6], 6, true, START);
    rollup.add_segment(&instance("a"), 0, Some(&first));
    rollup.add_segment(&instance("a"), 1, None);
    rollup.add_segment(&instance("a"), 2, Some(&last));
    let report = rollup.report();
    assert_eq!(report.lost_count(), 3);
    assert_eq!(report.lost[0].gaps, vec![1]);
    assert!(!report.lost[0].open_end);
}

#[test]
fn missing_closing_segment_is_reported_as_open_end() {
    let mut rollup = rollup(&["a", "b"]);
    let first = segment(&[1, 2], 2, false, START);
    rollup.add_segment(&instance("a"), 0, Some(&first));
    rollup.add_segment(&instance("b"), 0, Some(&first));
    rollup.add_live_daemon(instance("b"), 5, 3);
    while let Some((instance, sequence, _)) = rollup.next_segments().pop() {
        rollup.add_segment(&instance, sequence, None);
    }
    let report = rollup.report();
    assert_eq!(report.waiting, 3);
    assert_eq!(report.lost.len(), 1);
    assert_eq!(report.lost[0].daemon, instance("a").0);
    assert!(report.lost[0].open_end);
}

#[test]
fn tokens_are_counted_again_beyond_the_adjacent_window() {
    let mut rollup = rollup(&["a"]);
    let cases = [
        (0, START, 1, 0),
        (1, START + WINDOW, 1, 1),
        (2, START + 3 * WINDOW, 2, 1),
    ];
    for (sequence, at, charged, repeated) in cases {
        rollup.drop_tokens_before(at);
        let value = segment(&[1], sequence + 1, false, at);
        rollup.add_segment(&instance("a"), sequence, Some(&value));
        let report = rollup.report();
        assert_eq!(
            (report.charged, report.repeated),
            (charged, repeated),
            "segment {sequence}"
        );
    }
}

/// Peers consider a daemon dead that is only partitioned from them, and write their copies of its
/// segments. The daemon must write the charges that the copies lacked, and no charge may be
/// counted twice.
#[test]
fn charges_of_a_daemon_wrongly_considered_dead_are_counted_once() {
    for seed in 0..10 {
        let mut simulation = ChargeSimulation::new(seed, 4, |settings| {
            settings.seal_age = Duration::from_secs(3);
        });
        for at_ms in 0..6_000 {
            let at = START + Duration::from_millis(at_ms);
            simulation.schedule(at, LedgerStep::Charge(0, ChargeToken(at_ms.into())));
        }
        let gone = ChargeEvent::PeerGone {
            daemon: "daemon-0".parse().expect("name"),
            incarnation: Incarnation(0),
        };
        for node in 1..4 {
            let at = START + Duration::from_millis(500 + 300 * node as u64);
            simulation.schedule(at, LedgerStep::Event(node, 0, Box::new(gone.clone())));
        }
        let end_at = START + Duration::from_secs(60);
        simulation.run_until(end_at);
        let report = simulation.report(end_at);
        assert_eq!(report.charged, 6_000, "seed {seed}");
        assert_eq!(report.answered, 6_000, "seed {seed}");
        assert_eq!(report.repeated, report.surplus, "seed {seed}");
        assert_eq!(report.lost, Vec::new(), "seed {seed}");
    }
}

#[test]
fn planned_stop_loses_no_charges() {
    for store_down in [false, true] {
        let mut simulation = ChargeSimulation::new(3, 4, |_| {});
        if store_down {
            simulation.outage = (START, START + Duration::from_secs(30));
        }
        for token in 0..500 {
            let at = START + Duration::from_millis(token);
            simulation.schedule(at, LedgerStep::Charge(0, ChargeToken(token.into())));
        }
        let stop_at = START + Duration::from_millis(600);
        simulation.schedule(
            stop_at,
            LedgerStep::Event(0, 0, Box::new(ChargeEvent::StopRequested)),
        );
        let exit_at = START + Duration::from_secs(3);
        simulation.run_until(exit_at);
        let ledger = simulation.nodes[0].ledger.as_ref().expect("ledger");
        assert!(ledger.is_drained(), "store down: {store_down}");
        simulation.schedule(exit_at, LedgerStep::Kill(0));
        let end_at = START + Duration::from_secs(90);
        simulation.run_until(end_at);
        let report = simulation.report(end_at);
        assert_eq!(report.charged, 500, "store down: {store_down}");
        assert_eq!(report.lost_count(), 0, "store down: {store_down}");
    }
}
