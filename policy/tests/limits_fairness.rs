//! Overload in virtual time: useful work, refusals in time, and shares of end users.

mod limits_bench;

use std::time::Duration;

use limits_bench::{
    run,
    OfferedLoad, //
};

/// Requests a second that the slots can serve.
const CAPACITY: f64 = 600.0;
const EQUAL: [f64; 10] = [1.0; 10];
const GREEDY: [f64; 10] = [10.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];

fn load(factor: f64, weights: &[f64]) -> OfferedLoad {
    let sum: f64 = weights.iter().sum();
    let scale = CAPACITY * factor / sum;
    OfferedLoad {
        daemons: 8,
        slots: 6,
        service: Duration::from_millis(10),
        deadline: Duration::from_millis(370),
        rates: weights.iter().map(|weight| weight * scale).collect(),
        length: Duration::from_secs(40),
        slow: 0..0,
        seed: 11,
    }
}

#[test]
fn useful_work_and_shares_hold_under_overload() {
    let peak = run(&load(1.0, &EQUAL)).useful;
    for (factor, weights) in [
        (1.2, EQUAL),
        (1.2, GREEDY),
        (2.0, EQUAL),
        (2.0, GREEDY),
        (4.0, GREEDY),
    ] {
        let load = load(factor, &weights);
        let outcome = run(&load);
        println!("{factor} {}: {outcome:?}", weights[0]);
        assert!(outcome.useful >= 0.9 * peak, "{factor}: {outcome:?}");
        assert!(
            outcome.late * 100 < outcome.refused,
            "{factor}: {outcome:?}"
        );
        let known = if factor < 2.0 { 0.6 } else { 0.95 };
        assert!(outcome.overloaded > known, "{factor}: {outcome:?}");
        let share = outcome.useful / 10.0;
        for (user, served) in outcome.by_user.iter().enumerate() {
            let least = load.rates[user].min(share) / 2.0;
            assert!(*served >= least, "{factor}, user {user}: {outcome:?}");
        }
    }
}

#[test]
fn little_load_is_not_refused() {
    for factor in [0.3, 0.5, 0.8] {
        let outcome = run(&load(factor, &GREEDY));
        let share = outcome.refused as f64 / (CAPACITY * factor * 40.0);
        assert!(share < 0.005, "{factor}: {outcome:?}");
        assert!(outcome.overloaded < 0.01, "{factor}: {outcome:?}");
        assert!(
            outcome.useful > 0.95 * CAPACITY * factor,
            "{factor}: {outcome:?}"
        );
    }
}

/// With slots for all, requests that take ten times as long are no sign of load.
#[test]
fn slow_replicas_do_not_strangle_the_group() {
    let load = OfferedLoad {
        slots: 1_000,
        deadline: Duration::from_secs(2),
        slow: 10..30,
        length: Duration::from_secs(30),
        ..load(1.0, &EQUAL)
    };
    let outcome = run(&load);
    println!("slow: {outcome:?}");
    assert!(outcome.second_half > 0.9 * CAPACITY, "{outcome:?}");
}
