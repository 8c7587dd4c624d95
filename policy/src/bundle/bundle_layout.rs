//! Layout of a bundle in the platform's store.
//!
//! The head key holds an encoded `BundleHead` and is written by compare-and-swap only. The body is
//! stored in parts whose keys are their digests. The parts are created before the head that lists
//! them, and writing one again is idempotent.

use schema::{
    bundle::PartEntry,
    BundleDigest, //
};

use super::BundleError;

/// Store key of the encoded head.
pub const HEAD_KEY: &str = "bundle/head";
/// Prefix of the store keys of parts, before the digest in hex.
pub const PART_PREFIX: &str = "bundle/part/";
/// Maximum size of a part, in bytes.
pub const PART_MAX_BYTES: usize = 512 * 1024;
/// Maximum size of a body, in bytes.
pub const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Returns the store key of the part with `digest`, in hex.
pub fn part_key(digest: &str) -> String {
    format!("{PART_PREFIX}{digest}")
}

/// Splits a body into parts of at most [`PART_MAX_BYTES`], each with its entry for the head.
pub fn split_parts(body: &[u8]) -> Vec<(PartEntry, &[u8])> {
    let mut parts = Vec::new();
    for bytes in body.chunks(PART_MAX_BYTES) {
        let entry = PartEntry {
            zone: String::new(),
            digest: BundleDigest::of(bytes).to_string(),
            size: bytes.len() as u32,
        };
        parts.push((entry, bytes));
    }
    parts
}

/// Joins the parts of a body and checks them against the entries in the head, in the same order.
///
/// # Errors
///
/// [`BundleError::PartMismatch`] for a part that is missing or does not match its entry, and
/// [`BundleError::TooLarge`].
pub fn join_parts(entries: &[PartEntry], parts: &[Vec<u8>]) -> Result<Vec<u8>, BundleError> {
    let mut body = Vec::new();
    for (index, entry) in entries.iter().enumerate() {
        let mismatch = BundleError::PartMismatch { index };
        let bytes = parts.get(index).ok_or_else(|| mismatch.clone())?;
        let has_listed_size = bytes.len() == entry.size as usize;
        if !has_listed_size || BundleDigest::of(bytes).to_string() != entry.digest {
            return Err(mismatch);
        }
        if body.len() + bytes.len() > BODY_MAX_BYTES {
            return Err(BundleError::TooLarge {
                bytes: body.len() + bytes.len(),
                max: BODY_MAX_BYTES,
            });
        }
        body.extend_from_slice(bytes);
    }
    Ok(body)
}
