//! Admission of requests by the quota of their account.

use schema::{
    QueryId,
    TimePoint, //
};

use super::{
    ForwardAction,
    ForwardEngine, //
};
use crate::rates::RateAdmission;

impl ForwardEngine {
    /// Handles the decision on a request that waited for the quota of its account. No request asks for its
    /// quota yet.
    pub(super) fn on_rate_decided(
        &mut self,
        _now: TimePoint,
        _query: QueryId,
        _admission: RateAdmission,
        _actions: &mut Vec<ForwardAction>,
    ) {
    }
}
