//! Randomized schedules of charges with two daemons crashing at once, lost store replies, store
//! outages, and requests retried on other daemons.

#![allow(clippy::expect_used)]

mod charges_kit;
mod store_kit;

use std::time::Duration;

use charges_kit::{
    ChargeSimulation,
    LedgerStep,
    START, //
};
use policy::charges::ChargeToken;
use rand::Rng;
use schema::TimePoint;

const NODES: usize = 5;
const CHARGES: u64 = 400;
const SCHEDULES: u64 = 150;

fn simulation(seed: u64) -> ChargeSimulation {
    let mut simulation = ChargeSimulation::new(seed, NODES, |settings| settings.seal_bytes = 2_000);
    simulation.lost_reply_pct = 10;
    let random_time = |simulation: &mut ChargeSimulation, max_ms: u64| {
        START + Duration::from_millis(simulation.random.random_range(1..max_ms))
    };
    for charge in 0..CHARGES {
        // One charge in ten repeats the token of the charge before it.
        let token = ChargeToken(u128::from(charge - charge / 10));
        let node = simulation.random.random_range(0..NODES);
        let at = random_time(&mut simulation, 10_000);
        simulation.schedule(at, LedgerStep::Charge(node, token));
    }
    if simulation.random.random_bool(0.5) {
        let from = random_time(&mut simulation, 5_000);
        let length_ms = simulation.random.random_range(0..8_000);
        simulation.outage = (from, from + Duration::from_millis(length_ms));
    }
    if simulation.random.random_bool(0.8) {
        // Two daemons crash at the same time and restart without their state.
        let at = random_time(&mut simulation, 10_000);
        let node = simulation.random.random_range(0..NODES);
        let other = (node + simulation.random.random_range(1..NODES)) % NODES;
        for crashed in [node, other] {
            simulation.schedule(at, LedgerStep::Kill(crashed));
            let restart_ms = simulation.random.random_range(100..6_000);
            simulation.schedule(
                at + Duration::from_millis(restart_ms),
                LedgerStep::Start(crashed),
            );
        }
    }
    simulation
}

#[test]
fn copied_charges_are_counted_once_after_crashes() {
    let (mut copied, mut uncopied, mut segments_taken_over, mut lost) = (0, 0, 0, 0);
    for seed in 0..SCHEDULES {
        let mut simulation = simulation(seed);
        let end_at = START + Duration::from_secs(300);
        simulation.run_until(end_at);
        let report = simulation.report(end_at);
        for token in &simulation.copied {
            let is_stored = simulation.is_stored(*token);
            assert!(is_stored, "seed {seed}: the copied charge {token} is lost");
        }
        let answered: u64 = simulation.created.values().sum();
        assert!(report.answered <= answered, "seed {seed}");
        let found = report.charged + report.repeated + report.waiting + report.lost_count();
        assert_eq!(report.answered + report.surplus, found, "seed {seed}");
        assert_eq!(report.waiting, 0, "seed {seed}");
        let distinct = CHARGES - (CHARGES - 1) / 10;
        assert!(report.charged <= distinct, "seed {seed}");
        let charged_units: u64 = report.users.values().map(|total| total.units.0).sum();
        assert_eq!(charged_units, 100 * report.charged, "seed {seed}");
        copied += simulation.copied.len();
        uncopied += simulation.uncopied.len();
        lost += report.lost_count();
        let ledgers = simulation
            .nodes
            .iter()
            .filter_map(|node| node.ledger.as_ref());
        segments_taken_over += ledgers
            .map(|ledger| ledger.counts().segments_taken_over)
            .sum::<u64>();
    }
    println!("copied {copied}, uncopied {uncopied}, taken over {segments_taken_over}, lost {lost}");
    assert!(segments_taken_over > 0);
    assert!(copied > 50 * uncopied);
}

#[test]
fn one_hour_store_outage_loses_no_charges() {
    let mut simulation = ChargeSimulation::new(7, 8, |_| {});
    let hour = Duration::from_secs(3600);
    let outage_end = START + hour;
    simulation.outage = (START, outage_end);
    let mut created = 0;
    for second in 0..3_700 {
        for node in 0..8 {
            for _ in 0..5 {
                created += 1;
                let at = START + Duration::from_millis(second * 1_000 + created % 1_000);
                simulation.schedule(at, LedgerStep::Charge(node, ChargeToken(created.into())));
            }
        }
    }
    let end_at = outage_end + Duration::from_secs(300);
    simulation.run_until(end_at);
    let report = simulation.report(end_at);
    assert_eq!(report.answered, created);
    assert_eq!(report.charged, created);
    assert_eq!(report.lost, Vec::new());
    assert_eq!(simulation.uncopied.len(), 0);
    let outage_calls: u64 = calls_between(&simulation, START, outage_end);
    let max_per_second = simulation.calls.values().max().copied().unwrap_or(0);
    println!("store calls during the outage {outage_calls}, maximum per second {max_per_second}");
    assert!(
        max_per_second < 50,
        "{max_per_second} store calls in a second"
    );
    assert!(
        outage_calls < 8 * 3600 / 8,
        "{outage_calls} store calls while the store is down"
    );
}

fn calls_between(simulation: &ChargeSimulation, from: TimePoint, to: TimePoint) -> u64 {
    let range = from.0 / 1_000_000..to.0 / 1_000_000;
    simulation.calls.range(range).map(|(_, count)| count).sum()
}

#[test]
fn eight_daemons_at_full_load_make_fewer_than_50_store_calls_per_second() {
    let mut simulation = ChargeSimulation::new(8, 8, |_| {});
    let mut created = 0;
    for at_ms in 0..5_000 {
        for node in 0..8 {
            for _ in 0..4 {
                created += 1;
                let at = START + Duration::from_millis(at_ms);
                simulation.schedule(at, LedgerStep::Charge(node, ChargeToken(created)));
            }
        }
    }
    let end_at = START + Duration::from_secs(60);
    simulation.run_until(end_at);
    let max_per_second = simulation.calls.values().max().copied().unwrap_or(0);
    println!("32,000 charges a second: at most {max_per_second} store calls a second");
    assert!(
        max_per_second < 50,
        "{max_per_second} store calls in a second"
    );
    assert_eq!(u128::from(simulation.report(end_at).charged), created);
}

#[test]
fn charges_beyond_the_memory_limit_are_refused() {
    let mut simulation =
        ChargeSimulation::new(9, 3, |settings| settings.waiting_max_bytes = 50_000);
    simulation.outage = (START, START + Duration::from_secs(60));
    for at_ms in 0..5_000 {
        let at = START + Duration::from_millis(at_ms);
        simulation.schedule(at, LedgerStep::Charge(0, ChargeToken(at_ms.into())));
    }
    simulation.run_until(START + Duration::from_secs(30));
    let ledger = simulation.nodes[0].ledger.as_ref().expect("ledger");
    assert!(ledger.is_full());
    assert!(ledger.waiting_bytes() < 51_000);
    assert_eq!(simulation.refused + ledger.waiting_count(), 5_000);
    let end_at = START + Duration::from_secs(120);
    simulation.run_until(end_at);
    let report = simulation.report(end_at);
    assert_eq!(report.answered, 5_000 - simulation.refused);
    assert_eq!(report.charged, report.answered);
}
