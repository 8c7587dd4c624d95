//! How many requests this daemon may have outstanding on one replica.
//!
//! A replica runs 2 to 4 requests at once for all daemons together, so that the share of its
//! connections is far more than the share of its slots. The limit moves between 1 and the
//! connection share: it grows by one after as many replies without a queue as it allows requests,
//! and shrinks by a factor after a refusal or when the queue is longer than the number of slots.

use std::time::Duration;

use schema::TimePoint;

use crate::engine::ReplicaLoad;

/// Factor by which a refusal for lack of a slot reduces the limit.
const REFUSAL_FACTOR: f64 = 0.5;
/// Factor by which a long queue reduces the limit.
const QUEUE_FACTOR: f64 = 0.9;
/// Shortest time between two decreases: the replies to one burst of requests all report the same
/// queue.
const DECREASE_INTERVAL: Duration = Duration::from_millis(20);

/// An adaptive limit by additive increase and multiplicative decrease.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaLimit {
    limit: f64,
    last_decrease: TimePoint,
}

impl ReplicaLimit {
    /// A limit that starts at `start` requests.
    pub(crate) fn new(start: u32) -> Self {
        Self {
            limit: f64::from(start.max(1)),
            last_decrease: TimePoint(0),
        }
    }

    /// Requests allowed where the connection share is `share`.
    pub(crate) fn allowed(&self, share: u32) -> u32 {
        share.min((self.limit as u32).max(1))
    }

    /// Adapts the limit to the load reported with a reply; `share` is its upper bound.
    pub(crate) fn replied(&mut self, now: TimePoint, load: Option<&ReplicaLoad>, share: u32) {
        let overloaded = load.is_some_and(|load| load.queued > load.slots);
        if overloaded {
            self.decrease(now, QUEUE_FACTOR);
            return;
        }
        let queued = load.is_some_and(|load| load.queued > 0);
        if queued {
            return;
        }
        self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(f64::from(share.max(1)));
    }

    /// Reduces the limit after a refusal for lack of a slot or time.
    pub(crate) fn refused(&mut self, now: TimePoint) {
        self.decrease(now, REFUSAL_FACTOR);
    }

    fn decrease(&mut self, now: TimePoint, factor: f64) {
        if now.since(self.last_decrease) < DECREASE_INTERVAL {
            return;
        }
        self.last_decrease = now;
        self.limit = (self.limit * factor).max(1.0);
    }
}
