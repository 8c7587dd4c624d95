//! A charge that is not written to the store yet.

use schema::{
    peer::ChargeRecord,
    ChargeUnits,
    Incarnation,
    UserName, //
};

use super::{
    segment_key::DaemonInstance,
    ChargeToken, //
};

/// Longest user name that is stored inline, without a heap allocation.
const INLINE_NAME_BYTES: usize = 24;

/// A charge that is not written to the store yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct LedgerEntry {
    pub(super) token: ChargeToken,
    pub(super) user: UserName,
    pub(super) units: ChargeUnits,
    /// Daemon instance that created the charge, if it is not this one.
    pub(super) origin: Option<Box<DaemonInstance>>,
}

impl LedgerEntry {
    /// Memory use including the heap, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let name_bytes = self.user.as_str().len();
        let mut heap_bytes = if name_bytes > INLINE_NAME_BYTES {
            name_bytes
        } else {
            0
        };
        if self.origin.is_some() {
            heap_bytes += size_of::<DaemonInstance>();
        }
        size_of::<Self>() + heap_bytes
    }

    /// Upper bound of the size as a protobuf record, in bytes.
    pub(super) fn encoded_bytes(&self) -> usize {
        let user_bytes = self.user.as_str().len();
        // Tag and length of the origin take 2 bytes, tag and varint of its incarnation up to 11.
        let origin_bytes = self
            .origin
            .as_ref()
            .map_or(0, |origin| origin.0.as_str().len() + 13);
        // The two token fields take 9 bytes each, tag and length of the user up to 3, tag and
        // varint of the units up to 11, and tag and length of the record itself up to 3.
        18 + 3 + user_bytes + 11 + 3 + origin_bytes
    }

    pub(super) fn to_record(&self) -> ChargeRecord {
        let (token_high, token_low) = self.token.halves();
        ChargeRecord {
            token_high,
            token_low,
            user: self.user.to_string(),
            units: self.units.0,
            origin: self
                .origin
                .as_ref()
                .map_or_else(String::new, |origin| origin.0.to_string()),
            origin_incarnation: self.origin.as_ref().map_or(0, |origin| origin.1 .0),
        }
    }

    /// Converts a record from a segment of `owner`; `None` if a name in it is invalid. A record
    /// without an origin was created by `owner`.
    pub(super) fn from_record(owner: &DaemonInstance, record: &ChargeRecord) -> Option<Self> {
        let origin = if record.origin.is_empty() {
            owner.clone()
        } else {
            (
                record.origin.parse().ok()?,
                Incarnation(record.origin_incarnation),
            )
        };
        Some(Self {
            origin: Some(Box::new(origin)),
            token: ChargeToken::from_halves(record.token_high, record.token_low),
            user: record.user.parse().ok()?,
            units: ChargeUnits(record.units),
        })
    }
}
