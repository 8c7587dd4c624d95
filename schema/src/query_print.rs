//! Fingerprints that recognise a repeated query.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::Xxh3;

use crate::GroupName;

/// Hash of a service group and a request body. A query that is sent again has the same fingerprint,
/// whatever its request id.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct QueryPrint(pub u128);

impl QueryPrint {
    /// Computes the fingerprint of the request body `body` sent to `group`.
    pub fn of(group: &GroupName, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(group.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(body);
        Self(hasher.digest128())
    }

    /// Joins the two 64-bit halves in which messages carry the fingerprint.
    pub fn from_halves(high: u64, low: u64) -> Self {
        Self(u128::from(high) << 64 | u128::from(low))
    }

    /// The high and the low 64 bits.
    pub fn halves(self) -> (u64, u64) {
        ((self.0 >> 64) as u64, self.0 as u64)
    }
}

impl fmt::Display for QueryPrint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
