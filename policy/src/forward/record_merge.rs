//! Merges the records of several replies and keeps the greatest.

use bytes::Bytes;

/// Size of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top` records of `parts` in descending order, compared byte by byte.
/// Duplicates are kept. Bytes after the last complete record of a part are ignored.
pub fn merge_records<'a>(parts: impl Iterator<Item = &'a Bytes>, top: usize) -> Bytes {
    let mut records: Vec<u128> = Vec::new();
    for part in parts {
        for record in part.chunks_exact(RECORD_BYTES) {
            let mut bytes = [0; RECORD_BYTES];
            bytes.copy_from_slice(record);
            // Big-endian numbers have the same order as their bytes.
            records.push(u128::from_be_bytes(bytes));
        }
    }
    let descending = |a: &u128, b: &u128| b.cmp(a);
    if records.len() > top {
        if top > 0 {
            records.select_nth_unstable_by(top - 1, descending);
        }
        records.truncate(top);
    }
    records.sort_unstable_by(descending);
    let mut merged = Vec::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        merged.extend_from_slice(&record.to_be_bytes());
    }
    merged.into()
}
