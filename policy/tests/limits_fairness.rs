//! Admission control under overload in virtual time: useful throughput, early refusals, and fair
//! shares of end users.

mod limits_simulation;

use std::time::Duration;

use limits_simulation::{
    run,
    OfferedLoad, //
};

/// Requests per second that the slots can serve.
const CAPACITY: f64 = 600.0;
const EQUAL_WEIGHTS: [f64; 10] = [1.0; 10];
const GREEDY_WEIGHTS: [f64; 10] = [10.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];

fn load(factor: f64, weights: &[f64]) -> OfferedLoad {
    let sum: f64 = weights.iter().sum();
    let scale = CAPACITY * factor / sum;
    OfferedLoad {
        daemons: 8,
        slots: 6,
        service_time: Duration::from_millis(10),
        deadline: Duration::from_millis(370),
        rates: weights.iter().map(|weight| weight * scale).collect(),
        duration: Duration::from_secs(40),
        slow_seconds: 0..0,
        seed: 11,
    }
}

#[test]
fn throughput_and_fair_shares_hold_under_overload() {
    let peak = run(&load(1.0, &EQUAL_WEIGHTS)).useful_rate;
    for (factor, weights) in [
        (1.2, EQUAL_WEIGHTS),
        (1.2, GREEDY_WEIGHTS),
        (2.0, EQUAL_WEIGHTS),
        (2.0, GREEDY_WEIGHTS),
        (4.0, GREEDY_WEIGHTS),
    ] {
        let load = load(factor, &weights);
        let outcome = run(&load);
        println!("{factor} {}: {outcome:?}", weights[0]);
        assert!(outcome.useful_rate >= 0.9 * peak, "{factor}: {outcome:?}");
        assert!(
            outcome.late_count * 100 < outcome.refused_count,
            "{factor}: {outcome:?}"
        );
        let overloaded_min = if factor < 2.0 { 0.6 } else { 0.95 };
        assert!(
            outcome.overloaded_share > overloaded_min,
            "{factor}: {outcome:?}"
        );
        let share = outcome.useful_rate / 10.0;
        for (user, served) in outcome.user_rates.iter().enumerate() {
            let least = load.rates[user].min(share) / 2.0;
            assert!(*served >= least, "{factor}, user {user}: {outcome:?}");
        }
    }
}

#[test]
fn load_below_capacity_is_not_refused() {
    for factor in [0.3, 0.5, 0.8] {
        let outcome = run(&load(factor, &GREEDY_WEIGHTS));
        let share = outcome.refused_count as f64 / (CAPACITY * factor * 40.0);
        assert!(share < 0.005, "{factor}: {outcome:?}");
        assert!(outcome.overloaded_share < 0.01, "{factor}: {outcome:?}");
        assert!(
            outcome.useful_rate > 0.95 * CAPACITY * factor,
            "{factor}: {outcome:?}"
        );
    }
}

/// With a slot for each request, latencies that rise tenfold are not caused by load: the limit must
/// not stay reduced.
#[test]
fn slow_replicas_do_not_reduce_the_limit_for_good() {
    let load = OfferedLoad {
        slots: 1_000,
        deadline: Duration::from_secs(2),
        slow_seconds: 10..30,
        duration: Duration::from_secs(30),
        ..load(1.0, &EQUAL_WEIGHTS)
    };
    let outcome = run(&load);
    println!("slow replicas: {outcome:?}");
    assert!(outcome.second_half_rate > 0.9 * CAPACITY, "{outcome:?}");
}
