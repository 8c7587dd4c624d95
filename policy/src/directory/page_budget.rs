//! Rate limit for the pages of the directory that a reader sends to other daemons.
//!
//! All daemons ask for a new route table at the same moment. If it is large and the link slow,
//! requests to replicas would queue behind these pages for seconds. A daemon that is refused a page
//! asks the other reader, then the store, which has far more bandwidth.

use schema::TimePoint;

/// Seconds of the link's full rate that may be sent in one burst. A request may reach a replica up
/// to 0.5 s late; the burst takes up half of that.
const BURST_SECONDS: f64 = 0.25;
/// Long-term fraction of the link's rate that pages may use; the rest is left to requests.
const LINK_FRACTION: f64 = 0.3;

/// A token bucket that counts bytes.
#[derive(Clone, Copy, Debug)]
pub struct PageBudget {
    link_rate: f64,
    tokens: f64,
    refilled_at: TimePoint,
}

impl PageBudget {
    /// Creates a full bucket for a link that carries `link_rate` bytes a second.
    pub fn new(link_rate: u64, now: TimePoint) -> Self {
        let link_rate = link_rate as f64;
        Self {
            link_rate,
            tokens: link_rate * BURST_SECONDS,
            refilled_at: now,
        }
    }

    /// Takes the tokens for a page of `bytes` bytes; returns false where the page must not be sent
    /// now.
    pub fn try_take(&mut self, now: TimePoint, bytes: usize) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.link_rate * LINK_FRACTION;
        self.tokens = (self.tokens + refill).min(self.link_rate * BURST_SECONDS);
        self.refilled_at = now;
        let bytes = bytes as f64;
        // A page larger than the bucket is sent once the bucket is full.
        if self.tokens < bytes.min(self.link_rate * BURST_SECONDS) {
            return false;
        }
        self.tokens -= bytes;
        true
    }
}
