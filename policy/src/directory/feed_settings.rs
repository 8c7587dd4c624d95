//! Settings of the directory's copy.

use std::time::Duration;

/// Time that a read of the store takes at most while the store answers: a new connection, the wait of the
/// watch and the answer.
const STORE_READ_MAX: Duration = Duration::from_millis(750);
/// Divisor of the bound whose result is kept for that read, if it is longer: a directory that may be older
/// belongs to a larger fleet with slower links.
const STORE_READ_DIVISOR: u32 = 4;

/// Bounds that the copy of the directory has to keep.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedSettings {
    /// Age of the copy that a daemon must never exceed while the store answers: a drain or a route table
    /// takes effect this long after the store has acknowledged it.
    pub age_max: Duration,
    /// Time after a fault in which the age is not bounded.
    pub settle_period: Duration,
}

impl Default for FeedSettings {
    fn default() -> Self {
        Self {
            age_max: Duration::from_secs(3),
            settle_period: Duration::from_secs(4),
        }
    }
}

impl FeedSettings {
    /// Age of the copy at which a read of the store must have been started.
    pub(super) fn read_by(&self) -> Duration {
        self.age_max.saturating_sub(self.reserve())
    }

    /// Pause between two reads of the store, which is at most `longest`. The copy is older than that by the
    /// read before the pause and the one after it.
    pub(super) fn read_interval(&self, longest: Duration) -> Duration {
        longest.min(self.age_max.saturating_sub(2 * self.reserve()))
    }

    fn reserve(&self) -> Duration {
        STORE_READ_MAX.max(self.age_max / STORE_READ_DIVISOR)
    }
}
