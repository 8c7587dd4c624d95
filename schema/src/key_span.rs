//! Ranges of the key space.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::SchemaError;

/// Number of keys in the key space. All spans lie within `0..KEY_SPACE`.
pub const KEY_SPACE: u32 = 1 << 16;

/// A range of keys, from `start` up to but not including `end`; never empty.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct KeySpan {
    start: u32,
    end: u32,
}

impl KeySpan {
    /// The whole key space.
    pub const ALL: Self = Self {
        start: 0,
        end: KEY_SPACE,
    };

    /// Creates the span `start..end`.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadSpan`] if the span is empty or ends outside the key space.
    pub fn new(start: u32, end: u32) -> Result<Self, SchemaError> {
        if start >= end || end > KEY_SPACE {
            return Err(SchemaError::BadSpan { start, end });
        }
        Ok(Self { start, end })
    }

    /// First key of the span.
    pub fn start(self) -> u32 {
        self.start
    }

    /// Key after the last key of the span.
    pub fn end(self) -> u32 {
        self.end
    }

    /// Number of keys in the span.
    pub fn size(self) -> u32 {
        self.end - self.start
    }

    /// Whether `key` lies in the span.
    pub fn contains(self, key: u32) -> bool {
        self.start <= key && key < self.end
    }

    /// Whether the two spans have a key in common.
    pub fn overlaps(self, other: Self) -> bool {
        self.start < other.end && other.start < self.end
    }

    /// The keys common to both spans; `None` if there are none.
    pub fn intersect(self, other: Self) -> Option<Self> {
        Self::new(self.start.max(other.start), self.end.min(other.end)).ok()
    }
}

impl fmt::Display for KeySpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.start, self.end)
    }
}
