//! Points in time. Code that makes decisions takes the current time as an argument and reads no
//! clock.

use std::{
    fmt,
    ops::{
        Add,
        Sub, //
    },
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A point in time, in microseconds of Unix time. The system clock is read once, when the process
/// starts; later points are computed with the monotonic clock.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// The latest point in time; a timer set to it never fires.
    pub const NEVER: Self = Self(u64::MAX);

    /// Time elapsed from `earlier` to `self`; zero if `earlier` is the later point.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for TimePoint {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for TimePoint {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for TimePoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
