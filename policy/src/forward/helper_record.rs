//! What is known of one daemon that may forward requests for this one.

use std::time::Duration;

use schema::{
    MemberBuild,
    RegionName,
    RouteName,
    TimePoint,
    ZoneName, //
};
use smallvec::SmallVec;

use super::RelayRefusal;
use crate::places::RequestPlacement;

/// Time for which a helper gets no requests of a route after it had no room for one of them.
const FULL_PERIOD: Duration = Duration::from_millis(100);
/// Cost of a request in flight at a helper, as the time that a nearer one must save.
const IN_FLIGHT_COST_MS: f64 = 3.0;
/// Assumed round trips within a data centre, within a region and between regions.
const ROUND_TRIPS_MS: [f64; 3] = [0.5, 8.0, 24.0];

/// What is known of one daemon.
#[derive(Clone, Debug)]
pub(super) struct HelperRecord {
    pub(super) zone: ZoneName,
    /// Region of its data centre; `None` if it is unknown.
    pub(super) region: Option<RegionName>,
    /// What its build understands.
    pub(super) build: MemberBuild,
    /// Distance class: same data centre, same region, another region.
    pub(super) distance: usize,
    /// Spreads the choices of different daemons.
    pub(super) hash: u64,
    /// When it was asked, if the answer is due.
    pub(super) asked_at: Option<TimePoint>,
    /// Requests that it takes beside those that it had, and until when that holds.
    pub(super) offer: Option<(u32, TimePoint)>,
    /// Why it takes none, and until when it is not asked again.
    pub(super) refusal: Option<(RelayRefusal, TimePoint)>,
    /// Routes for whose requests it had no room, and until when it gets none of them.
    pub(super) full_for: SmallVec<[(RouteName, TimePoint); 2]>,
    /// Requests of this daemon that it has.
    pub(super) in_flight: u32,
    /// Requests sent to it since its last offer.
    pub(super) used: u32,
}

impl HelperRecord {
    /// Whether it may get a request with the given placement.
    pub(super) fn takes(&self, placement: &RequestPlacement) -> bool {
        placement.allows_member(self.build, self.region.as_ref())
    }

    /// Whether it offers to take requests, or has been asked.
    pub(super) fn is_used(&self, now: TimePoint) -> bool {
        self.offers(now) || self.asked_at.is_some()
    }

    /// Whether it offers to take requests.
    pub(super) fn offers(&self, now: TimePoint) -> bool {
        self.offer.is_some_and(|(_, until)| now < until)
    }

    /// Whether it is not asked for now.
    pub(super) fn is_refusing(&self, now: TimePoint) -> bool {
        self.refusal.is_some_and(|(_, until)| now < until)
    }

    /// Whether it had no room for a request of any route just now.
    pub(super) fn is_full(&self, now: TimePoint) -> bool {
        self.full_for.iter().any(|(_, until)| now < *until)
    }

    /// The same for `route`.
    pub(super) fn is_full_for(&self, now: TimePoint, route: &RouteName) -> bool {
        let mut full_for = self.full_for.iter();
        full_for.any(|(known, until)| known == route && now < *until)
    }

    /// Records that it had no room for a request of `route`.
    pub(super) fn set_full_for(&mut self, now: TimePoint, route: &RouteName) {
        self.full_for
            .retain(|(known, until)| known != route && now < *until);
        self.full_for.push((route.clone(), now + FULL_PERIOD));
    }

    /// Expected time that its choice costs, in milliseconds.
    pub(super) fn cost(&self) -> f64 {
        ROUND_TRIPS_MS[self.distance] + f64::from(self.in_flight) * IN_FLIGHT_COST_MS
    }
}
