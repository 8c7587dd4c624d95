//! Queue of request parts that wait for a replica of one service.
//!
//! A short queue is first in, first out. Once its oldest part has used up a set share of the time
//! until its goal, the newest part is served first: under overload, first in, first out would make
//! every request late, while newest first keeps most of them in time. Parts of requests past their
//! goal are served last.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use schema::{
    QueryId,
    TimePoint, //
};

/// Share of the time from arrival to goal for which the oldest part may wait before the queue
/// changes to newest first.
const FIFO_SHARE: f64 = 0.25;
/// Time constant of the exponentially decaying average of the reply rate.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// A part of a request that waits for a replica.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuedPart {
    /// When the request of the part arrived.
    pub arrived: TimePoint,
    /// When the request of the part is past its latency goal.
    pub goal_at: TimePoint,
    /// The request to which the part belongs.
    pub query: QueryId,
    /// Index of the part within its request.
    pub part: usize,
}

/// The parts that wait for a replica of one service, and the rate at which the service replies.
#[derive(Clone, Debug, Default)]
pub struct PartQueue {
    /// Ordered by arrival, the first field of a part.
    parts: BTreeSet<QueuedPart>,
    /// Replies per second at the time `rate_updated_at`.
    rate: f64,
    rate_updated_at: TimePoint,
}

impl PartQueue {
    /// Adds a part.
    pub fn push(&mut self, part: QueuedPart) {
        self.parts.insert(part);
    }

    /// Removes a part, if it is queued.
    pub fn remove(&mut self, part: &QueuedPart) {
        self.parts.remove(part);
    }

    /// Whether no part is queued.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The part to serve next, which stays in the queue.
    pub fn next(&self, now: TimePoint) -> Option<QueuedPart> {
        let is_in_time = |part: &&QueuedPart| now < part.goal_at;
        let Some(oldest) = self.parts.iter().find(is_in_time) else {
            return self.parts.first().copied();
        };
        let fifo_limit = oldest.goal_at.since(oldest.arrived).mul_f64(FIFO_SHARE);
        if now.since(oldest.arrived) <= fifo_limit {
            return Some(*oldest);
        }
        self.parts.iter().rev().find(is_in_time).copied()
    }

    /// Counts a reply of the service for the reply rate.
    pub fn record_reply(&mut self, now: TimePoint) {
        self.rate = self.rate_at(now) + 1.0 / RATE_WINDOW.as_secs_f64();
        self.rate_updated_at = now;
    }

    /// Expected wait of a part that joins the queue now, if the queue is served in order. Parts
    /// past their goal are not counted, since they are served last.
    pub fn expected_wait(&self, now: TimePoint) -> Duration {
        let in_time = self.parts.iter().filter(|part| now < part.goal_at).count();
        if in_time == 0 {
            return Duration::ZERO;
        }
        let rate = self.rate_at(now).max(1.0 / RATE_WINDOW.as_secs_f64());
        Duration::from_secs_f64(in_time as f64 / rate)
    }

    /// Replies per second.
    fn rate_at(&self, now: TimePoint) -> f64 {
        let age = now.since(self.rate_updated_at).as_secs_f64();
        self.rate * (-age / RATE_WINDOW.as_secs_f64()).exp()
    }
}
