//! The limit of one replica and this daemon's share of it.

use schema::{
    RequestRate,
    TimePoint, //
};

use super::{
    demand_meter::DemandMeter,
    limit_division::divided_rate,
    TokenBucket, //
};

/// A limit that a replica names, or has named.
#[derive(Clone, Debug)]
pub(super) struct ReplicaLimit {
    /// Identifies the replica and its start to other daemons.
    pub(super) instance: u64,
    /// Requests a second that it takes; `None` if it no longer names a limit.
    pub(super) limit: Option<RequestRate>,
    /// When the last reply arrived that said so, here or at another daemon.
    pub(super) named_at: TimePoint,
    /// When the request of that reply was sent, if it was sent by this daemon.
    pub(super) sent_at: TimePoint,
    /// This daemon's share, from 0 to 1.
    share: f64,
    /// When a share that another daemon has granted ends.
    granted_until: TimePoint,
    pub(super) bucket: TokenBucket,
    /// Requests that this daemon would send the replica.
    pub(super) demand: DemandMeter,
}

impl ReplicaLimit {
    /// The limit of a replica that named it at `now`.
    pub(super) fn new(now: TimePoint, instance: u64, limit: RequestRate) -> Self {
        Self {
            instance,
            limit: Some(limit),
            named_at: now,
            sent_at: TimePoint(0),
            share: 0.0,
            granted_until: TimePoint(0),
            bucket: TokenBucket::new(now),
            demand: DemandMeter::default(),
        }
    }

    /// Sets the limit; the share of it stays.
    pub(super) fn set_limit(&mut self, now: TimePoint, limit: Option<RequestRate>) {
        self.limit = limit;
        self.update_rate(now);
    }

    /// Uses a share that the daemon which divides the limit has granted.
    pub(super) fn grant(&mut self, now: TimePoint, share: f64, until: TimePoint) {
        self.share = share;
        self.granted_until = until;
        self.update_rate(now);
    }

    /// Uses the base share if no share is granted any more.
    pub(super) fn apply_base(&mut self, now: TimePoint, base: f64) {
        if now < self.granted_until {
            return;
        }
        self.share = base;
        self.update_rate(now);
    }

    fn update_rate(&mut self, now: TimePoint) {
        if let Some(limit) = self.limit {
            self.bucket.set_rate(now, divided_rate(limit) * self.share);
        }
    }
}
