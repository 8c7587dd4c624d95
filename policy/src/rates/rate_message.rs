//! Messages with which daemons share rates.

use schema::{
    peer::{
        RateEntryNote,
        RateNote,
        RateStampNote, //
    },
    TimePoint, //
};

use super::RateKey;

/// A time that a daemon has named. A pledge to that daemon repeats it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateStamp {
    /// Run of the daemon's process.
    pub incarnation: u64,
    /// Its clock.
    pub time: TimePoint,
    /// Time after that for which a pledge holds, in milliseconds.
    pub period_ms: u32,
}

/// Tokens of one rate that are asked for, returned or granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateEntry {
    /// The rate.
    pub key: RateKey,
    /// Tokens for requests that wait.
    pub needed: u32,
    /// Tokens for later requests.
    pub spare: u32,
    /// Tokens that the sender has not used.
    pub returned: u32,
    /// In an answer, tokens that the receiver may use.
    pub granted: u32,
    /// In an answer, time until there is a token, in milliseconds; 0 if all that was needed is granted.
    pub wait_ms: u32,
}

/// A question to the authority, or its answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RateMessage {
    /// Number of the question, which its answer repeats.
    pub sequence: u64,
    /// Whether this is an answer.
    pub answers: bool,
    /// Run of the process that asks.
    pub incarnation: u64,
    /// In a question, the pledge, if there is one; in an answer, the time for the next one.
    pub stamp: Option<RateStamp>,
    /// Whether the pledge comes with the share of the credit that fills buckets after a change of the authority.
    pub credit: bool,
    /// At most [`Self::ENTRIES_MAX`].
    pub entries: Vec<RateEntry>,
}

impl RateMessage {
    /// Largest number of entries, of which each takes at most 30 bytes of a datagram.
    pub const ENTRIES_MAX: usize = 24;

    /// Converts a received message.
    pub fn from_note(note: &RateNote) -> Self {
        let entries = note.entries.iter().take(Self::ENTRIES_MAX);
        Self {
            sequence: note.sequence,
            answers: note.answers,
            incarnation: note.incarnation,
            stamp: note.stamp.as_ref().map(|stamp| RateStamp {
                incarnation: stamp.incarnation,
                time: TimePoint(stamp.time_us),
                period_ms: stamp.period_ms,
            }),
            credit: note.credit,
            entries: entries.map(RateEntry::from_note).collect(),
        }
    }

    /// Converts the message for sending.
    pub fn to_note(&self) -> RateNote {
        RateNote {
            sequence: self.sequence,
            answers: self.answers,
            incarnation: self.incarnation,
            stamp: self.stamp.map(|stamp| RateStampNote {
                incarnation: stamp.incarnation,
                time_us: stamp.time.0,
                period_ms: stamp.period_ms,
            }),
            entries: self
                .entries
                .iter()
                .copied()
                .map(RateEntry::to_note)
                .collect(),
            credit: self.credit,
        }
    }
}

impl RateEntry {
    /// An entry without tokens.
    pub(super) fn new(key: RateKey) -> Self {
        Self {
            key,
            needed: 0,
            spare: 0,
            returned: 0,
            granted: 0,
            wait_ms: 0,
        }
    }

    fn from_note(note: &RateEntryNote) -> Self {
        Self {
            key: match note.cold {
                true => RateKey::ColdReplica(note.id),
                false => RateKey::Account(note.id),
            },
            needed: note.needed,
            spare: note.spare,
            returned: note.returned,
            granted: note.granted,
            wait_ms: note.wait_ms,
        }
    }

    fn to_note(self) -> RateEntryNote {
        let (cold, id) = match self.key {
            RateKey::Account(id) => (false, id),
            RateKey::ColdReplica(id) => (true, id),
        };
        RateEntryNote {
            cold,
            id,
            needed: self.needed,
            spare: self.spare,
            returned: self.returned,
            granted: self.granted,
            wait_ms: self.wait_ms,
        }
    }
}
