//! Segments of charges that are not written to the store yet.

use prost::Message;
use schema::{
    peer::ChargeSegment,
    TimePoint, //
};

use super::{
    ledger_entry::LedgerEntry,
    segment_key::DaemonInstance, //
};

/// A segment that is not written to the store yet. Once sealed, it no longer changes.
#[derive(Clone, Debug)]
pub(super) struct WaitingSegment {
    pub(super) sequence: u64,
    pub(super) entries: Vec<LedgerEntry>,
    /// Memory use of the entries, in bytes.
    pub(super) memory_bytes: usize,
    /// Upper bound of the encoded size, in bytes.
    pub(super) encoded_bytes: usize,
    pub(super) opened_at: TimePoint,
    pub(super) sealed_at: Option<TimePoint>,
    /// Charges that the ledger had created when the last entry was added.
    pub(super) answered: u64,
    /// Whether this is the last segment of the daemon instance.
    pub(super) closing: bool,
}

impl WaitingSegment {
    pub(super) fn new(now: TimePoint, sequence: u64, answered: u64) -> Self {
        Self {
            sequence,
            entries: Vec::new(),
            memory_bytes: 0,
            encoded_bytes: 0,
            opened_at: now,
            sealed_at: None,
            answered,
            closing: false,
        }
    }

    pub(super) fn push(&mut self, entry: LedgerEntry) {
        self.memory_bytes += entry.memory_bytes();
        self.encoded_bytes += entry.encoded_bytes();
        self.entries.push(entry);
    }

    /// Converts the entries in `offset..end` to the protobuf message.
    pub(super) fn to_message(
        &self,
        owner: &DaemonInstance,
        offset: usize,
        end: usize,
    ) -> ChargeSegment {
        let entries = self.entries.get(offset..end).unwrap_or_default();
        ChargeSegment {
            daemon: owner.0.to_string(),
            incarnation: owner.1 .0,
            sequence: self.sequence,
            sealed_us: self.sealed_at.unwrap_or(self.opened_at).0,
            records: entries.iter().map(LedgerEntry::to_record).collect(),
            answered: self.answered,
            closing: self.closing,
        }
    }

    pub(super) fn encode(&self, owner: &DaemonInstance) -> Vec<u8> {
        self.to_message(owner, 0, self.entries.len())
            .encode_to_vec()
    }
}
