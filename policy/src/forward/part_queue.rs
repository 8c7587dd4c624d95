//! Parts of requests that wait for a replica of one service.
//!
//! While the line is short, the part that waits longest goes first. Once it is so long that its head
//! has used up much of its time, the newest goes first: serving in turn would then make every request
//! late, serving the newest keeps most of them in time. Parts of requests that are late already come
//! last.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use schema::{
    QueryId,
    TimePoint, //
};

/// Part of the time from arrival to goal after which the line is too long to be served in turn.
const TURN_SHARE: f64 = 0.25;
/// Time over which the rate of replies is averaged.
const RATE_PERIOD: Duration = Duration::from_millis(500);

/// A part that waits.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitingPart {
    /// Arrival of its request.
    pub arrived: TimePoint,
    /// When its request is late.
    pub goal_at: TimePoint,
    /// Its request.
    pub query: QueryId,
    /// Its index.
    pub part: usize,
}

/// Parts that wait for a service, with the rate at which they are served.
#[derive(Clone, Debug, Default)]
pub struct WaitLine {
    parts: BTreeSet<WaitingPart>,
    rate: f64,
    counted: TimePoint,
}

impl WaitLine {
    /// Adds a part.
    pub fn join(&mut self, part: WaitingPart) {
        self.parts.insert(part);
    }

    /// Removes a part.
    pub fn leave(&mut self, part: &WaitingPart) {
        self.parts.remove(part);
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The part to serve next.
    pub fn next(&self, now: TimePoint) -> Option<WaitingPart> {
        let is_fresh = |part: &&WaitingPart| now < part.goal_at;
        let Some(oldest) = self.parts.iter().find(is_fresh) else {
            return self.parts.first().copied();
        };
        let turn = oldest.goal_at.since(oldest.arrived).mul_f64(TURN_SHARE);
        if now.since(oldest.arrived) <= turn {
            return Some(*oldest);
        }
        self.parts.iter().rev().find(is_fresh).copied()
    }

    /// Notes that the service replied.
    pub fn count_reply(&mut self, now: TimePoint) {
        self.rate = self.rate_at(now) + 1.0 / RATE_PERIOD.as_secs_f64();
        self.counted = now;
    }

    /// How long a part that joins now would wait if it were served in turn.
    pub fn expected_wait(&self, now: TimePoint) -> Duration {
        let fresh = self.parts.iter().filter(|part| now < part.goal_at).count();
        if fresh == 0 {
            return Duration::ZERO;
        }
        let rate = self.rate_at(now).max(1.0 / RATE_PERIOD.as_secs_f64());
        Duration::from_secs_f64(fresh as f64 / rate)
    }

    /// Replies a second.
    fn rate_at(&self, now: TimePoint) -> f64 {
        let age = now.since(self.counted).as_secs_f64();
        self.rate * (-age / RATE_PERIOD.as_secs_f64()).exp()
    }
}
