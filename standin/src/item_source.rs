//! The search results that the upstreams return.

use schema::{
    upstream::HitEntry,
    KeySpan,
    SnapshotId, //
};

/// Distance between neighbouring results, in keys.
const ITEM_SPACING: u32 = 1024;

/// The results of `query` in `span` of `snapshot`. They depend on nothing but the arguments, and
/// the results of two adjacent spans are together the results of their union.
pub fn items_for(span: KeySpan, snapshot: SnapshotId, query: &str) -> Vec<HitEntry> {
    let offset = query.bytes().fold(0u32, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    }) % ITEM_SPACING;
    let first = span.start().saturating_sub(offset).div_ceil(ITEM_SPACING) * ITEM_SPACING + offset;
    (first..span.end())
        .step_by(ITEM_SPACING as usize)
        .filter(|key| span.contains(*key))
        .map(|key| HitEntry {
            key,
            id: format!("item-{key}"),
            body: format!("{query} at {key} of snapshot {snapshot}"),
        })
        .collect()
}
