//! Tokens that make charges idempotent.

use std::fmt;

use schema::{
    GroupName,
    IdempotencyKey,
    RequestId,
    UserName, //
};

/// Hash of the parts of a request that stay the same when the caller retries it. Charges with
/// equal tokens are counted once.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChargeToken(pub u128);

impl ChargeToken {
    /// Computes the token of a request from its service group and end user, and from its
    /// idempotency key if it has one, otherwise from its request id.
    pub fn for_request(
        group: &GroupName,
        user: &UserName,
        request: &RequestId,
        key: Option<&IdempotencyKey>,
    ) -> Self {
        let (kind, text) = match key {
            Some(key) => (1, key.as_str()),
            None => (0, request.as_str()),
        };
        let mut hash = blake3::Hasher::new();
        for part in [group.as_str(), user.as_str()] {
            hash.update(part.as_bytes());
            hash.update(&[0]);
        }
        hash.update(&[kind]);
        hash.update(text.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.finalize().as_bytes()[..16]);
        Self(u128::from_be_bytes(bytes))
    }

    /// Joins the high and the low 64 bits of a token, as they are transmitted in a charge record.
    pub fn from_halves(high: u64, low: u64) -> Self {
        Self(u128::from(high) << 64 | u128::from(low))
    }

    /// Splits a token into its high and its low 64 bits.
    pub fn halves(self) -> (u64, u64) {
        ((self.0 >> 64) as u64, self.0 as u64)
    }
}

impl fmt::Display for ChargeToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
