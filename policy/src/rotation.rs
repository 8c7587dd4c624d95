//! Rotation through the entries of a map, a few at a time.

use std::{
    collections::BTreeMap,
    ops::Bound, //
};

/// The entries of `map` in the order of their keys, from the one after `last` on and around to it.
pub(crate) fn entries_after<'a, K: Ord, V>(
    map: &'a BTreeMap<K, V>,
    last: Option<&K>,
) -> impl Iterator<Item = (&'a K, &'a V)> {
    let from = last.map_or(Bound::Unbounded, Bound::Excluded);
    let later = map.range((from, Bound::Unbounded));
    let earlier = last.map(|last| map.range(..=last));
    later.chain(earlier.into_iter().flatten())
}
