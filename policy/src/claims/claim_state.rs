//! The state of one claim, from its first store call to its last.

use prost::Message;
use schema::{
    platform::{
        ClaimEntry,
        RecordedAnswer, //
    },
    QueryId,
    TimePoint, //
};

use super::ClaimLocation;

// Values of `ClaimEntry::state`.
const TAKEN: u32 = 0;
const RELEASED: u32 = 1;
const RECORDED: u32 = 2;

/// The value that the claim manager is to write to the key.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ClaimGoal {
    /// The claim, held.
    Take,
    /// The claim, released.
    Release,
    /// The outcome of the request.
    Record(Box<RecordedAnswer>),
}

/// The state of one claim.
#[derive(Clone, Debug)]
pub(super) struct ClaimState {
    pub(super) query: QueryId,
    pub(super) location: ClaimLocation,
    /// Earliest end of the lease; `None` for a key without a time.
    pub(super) lease_end: Option<TimePoint>,
    /// Lease of the last write.
    pub(super) lease: u64,
    pub(super) goal: ClaimGoal,
    /// Revision of this claim in the store, if known.
    pub(super) revision: Option<u64>,
    /// Revision that the next write must replace; 0 if the key did not exist.
    pub(super) expected_revision: u64,
    /// Whether a write had no reply and may still take effect.
    pub(super) write_unsure: bool,
    /// Number of store calls so far.
    pub(super) store_calls: u32,
    /// The call that has not been answered yet.
    pub(super) call: Option<u64>,
    /// Whether that call is a write.
    pub(super) is_write: bool,
    /// When to call the store again, while no call is open.
    pub(super) retry_at: Option<TimePoint>,
}

/// What a key in the store holds, as seen by one claim.
#[derive(Clone, Debug)]
pub(super) enum StoredClaim {
    /// This claim, held.
    Own,
    /// This claim, released or with its outcome.
    OwnFinished,
    /// Another claim, released.
    Released,
    /// Another claim with its outcome.
    Recorded(Box<RecordedAnswer>),
    /// Another claim that is held, or a value that can't be read.
    Taken,
}

/// The holder of a claim: a daemon, one start of it, and a number within that start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct ClaimHolder {
    pub(super) daemon: String,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
}

impl ClaimState {
    pub(super) fn new(
        query: QueryId,
        location: ClaimLocation,
        lease_end: Option<TimePoint>,
    ) -> Self {
        Self {
            query,
            location,
            lease_end,
            lease: 0,
            goal: ClaimGoal::Take,
            revision: None,
            expected_revision: 0,
            write_unsure: false,
            store_calls: 0,
            call: None,
            is_write: false,
            retry_at: None,
        }
    }

    /// The value to write to the key.
    pub(super) fn value(&self, holder: &ClaimHolder) -> Vec<u8> {
        let (state, answer) = match &self.goal {
            ClaimGoal::Take => (TAKEN, None),
            ClaimGoal::Release => (RELEASED, None),
            ClaimGoal::Record(answer) => (RECORDED, Some((**answer).clone())),
        };
        let entry = ClaimEntry {
            daemon: holder.daemon.clone(),
            incarnation: holder.incarnation,
            sequence: holder.sequence,
            state,
            answer,
        };
        entry.encode_to_vec()
    }
}

/// Decodes the value of a key.
pub(super) fn decode_value(holder: &ClaimHolder, value: &[u8]) -> StoredClaim {
    let Ok(entry) = ClaimEntry::decode(value) else {
        return StoredClaim::Taken;
    };
    let stored_holder = ClaimHolder {
        daemon: entry.daemon,
        incarnation: entry.incarnation,
        sequence: entry.sequence,
    };
    let is_own = stored_holder == *holder;
    match (entry.state, entry.answer) {
        (TAKEN, _) if is_own => StoredClaim::Own,
        (RELEASED | RECORDED, _) if is_own => StoredClaim::OwnFinished,
        (RELEASED, _) => StoredClaim::Released,
        (RECORDED, Some(answer)) => StoredClaim::Recorded(Box::new(answer)),
        _ => StoredClaim::Taken,
    }
}
