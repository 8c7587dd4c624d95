//! Compares `SpanSet` with a `BTreeSet` of single keys as the reference.

#![allow(clippy::expect_used)]

use std::collections::BTreeSet;

use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};
use schema::{
    KeySpan,
    SchemaError,
    SpanSet,
    KEY_SPACE, //
};

/// The random operations use only the keys below this bound, so that the reference stays small.
const KEY_BOUND: u32 = 40;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn operations() -> impl Strategy<Value = Vec<(bool, u32, u32)>> {
    let operation = (any::<bool>(), 0..KEY_BOUND, 1..KEY_BOUND).prop_map(|(add, start, size)| {
        let end = (start + size).min(KEY_BOUND);
        (add, start, end)
    });
    prop::collection::vec(operation, 1..20)
}

fn apply(operations: &[(bool, u32, u32)]) -> (SpanSet, BTreeSet<u32>) {
    let mut set = SpanSet::default();
    let mut reference = BTreeSet::new();
    for &(add, start, end) in operations {
        let span = KeySpan::new(start, end).expect("span within the key space");
        if add {
            set.insert(span);
            reference.extend(start..end);
        } else {
            set.remove(span);
            reference.retain(|key| !span.contains(*key));
        }
    }
    (set, reference)
}

fn keys(set: &SpanSet) -> BTreeSet<u32> {
    set.spans()
        .iter()
        .flat_map(|span| span.start()..span.end())
        .collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn insert_and_remove_match_the_reference(operations in operations()) {
        let (set, reference) = apply(&operations);
        prop_assert_eq!(keys(&set), reference.clone());
        prop_assert_eq!(set.size() as usize, reference.len());
        for pair in set.spans().windows(2) {
            prop_assert!(pair[0].end() < pair[1].start(), "adjoining spans were not merged: {}", set);
        }
    }

    #[test]
    fn set_operations_match_the_reference(left in operations(), right in operations()) {
        let (left, left_keys) = apply(&left);
        let (right, right_keys) = apply(&right);
        let common = left.intersection(&right);
        prop_assert_eq!(keys(&common), &left_keys & &right_keys);
        let mut joined = left.clone();
        joined.union(&right);
        prop_assert_eq!(keys(&joined), &left_keys | &right_keys);
        let mut difference = left.clone();
        difference.subtract(&right);
        prop_assert_eq!(keys(&difference), &left_keys - &right_keys);
        prop_assert_eq!(left.complement().size() + left.size(), KEY_SPACE);
    }

    #[test]
    fn pairs_convert_back_to_the_same_set(operations in operations()) {
        let (set, _) = apply(&operations);
        prop_assert_eq!(SpanSet::from_pairs(&set.to_pairs()), Ok(set));
    }
}

#[test]
fn invalid_pairs_are_rejected() {
    let bad = |start, end| Err(SchemaError::BadSpan { start, end });
    assert_eq!(SpanSet::from_pairs(&[1]), bad(1, 1));
    assert_eq!(SpanSet::from_pairs(&[5, 5]), bad(5, 5));
    assert_eq!(SpanSet::from_pairs(&[6, 5]), bad(6, 5));
    assert_eq!(
        SpanSet::from_pairs(&[0, KEY_SPACE + 1]),
        bad(0, KEY_SPACE + 1)
    );
}

#[test]
fn share_is_in_parts_per_million() {
    assert_eq!(SpanSet::all().share().0, 1_000_000);
    let half = KeySpan::new(0, KEY_SPACE / 2).expect("half");
    assert_eq!(SpanSet::from(half).share().0, 500_000);
}
