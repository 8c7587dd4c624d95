//! Digests of bundles.

use std::{
    fmt,
    str::FromStr, //
};

use crate::SchemaError;

/// BLAKE3 hash of a bundle's canonical bytes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BundleDigest(pub [u8; 32]);

impl BundleDigest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The first eight bytes as a big-endian number, which datagrams carry to save space.
    pub fn prefix(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Display for BundleDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for BundleDigest {
    type Err = SchemaError;

    fn from_str(text: &str) -> Result<Self, SchemaError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| SchemaError::BadHex {
            kind: "digest",
            bytes: 32,
        })?;
        Ok(Self(bytes))
    }
}
