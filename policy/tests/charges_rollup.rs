//! Reading segments back: what counts, what is named as lost.

#![allow(clippy::expect_used)]

mod charges_kit;
mod store_kit;

use std::time::Duration;

use charges_kit::{
    ChargeScene,
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

fn start(daemon: &str) -> (DaemonName, Incarnation) {
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
fn a_repeat_through_another_daemon_counts_once() {
    let mut rollup = rollup(&["a", "b"]);
    let first = segment(&[1, 2], 2, true, START);
    let second = segment(&[2, 3], 2, true, START + Duration::from_secs(1800));
    rollup.add_segment(&start("a"), 0, Some(&first));
    rollup.add_segment(&start("b"), 0, Some(&second));
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
fn a_gap_names_a_loss() {
    let mut rollup = rollup(&["a"]);
    let held = segment(&[1, 2], 2, false, START);
    let last = segment(&[6], 6, true, START);
    rollup.add_segment(&start("a"), 0, Some(&held));
    rollup.add_segment(&start("a"), 1, None);
    rollup.add_segment(&start("a"), 2, Some(&last));
    let report = rollup.report();
    assert_eq!(report.lost_count(), 3);
    assert_eq!(report.lost[0].gaps, vec![1]);
    assert!(!report.lost[0].open_end);
}

#[test]
fn an_end_without_a_last_segment_is_named() {
    let mut rollup = rollup(&["a", "b"]);
    let held = segment(&[1, 2], 2, false, START);
    rollup.add_segment(&start("a"), 0, Some(&held));
    rollup.add_segment(&start("b"), 0, Some(&held));
    rollup.add_alive(start("b"), 5, 3);
    while let Some((found, sequence, _)) = rollup.next_segments().pop() {
        rollup.add_segment(&found, sequence, None);
    }
    let report = rollup.report();
    assert_eq!(report.waiting, 3);
    assert_eq!(report.lost.len(), 1);
    assert_eq!(report.lost[0].daemon, start("a").0);
    assert!(report.lost[0].open_end);
}

#[test]
fn tokens_count_again_beyond_the_neighbouring_window() {
    let mut rollup = rollup(&["a"]);
    let cases = [
        (0, START, 1, 0),
        (1, START + WINDOW, 1, 1),
        (2, START + 3 * WINDOW, 2, 1),
    ];
    for (sequence, at, charged, repeated) in cases {
        rollup.drop_before(at);
        let value = segment(&[1], sequence + 1, false, at);
        rollup.add_segment(&start("a"), sequence, Some(&value));
        let report = rollup.report();
        assert_eq!(
            (report.charged, report.repeated),
            (charged, repeated),
            "{sequence}"
        );
    }
}

/// Peers take a daemon for dead that is only cut off from them, and write its copies: it keeps
/// what they did not have, and nothing counts twice.
#[test]
fn a_daemon_taken_for_dead_is_charged_once() {
    for seed in 0..10 {
        let mut scene = ChargeScene::new(seed, 4, |settings| {
            settings.seal_age = Duration::from_secs(3);
        });
        for milli in 0..6_000 {
            let at = START + Duration::from_millis(milli);
            scene.at(at, LedgerStep::Charge(0, ChargeToken(milli.into())));
        }
        let gone = ChargeEvent::PeerGone {
            daemon: "daemon-0".parse().expect("name"),
            incarnation: Incarnation(0),
        };
        for node in 1..4 {
            let at = START + Duration::from_millis(500 + 300 * node as u64);
            scene.at(at, LedgerStep::Event(node, 0, Box::new(gone.clone())));
        }
        let end = START + Duration::from_secs(60);
        scene.run_until(end);
        let report = scene.report(end);
        assert_eq!(report.charged, 6_000, "seed {seed}");
        assert_eq!(report.answered, 6_000, "seed {seed}");
        assert_eq!(report.repeated, report.surplus, "seed {seed}");
        assert_eq!(report.lost, Vec::new(), "seed {seed}");
    }
}

#[test]
fn a_planned_stop_leaves_nothing_behind() {
    for down in [false, true] {
        let mut scene = ChargeScene::new(3, 4, |_| {});
        if down {
            scene.down = (START, START + Duration::from_secs(30));
        }
        for token in 0..500 {
            let at = START + Duration::from_millis(token);
            scene.at(at, LedgerStep::Charge(0, ChargeToken(token.into())));
        }
        let stop = START + Duration::from_millis(600);
        scene.at(
            stop,
            LedgerStep::Event(0, 0, Box::new(ChargeEvent::StopAsked)),
        );
        let exit = START + Duration::from_secs(3);
        scene.run_until(exit);
        let ledger = scene.nodes[0].ledger.as_ref().expect("ledger");
        assert!(ledger.is_drained(), "store down: {down}");
        scene.at(exit, LedgerStep::Kill(0));
        let end = START + Duration::from_secs(90);
        scene.run_until(end);
        let report = scene.report(end);
        assert_eq!(report.charged, 500, "store down: {down}");
        assert_eq!(report.lost_count(), 0, "store down: {down}");
    }
}
