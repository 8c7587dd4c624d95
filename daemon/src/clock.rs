//! Wall clock of the process, which never goes backwards.

use std::time::{
    Duration,
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use rustix::time::{
    clock_gettime,
    ClockId,
    Timespec, //
};
use schema::TimePoint;

/// Shortest suspension that is noticed. It is more than `READING_MAX`.
const SUSPENSION_MIN: Duration = Duration::from_millis(20);
/// Longest time that a reading of both clocks may take. The process may lose the processor meanwhile.
const READING_MAX: Duration = Duration::from_millis(1);
/// Readings that are tried.
const READINGS_MAX: u32 = 3;

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

/// Notices when the machine was suspended: the monotonic clock stands still meanwhile, and the clock since the
/// boot does not.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspensionWatch {
    /// Time since the boot less that of the monotonic clock.
    difference: Duration,
}

impl SuspensionWatch {
    /// Reads the clocks.
    pub(crate) fn start() -> Self {
        Self {
            difference: clock_difference(),
        }
    }

    /// For how long the machine was suspended since the last call, if it was.
    pub(crate) fn check(&mut self) -> Option<Duration> {
        self.update(clock_difference())
    }

    /// The same, given the difference of the clocks.
    fn update(&mut self, difference: Duration) -> Option<Duration> {
        let period = difference.saturating_sub(self.difference);
        if period < SUSPENSION_MIN {
            return None;
        }
        self.difference = difference;
        Some(period)
    }
}

/// The difference of the clocks, or less if the reading takes long; never more, since that would hide a later
/// suspension.
fn clock_difference() -> Duration {
    let mut greatest = Duration::ZERO;
    for _ in 0..READINGS_MAX {
        let before = duration_of(clock_gettime(ClockId::Monotonic));
        let since_boot = duration_of(clock_gettime(ClockId::Boottime));
        let after = duration_of(clock_gettime(ClockId::Monotonic));
        greatest = greatest.max(since_boot.saturating_sub(after));
        if after.saturating_sub(before) < READING_MAX {
            break;
        }
    }
    greatest
}

fn duration_of(time: Timespec) -> Duration {
    Duration::try_from(time).unwrap_or(Duration::ZERO)
}
