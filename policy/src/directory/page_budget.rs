//! The bytes that a reader of the directory may send to other daemons.
//!
//! A large table goes to all of them at the same moment. On a slow link requests to replicas would
//! wait behind it for seconds. A daemon that gets no page asks the other reader, then the store,
//! which has far more room.

use schema::TimePoint;

/// Part of a second's worth of the link that may be sent at once: half of the time by which a request
/// may reach a replica late.
const BURST_SECONDS: f64 = 0.25;
/// Part of the link that pages may take for long; the rest is for requests.
const LINK_SHARE: f64 = 0.3;

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug)]
pub struct PageBudget {
    link: f64,
    tokens: f64,
    filled: TimePoint,
}

impl PageBudget {
    /// A budget for a link of `link` bytes a second.
    pub fn new(link: u64, now: TimePoint) -> Self {
        let link = link as f64;
        Self {
            link,
            tokens: link * BURST_SECONDS,
            filled: now,
        }
    }

    /// Takes the bytes of a page; false where it must not be sent now.
    pub fn take(&mut self, now: TimePoint, bytes: usize) -> bool {
        let earned = now.since(self.filled).as_secs_f64() * self.link * LINK_SHARE;
        self.tokens = (self.tokens + earned).min(self.link * BURST_SECONDS);
        self.filled = now;
        let bytes = bytes as f64;
        // A page above the whole bucket goes out when the bucket is full.
        if self.tokens < bytes.min(self.link * BURST_SECONDS) {
            return false;
        }
        self.tokens -= bytes;
        true
    }
}
