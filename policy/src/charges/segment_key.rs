//! Keys of charges in the store.

use schema::{
    DaemonName,
    Incarnation,
    TimePoint,
    ZoneName, //
};

/// Seconds in a day.
pub const DAY_SECONDS: u64 = 24 * 60 * 60;

/// Returns the key of the segment with number `sequence` of one incarnation of a daemon.
pub fn segment_key(daemon: &str, incarnation: u64, sequence: u64) -> String {
    format!("charges/{daemon}/{incarnation}/{sequence}")
}

/// Returns the key of the roster of `zone` for the day of `now`, as a number of days since the Unix
/// epoch.
pub fn roster_key(zone: &ZoneName, now: TimePoint) -> String {
    format!("charges-roster/{}/{zone}", day_of(now))
}

pub(super) fn day_of(now: TimePoint) -> u64 {
    now.0 / (DAY_SECONDS * 1_000_000)
}

/// Name and incarnation of a daemon, which identify one run of its process.
pub(super) type DaemonInstance = (DaemonName, Incarnation);
