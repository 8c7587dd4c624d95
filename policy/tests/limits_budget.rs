//! The token bucket of hedges and retries.

use policy::limits::{
    AttemptBudget,
    AttemptUrgency, //
};

fn spend_all(budget: &mut AttemptBudget, first_attempts: usize) -> usize {
    let mut spent = 0;
    for _ in 0..first_attempts {
        budget.earn();
        while budget.spend(AttemptUrgency::Urgent) {
            spent += 1;
        }
    }
    spent
}

#[test]
fn extra_attempts_stay_a_share_of_the_first_attempts() {
    for (pct, least, most) in [(0, 0, 0), (1, 99, 101), (5, 499, 501), (50, 4_999, 5_001)] {
        let spent = spend_all(&mut AttemptBudget::new(pct), 10_000);
        assert!((least..=most).contains(&spent), "{pct} %: {spent}");
    }
}

#[test]
fn tokens_beyond_the_capacity_are_lost() {
    let mut budget = AttemptBudget::new(5);
    for _ in 0..100_000 {
        budget.earn();
    }
    let mut burst = 0;
    while budget.spend(AttemptUrgency::Urgent) {
        burst += 1;
    }
    assert_eq!(burst, 10);
}

#[test]
fn nothing_is_earned_or_spent_while_the_system_is_slow() {
    let mut budget = AttemptBudget::new(5);
    for _ in 0..100 {
        budget.earn();
    }
    budget.set_slow(true);
    assert_eq!(spend_all(&mut budget, 1_000), 0);
    budget.set_slow(false);
    assert!(spend_all(&mut budget, 1) <= 6);
}

#[test]
fn ordinary_hedges_leave_half_to_urgent_ones() {
    let mut budget = AttemptBudget::new(5);
    for _ in 0..1_000 {
        budget.earn();
    }
    let mut ordinary = 0;
    while budget.spend(AttemptUrgency::Ordinary) {
        ordinary += 1;
    }
    let mut urgent = 0;
    while budget.spend(AttemptUrgency::Urgent) {
        urgent += 1;
    }
    assert_eq!((ordinary, urgent), (5, 5));
}
