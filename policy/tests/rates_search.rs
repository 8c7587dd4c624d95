//! A search for ways to exceed a rate that all daemons share, on a simulated network.
//!
//! It guards against requests beyond 0.95 of the bound of an account (0.8 of that of a cold replica) in any
//! window, whatever fails, and against refusals of accounts that keep to their rate.

#![allow(clippy::unwrap_used)]

mod rates_model;

use std::time::Duration;

use policy::rates::{
    RateKey,
    RateLimit, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use rates_model::{
    FaultKind,
    Micros,
    ModelAccount,
    ModelReport,
    ModelSettings,
    RateModel,
    SECOND, //
};

const ACCOUNT_TARGET: f64 = 0.95;
const COLD_TARGET: f64 = 0.8;

fn quota(per_second: f64, burst: f64) -> RateLimit {
    RateLimit {
        per_second,
        burst,
        window: Duration::from_secs(5),
        overage: 0.1,
        slack: 20.0,
    }
}

/// Accounts whose shares of the demand follow rank^-1.2, with rates of 1.6 times the usual demand.
fn skewed_accounts(count: usize, per_second: f64, daemons: usize) -> Vec<ModelAccount> {
    let weight = |rank: usize| ((rank + 1) as f64).powf(-1.2);
    let total: f64 = (0..count).map(weight).sum();
    let accounts = (0..count).map(|rank| {
        let demand = per_second * weight(rank) / total;
        let rate = 1.6 * demand;
        ModelAccount {
            key: RateKey::Account(rank as u64 + 1),
            limit: quota(rate, rate),
            demand,
            // The largest account has 30 connections.
            daemons: match rank {
                0 if daemons > 30 => (0..30).map(|index| index * daemons / 30).collect(),
                _ => Vec::new(),
            },
            hot: Vec::new(),
        }
    });
    accounts.collect()
}

fn calm(seed: u64, daemons: usize, accounts: Vec<ModelAccount>) -> ModelSettings {
    ModelSettings {
        seed,
        daemons,
        duration: 60 * SECOND,
        accounts,
        loss: 0.0,
        repeated: 0.0,
        late: 0.0,
        faults: Vec::new(),
        cuts_are_noticed: true,
        never_waits: false,
        measures_bytes: true,
    }
}

/// A run with random faults, load and network.
fn random_settings(seed: u64, daemons: usize) -> ModelSettings {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let load = [20.0, 120.0, 400.0][random.random_range(0..3)];
    let count = [3, 12, 40][random.random_range(0..3)];
    let mut accounts = skewed_accounts(count, load, daemons);
    let duration = random.random_range(25..100) * SECOND;
    for account in &mut accounts {
        if random.random_bool(0.5) {
            account.limit.burst *= random.random_range(0.0..3.0);
        }
        for _ in 0..random.random_range(0..5) {
            let from = random.random_range(0..duration);
            let until = from + random.random_range(1..20) * SECOND;
            let factor = random.random_range(2.0..30.0);
            account.hot.push((from, until, factor));
        }
    }
    let mut faults = Vec::new();
    for _ in 0..random.random_range(0..8) {
        let at: Micros = random.random_range(0..duration);
        let period = random.random_range(100_000..12 * SECOND);
        let long = random.random_range(SECOND..80 * SECOND);
        let one = random.random_range(0..daemons);
        let fault = match random.random_range(0..10) {
            0 => FaultKind::CutOne(one, long),
            1 => FaultKind::CutZone(one, long),
            2 => FaultKind::CutHalf(long),
            3 => FaultKind::Freeze(one, period),
            4 => FaultKind::Suspend(one, period),
            5 => FaultKind::Restart(one, period / 4),
            6 => FaultKind::Stop(one),
            7 => FaultKind::RestartAll(period / 4),
            8 => FaultKind::StoreDown(long),
            _ => {
                let factor = [0.05, 0.3, 2.0, 5.0][random.random_range(0..4)];
                FaultKind::ChangeRate(random.random_range(0..count), factor)
            }
        };
        faults.push((at, fault));
    }
    ModelSettings {
        seed,
        daemons,
        duration,
        accounts,
        loss: [0.0, 0.02, 0.2][random.random_range(0..3)],
        repeated: [0.0, 0.1][random.random_range(0..2)],
        late: [0.0, 0.02][random.random_range(0..2)],
        faults,
        cuts_are_noticed: random.random(),
        never_waits: false,
        measures_bytes: false,
    }
}

/// The same for the rates of cold replicas.
fn cold_settings(seed: u64, daemons: usize) -> ModelSettings {
    let mut settings = random_settings(seed, daemons);
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ 0xc01d);
    settings.never_waits = true;
    settings.accounts.truncate(3);
    for (index, account) in settings.accounts.iter_mut().enumerate() {
        let per_second = [4.0, 15.0, 60.0][random.random_range(0..3)];
        account.key = RateKey::ColdReplica(index as u64 + 1);
        account.limit = RateLimit {
            per_second,
            burst: 0.0,
            window: Duration::from_secs(1),
            overage: 0.5,
            slack: 5.0,
        };
        account.demand = per_second * random.random_range(0.5..8.0);
    }
    settings
        .faults
        .retain(|(_, fault)| !matches!(fault, FaultKind::ChangeRate(account, _) if *account >= 3));
    settings
}

fn check(settings: ModelSettings, target: f64) -> ModelReport {
    let text = format!(
        "seed {} daemons {} faults {:?}",
        settings.seed, settings.daemons, settings.faults
    );
    let report = RateModel::new(settings).run();
    let (peak, account) = report.peak();
    assert!(
        peak <= target,
        "account {account} reached {peak:.3} of its bound: {text}"
    );
    report
}

fn seeds(variable: &str, count: u64) -> std::ops::Range<u64> {
    let text = std::env::var(variable).unwrap_or_default();
    let mut parts = text.split("..").map(|part| part.parse().ok());
    match (parts.next().flatten(), parts.next().flatten()) {
        (Some(from), Some(until)) => from..until,
        _ => 0..count,
    }
}

/// Daemons of the run with a seed; `RATE_DAEMONS=77` has that many in all runs.
fn fleet_size(seed: u64) -> usize {
    let text = std::env::var("RATE_DAEMONS").ok();
    let given = text.and_then(|text| text.parse().ok());
    given.unwrap_or([1, 3, 8, 16][seed as usize % 4])
}

/// Guards against any set of faults that lets an account exceed its bound.
/// `RATE_SEEDS=100..900` searches other seeds.
#[test]
fn no_faults_let_an_account_exceed_its_bound() {
    let mut greatest: f64 = 0.0;
    for seed in seeds("RATE_SEEDS", 8) {
        let daemons = fleet_size(seed);
        let report = check(random_settings(seed, daemons), ACCOUNT_TARGET);
        greatest = greatest.max(report.peak().0);
    }
    println!("greatest peak {greatest:.3} of the bound");
}

/// Guards against the same for cold replicas, whose window is short and whose target is lower.
#[test]
fn no_faults_let_a_cold_replica_exceed_its_bound() {
    let mut greatest: f64 = 0.0;
    for seed in seeds("RATE_SEEDS", 8) {
        let daemons = fleet_size(seed);
        let report = check(cold_settings(seed, daemons), COLD_TARGET);
        greatest = greatest.max(report.peak().0);
    }
    println!("greatest peak {greatest:.3} of the bound");
}

/// Guards against refusals and delays of accounts that keep to their rate, in a fleet without faults.
#[test]
fn accounts_within_their_rate_are_admitted() {
    let report = check(calm(1, 8, skewed_accounts(81, 120.0, 8)), ACCOUNT_TARGET);
    print_report("8 daemons", &report);
    assert!(report.refused() < 0.005, "{}", report.refused());
    assert!(report.delay_ms(0.99) <= 30.0);
}

fn print_report(name: &str, report: &ModelReport) {
    let [mean, most] = report.traffic();
    println!(
        "{name}: peak {:.3}, refused {:.3}%, delay p50 {:.1} p99 {:.1} ms, largest account p50 {:.1} ms, \
         messages/s {:.1} (most {:.1}), bytes/s {:.0} (most {:.0}), writes {}",
        report.peak().0,
        report.refused() * 100.0,
        report.delay_ms(0.5),
        report.delay_ms(0.99),
        report.first_delay_ms(),
        mean.0,
        most.0,
        mean.1,
        most.1,
        report.writes,
    );
}

/// The table of docs/design/rates.md.
#[test]
#[ignore = "prints figures; takes minutes"]
fn print_figures() {
    for daemons in [1, 8, 77, 300] {
        let accounts = skewed_accounts(81, 120.0, daemons);
        let authority = authority_of(daemons);
        let mut hot = accounts.clone();
        hot[1].hot.push((20 * SECOND, 26 * SECOND, 3.0));
        hot[3].hot.push((30 * SECOND, 36 * SECOND, 7.5));
        let cases = [
            ("calm", accounts.clone(), Vec::<(Micros, FaultKind)>::new()),
            ("hot accounts", hot, vec![]),
            (
                "authority ends",
                accounts.clone(),
                vec![(20 * SECOND, FaultKind::Stop(authority))],
            ),
            (
                "authority restarts",
                accounts.clone(),
                vec![(20 * SECOND, FaultKind::Restart(authority, SECOND))],
            ),
            (
                "authority frozen 4 s",
                accounts.clone(),
                vec![(20 * SECOND, FaultKind::Freeze(authority, 4 * SECOND))],
            ),
            (
                "zone cut 20 s",
                accounts.clone(),
                vec![(20 * SECOND, FaultKind::CutZone(authority, 20 * SECOND))],
            ),
            (
                "half cut 20 s",
                accounts.clone(),
                vec![(20 * SECOND, FaultKind::CutHalf(20 * SECOND))],
            ),
            (
                "all restart",
                accounts.clone(),
                vec![(20 * SECOND, FaultKind::RestartAll(SECOND))],
            ),
        ];
        for (name, accounts, faults) in cases {
            let mut settings = calm(7, daemons, accounts);
            settings.faults = faults;
            let report = check(settings, ACCOUNT_TARGET);
            print_report(&format!("{daemons} daemons, {name}"), &report);
        }
        let mut settings = calm(7, daemons, accounts);
        settings.loss = 0.02;
        settings.repeated = 0.02;
        let report = check(settings, ACCOUNT_TARGET);
        print_report(&format!("{daemons} daemons, 2% loss"), &report);
    }
}

/// The daemon that is the authority after a calm start.
fn authority_of(daemons: usize) -> usize {
    let mut settings = calm(3, daemons, skewed_accounts(3, 10.0, daemons));
    settings.duration = 12 * SECOND;
    RateModel::new(settings).run().busiest()
}
