//! Limits of replicas, as daemons share them with each other.

use std::time::Duration;

use crate::{
    peer::{
        LimitEntryNote,
        LimitNote, //
    },
    RequestRate,
    ShareAmount, //
};

/// What a daemon knows of the limit that a replica names, and how it is shared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitEntry {
    /// Identifies the replica and its start, see [`crate::ReplicaEntry::instance`].
    pub instance: u64,
    /// The limit; `None` if the replica names none any more.
    pub limit: Option<RequestRate>,
    /// Time since the replica's reply that said so.
    pub age: Duration,
    /// What the sender needs or grants.
    pub amount: ShareAmount,
}

/// Entries for one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitNotice {
    /// At most [`Self::ENTRIES_MAX`].
    pub entries: Vec<LimitEntry>,
}

impl LimitNotice {
    /// Largest number of entries that fit into a datagram.
    pub const ENTRIES_MAX: usize = 20;

    /// Converts a received message. Entries with numbers that are no limit or share are left out.
    pub fn from_note(note: &LimitNote) -> Self {
        let entries = note.entries.iter().take(Self::ENTRIES_MAX);
        Self {
            entries: entries.filter_map(LimitEntry::from_note).collect(),
        }
    }

    /// Converts the notice to a message.
    pub fn to_note(&self) -> LimitNote {
        LimitNote {
            entries: self.entries.iter().map(|entry| entry.to_note()).collect(),
        }
    }
}

impl LimitEntry {
    fn from_note(note: &LimitEntryNote) -> Option<Self> {
        let limit = match note.unlimited {
            true => None,
            false => Some(RequestRate::new(note.limit).ok()?),
        };
        let amount = match note.grants {
            true if (0.0..=1.0).contains(&note.amount) => ShareAmount::Granted(note.amount),
            true => return None,
            false => ShareAmount::Needed(RequestRate::new(note.amount).ok()?),
        };
        Some(Self {
            instance: note.instance,
            limit,
            age: Duration::from_millis(u64::from(note.age_ms)),
            amount,
        })
    }

    fn to_note(self) -> LimitEntryNote {
        let (grants, amount) = match self.amount {
            ShareAmount::Granted(share) => (true, share),
            ShareAmount::Needed(rate) => (false, rate.per_second()),
        };
        LimitEntryNote {
            instance: self.instance,
            unlimited: self.limit.is_none(),
            limit: self.limit.unwrap_or_default().per_second(),
            age_ms: u32::try_from(self.age.as_millis()).unwrap_or(u32::MAX),
            grants,
            amount,
        }
    }
}
