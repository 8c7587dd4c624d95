//! The rates at one daemon.

use std::time::Duration;

use schema::{
    QueryId,
    TimePoint, //
};

use super::{
    RateAction,
    RateKey,
    RateLimit, //
};

/// Whether a request may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateAdmission {
    /// It may.
    Admitted,
    /// It waits; [`RateAction::Decided`] follows.
    Pending,
    /// The rate is used up.
    Refused {
        /// Time after which there is room.
        retry_after: Duration,
    },
}

/// The rates at one daemon.
#[derive(Clone, Debug, Default)]
pub struct RateTable {
    limits: Vec<(RateKey, RateLimit)>,
}

impl RateTable {
    /// Replaces the limits of the accounts.
    pub fn set_limits(&mut self, _now: TimePoint, limits: Vec<(RateKey, RateLimit)>) {
        self.limits = limits;
    }

    /// Asks for one request of `key`. Keys without a limit are always admitted.
    pub fn request(&mut self, _now: TimePoint, _key: RateKey, _query: QueryId) -> RateAdmission {
        RateAdmission::Admitted
    }

    /// Takes a request of `key` if this daemon may make one now. Never waits.
    pub fn try_take(&mut self, _now: TimePoint, _key: RateKey) -> bool {
        true
    }

    /// Gives back a request that was admitted and did not run.
    pub fn give_back(&mut self, _now: TimePoint, _key: RateKey) {}

    /// Carries out what is due.
    pub fn on_timer(&mut self, _now: TimePoint, _actions: &mut Vec<RateAction>) {}

    /// When [`Self::on_timer`] has to be called.
    pub fn next_wakeup(&self) -> TimePoint {
        TimePoint::NEVER
    }
}
