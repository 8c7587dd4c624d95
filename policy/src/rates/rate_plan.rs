//! How a rate and its headroom are spent.

use std::time::Duration;

use super::{
    RateKey,
    RateLimit, //
};

/// Part of its bound that an account may use. The rest covers the time between the admission of a request and
/// its arrival at a replica.
const ACCOUNT_TARGET: f64 = 0.95;
/// The same for a cold replica, which crashes far above its rate.
const COLD_TARGET: f64 = 0.8;
/// Part of the headroom that covers tokens which were issued before a window and are used in it, at most.
const VALIDITY_SHARE: f64 = 0.6;
/// Part of the headroom that fills the buckets once in a window after a change of the authority. The rest of
/// the headroom may be held by the buckets beside the burst.
const CREDIT_SHARE: f64 = 0.2;
/// Part of the headroom that is used while there is no record of the fleet, and part that the buckets hold
/// when it has just been created. With the credit they are less than the headroom.
const UNRECORDED_SHARE: f64 = 0.4;
const CREATED_SHARE: f64 = 0.3;
/// Longest time for which a token is valid. With 10 s, a third of the headroom of small rates was taken by
/// it, and their buckets were too shallow for random arrivals.
const VALIDITY_MAX: f64 = 4.0;
/// Ratio of the allowance to what the rate uses of it, where the allowance is too small for the rate.
const ALLOWANCE_MARGIN: f64 = 1.1;

/// How a rate is spent by all daemons together. In any window, tokens for `rate` x (window + `validity`) +
/// `depth` + `credit` requests may be used at most, which is the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RatePlan {
    /// The limit.
    pub(super) limit: RateLimit,
    /// Tokens a second.
    pub(super) rate: f64,
    /// Tokens that the buckets hold at most.
    pub(super) depth: f64,
    /// Time from the question after which a token is not used.
    pub(super) validity: Duration,
    /// Tokens that fill the buckets after a change of the authority.
    pub(super) credit: f64,
    /// Tokens that the buckets hold when the record of the fleet has just been created.
    pub(super) created: f64,
    /// Rate and depth while there is no record of the fleet.
    unrecorded: (f64, f64),
}

/// What a daemon may issue of every rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RateSupply {
    /// From 0 to 1.
    pub(super) share: f64,
    /// Whether the share is one of the headroom only, because there is no record of the fleet.
    pub(super) unrecorded: bool,
}

impl RatePlan {
    /// The plan for a limit.
    pub(super) fn new(key: RateKey, limit: RateLimit) -> Self {
        let target = match key {
            RateKey::Account(_) => ACCOUNT_TARGET,
            RateKey::ColdReplica(_) => COLD_TARGET,
        };
        let window = limit.window.as_secs_f64().max(0.001);
        let usual = limit.per_second * window + limit.burst;
        let allowed = target * (usual * (1.0 + limit.overage) + limit.slack);
        let scale = match usual > 0.0 {
            true => (allowed / (usual * ALLOWANCE_MARGIN)).min(1.0),
            false => 1.0,
        };
        let (rate, burst) = (limit.per_second * scale, limit.burst * scale);
        let headroom = (allowed - usual * scale).max(0.0);
        let validity = match rate > 0.0 {
            true => (headroom * VALIDITY_SHARE / rate).min(VALIDITY_MAX),
            false => VALIDITY_MAX,
        };
        let credit = headroom * CREDIT_SHARE;
        let unrecorded = headroom * UNRECORDED_SHARE / 2.0;
        Self {
            limit,
            rate,
            depth: burst + headroom - credit - rate * validity,
            validity: Duration::from_secs_f64(validity),
            credit,
            created: burst + headroom * CREATED_SHARE,
            unrecorded: (unrecorded / window, unrecorded),
        }
    }

    /// Tokens a second of a daemon that has `supply`.
    pub(super) fn rate_of(&self, supply: RateSupply) -> f64 {
        match supply.unrecorded {
            true => self.unrecorded.0 * supply.share,
            false => self.rate * supply.share,
        }
    }

    /// Tokens that its bucket holds at most, with those that it has issued and that are still valid. Tokens
    /// that are returned and issued again are valid for longer, so that the depth alone does not limit them.
    pub(super) fn issued_max(&self, supply: RateSupply) -> f64 {
        self.depth_of(supply) + self.rate_of(supply) * self.validity.as_secs_f64()
    }

    /// Tokens that its bucket holds at most.
    pub(super) fn depth_of(&self, supply: RateSupply) -> f64 {
        match supply.unrecorded {
            true => self.unrecorded.1 * supply.share,
            false => self.depth * supply.share,
        }
    }
}
