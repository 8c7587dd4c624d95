//! Digests of API keys. The keys themselves are not kept.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Length of a digest, in bytes. 128 bits leave no chance of a second key with the same digest.
const DIGEST_BYTES: usize = 16;

/// Digest of an API key.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of `key`, which may have any bytes.
    pub fn of(key: &[u8]) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&blake3::hash(key).as_bytes()[..DIGEST_BYTES]);
        Self(digest)
    }
}

impl fmt::Debug for KeyDigest {
    /// Shows no part of the digest: logs must not help to recognise a key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}
