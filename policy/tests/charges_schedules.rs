//! Random schedules of charges: daemons that die two at a time, lost store replies, outages, and
//! requests repeated through other daemons.

#![allow(clippy::expect_used)]

mod charges_kit;
mod store_kit;

use std::time::Duration;

use charges_kit::{
    ChargeScene,
    LedgerStep,
    START, //
};
use policy::charges::ChargeToken;
use rand::Rng;
use schema::TimePoint;

const NODES: usize = 5;
const CHARGES: u64 = 400;
const SCHEDULES: u64 = 150;

fn scene(seed: u64) -> ChargeScene {
    let mut scene = ChargeScene::new(seed, NODES, |settings| settings.segment_bytes = 2_000);
    scene.lose_pct = 10;
    let within = |scene: &mut ChargeScene, most_ms: u64| {
        START + Duration::from_millis(scene.random.random_range(1..most_ms))
    };
    for charge in 0..CHARGES {
        // One in ten is a repeat.
        let token = ChargeToken(u128::from(charge - charge / 10));
        let node = scene.random.random_range(0..NODES);
        let at = within(&mut scene, 10_000);
        scene.at(at, LedgerStep::Charge(node, token));
    }
    if scene.random.random_bool(0.5) {
        let from = within(&mut scene, 5_000);
        let span = scene.random.random_range(0..8_000);
        scene.down = (from, from + Duration::from_millis(span));
    }
    if scene.random.random_bool(0.8) {
        // A daemon and a peer die at once and come back without their state.
        let at = within(&mut scene, 10_000);
        let node = scene.random.random_range(0..NODES);
        let other = (node + scene.random.random_range(1..NODES)) % NODES;
        for dead in [node, other] {
            scene.at(at, LedgerStep::Kill(dead));
            let back = scene.random.random_range(100..6_000);
            scene.at(at + Duration::from_millis(back), LedgerStep::Start(dead));
        }
    }
    scene
}

#[test]
fn copied_charges_count_once_whatever_dies() {
    let (mut copied, mut uncopied, mut inherited, mut lost) = (0, 0, 0, 0);
    for seed in 0..SCHEDULES {
        let mut scene = scene(seed);
        let end = START + Duration::from_secs(300);
        scene.run_until(end);
        let report = scene.report(end);
        for token in &scene.copied {
            let stored = scene.holds(*token);
            assert!(stored, "seed {seed}: the copied charge {token} is lost");
        }
        let answered: u64 = scene.made.values().sum();
        assert!(report.answered <= answered, "seed {seed}");
        let found = report.charged + report.repeated + report.waiting + report.lost_count();
        assert_eq!(report.answered + report.surplus, found, "seed {seed}");
        assert_eq!(report.waiting, 0, "seed {seed}");
        let distinct = CHARGES - (CHARGES - 1) / 10;
        assert!(report.charged <= distinct, "seed {seed}");
        let users: u64 = report.users.values().map(|total| total.units.0).sum();
        assert_eq!(users, 100 * report.charged, "seed {seed}");
        copied += scene.copied.len();
        uncopied += scene.uncopied.len();
        lost += report.lost_count();
        let ledgers = scene.nodes.iter().filter_map(|node| node.ledger.as_ref());
        inherited += ledgers.map(|ledger| ledger.counts().inherited).sum::<u64>();
    }
    println!("copied {copied}, uncopied {uncopied}, inherited {inherited}, lost {lost}");
    assert!(inherited > 0);
    assert!(copied > 50 * uncopied);
}

#[test]
fn an_hour_without_the_store_loses_nothing() {
    let mut scene = ChargeScene::new(7, 8, |_| {});
    let hour = Duration::from_secs(3600);
    let back = START + hour;
    scene.down = (START, back);
    let mut made = 0;
    for second in 0..3_700 {
        for node in 0..8 {
            for _ in 0..5 {
                made += 1;
                let at = START + Duration::from_millis(second * 1_000 + made % 1_000);
                scene.at(at, LedgerStep::Charge(node, ChargeToken(made.into())));
            }
        }
    }
    let end = back + Duration::from_secs(300);
    scene.run_until(end);
    let report = scene.report(end);
    assert_eq!(report.answered, made);
    assert_eq!(report.charged, made);
    assert_eq!(report.lost, Vec::new());
    assert_eq!(scene.uncopied.len(), 0);
    let outage: u64 = calls(&scene, START, back);
    let worst = scene.calls.values().max().copied().unwrap_or(0);
    println!("calls in the outage {outage}, in the worst second {worst}");
    assert!(worst < 50, "{worst} calls in a second");
    assert!(
        outage < 8 * 3600 / 8,
        "{outage} calls while the store is down"
    );
}

fn calls(scene: &ChargeScene, from: TimePoint, to: TimePoint) -> u64 {
    let range = from.0 / 1_000_000..to.0 / 1_000_000;
    scene.calls.range(range).map(|(_, count)| count).sum()
}

#[test]
fn eight_daemons_at_full_load_write_less_than_fifty_a_second() {
    let mut scene = ChargeScene::new(8, 8, |_| {});
    let mut made = 0;
    for milli in 0..5_000 {
        for node in 0..8 {
            for _ in 0..4 {
                made += 1;
                let at = START + Duration::from_millis(milli);
                scene.at(at, LedgerStep::Charge(node, ChargeToken(made)));
            }
        }
    }
    let end = START + Duration::from_secs(60);
    scene.run_until(end);
    let worst = scene.calls.values().max().copied().unwrap_or(0);
    println!("32,000 charges a second: {worst} calls in the worst second");
    assert!(worst < 50, "{worst} calls in a second");
    assert_eq!(u128::from(scene.report(end).charged), made);
}

#[test]
fn memory_is_bounded_and_the_rest_is_refused() {
    let mut scene = ChargeScene::new(9, 3, |settings| settings.waiting_bytes = 50_000);
    scene.down = (START, START + Duration::from_secs(60));
    for milli in 0..5_000 {
        let at = START + Duration::from_millis(milli);
        scene.at(at, LedgerStep::Charge(0, ChargeToken(milli.into())));
    }
    scene.run_until(START + Duration::from_secs(30));
    let ledger = scene.nodes[0].ledger.as_ref().expect("ledger");
    assert!(ledger.is_full());
    assert!(ledger.waiting_bytes() < 51_000);
    assert_eq!(scene.refused + ledger.waiting_count(), 5_000);
    let end = START + Duration::from_secs(120);
    scene.run_until(end);
    let report = scene.report(end);
    assert_eq!(report.answered, 5_000 - scene.refused);
    assert_eq!(report.charged, report.answered);
}
