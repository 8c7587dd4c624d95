//! Wall clock of the process, which never goes backwards.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use schema::TimePoint;

/// Reads Unix time once at the start and advances it by the monotonic clock, so that changes of the
/// system clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct DaemonClock {
    start_time: TimePoint,
    start_instant: Instant,
}

impl DaemonClock {
    /// Reads the system time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.unwrap_or(Duration::ZERO).as_micros();
        Self {
            start_time: TimePoint(u64::try_from(micros).unwrap_or(u64::MAX)),
            start_instant: Instant::now(),
        }
    }

    /// Returns the Unix time at which the clock was started.
    pub fn start_time(&self) -> TimePoint {
        self.start_time
    }

    /// Returns the current time.
    pub fn now(&self) -> TimePoint {
        self.start_time + self.start_instant.elapsed()
    }

    /// Converts `time` to an instant of the monotonic clock; a time before the start becomes the
    /// start.
    pub fn instant_at(&self, time: TimePoint) -> Instant {
        self.start_instant + time.since(self.start_time)
    }
}
