//! Whether a replica is cold: it bears less than usual for a time after its start, and crashes under more.

use std::time::Duration;

use schema::{
    ColdBounds,
    ColdLimit,
    TimePoint, //
};

use crate::rates::RateLimit;

/// Steps in which a replica gets its full traffic back, each with twice the rate of the one before.
const STEPS: u32 = 3;
/// Length of a step. Daemons disagree by less about the time at which a replica is warm.
const STEP_PERIOD: Duration = Duration::from_millis(500);

/// How much a replica bears.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdPhase {
    /// The rate of a cold replica.
    Cold,
    /// It has just become warm; the step, from 0 on.
    Step(u32),
    /// Anything.
    Warm,
}

/// Whether one replica, of a service whose replicas have a rate while they are cold, is cold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ColdState {
    /// Time after its start, or its return, for which it is cold.
    period: Duration,
    /// When it is warm; 0 if it was never cold.
    cold_until: TimePoint,
    /// Whether it was unreachable when it was last tried.
    unreachable: bool,
}

impl ColdState {
    /// Sets the time for which replicas of the service are cold, for a replica that started at `born_ms` of
    /// Unix time; 0 if that is unknown.
    pub fn set_period(&mut self, now: TimePoint, period: Duration, born_ms: u64) {
        if self.period == period {
            return;
        }
        self.period = period;
        if born_ms > 0 {
            // The clock of the replica may be ahead.
            let born = TimePoint(born_ms.saturating_mul(1_000)).min(now);
            self.cold_until = self.cold_until.max(born + period);
        }
    }

    /// Takes note of a registration.
    pub fn record_listed(&mut self, now: TimePoint, left: Duration) {
        if !left.is_zero() {
            self.cold_until = self.cold_until.max(now + left);
        }
    }

    /// Takes note of what the replica itself says.
    pub fn record_report(&mut self, now: TimePoint, left: Duration) {
        self.unreachable = false;
        self.cold_until = now + left;
    }

    /// Takes note that the replica can't be reached. It may restart meanwhile.
    pub fn record_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// Takes note that the replica can be reached; returns whether it counts as cold from now on, since it
    /// could not be before.
    pub fn record_reached(&mut self, now: TimePoint) -> bool {
        let returns = std::mem::take(&mut self.unreachable);
        if returns {
            self.record_unknown(now);
        }
        returns && !self.period.is_zero()
    }

    /// Takes note that nothing is known of the replica's recent past.
    pub fn record_unknown(&mut self, now: TimePoint) {
        self.cold_until = self.cold_until.max(now + self.period);
    }

    /// Forgets failures that were none of the replica.
    pub fn forgive(&mut self) {
        self.unreachable = false;
    }

    /// How much the replica bears now.
    pub fn phase(&self, now: TimePoint) -> ColdPhase {
        if self.unreachable || now < self.cold_until {
            return ColdPhase::Cold;
        }
        let warm_for = now.since(self.cold_until);
        let step = warm_for.as_micros() / STEP_PERIOD.as_micros();
        match u32::try_from(step) {
            Ok(step) if step < STEPS => ColdPhase::Step(step),
            _ => ColdPhase::Warm,
        }
    }

    /// The rate that all daemons together keep now; `None` if there is none.
    pub fn rate(
        &self,
        now: TimePoint,
        limit: &ColdLimit,
        bounds: &ColdBounds,
    ) -> Option<RateLimit> {
        let factor = match self.phase(now) {
            ColdPhase::Warm => return None,
            ColdPhase::Cold => 1.0,
            ColdPhase::Step(step) => f64::from(2_u32 << step),
        };
        Some(RateLimit {
            per_second: limit.per_second * factor,
            burst: 0.0,
            window: Duration::from_secs(1),
            overage: bounds.overage - 1.0,
            slack: bounds.slack,
        })
    }
}
