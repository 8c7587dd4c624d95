//! Admission control of requests.
//!
//! Each service group has an adaptive limit on the requests that run, and a queue for those beyond
//! it that is fair between end users. A request that can't be served before its deadline is refused
//! on arrival, or as soon as that is known, with the time after which to retry.

use std::collections::BTreeMap;

use schema::{
    GroupName,
    QueryId,
    TimePoint, //
};

use super::{
    group_admission::{
        GroupAdmission,
        RefusedEntry, //
    },
    AdmissionDecision,
    AdmissionRequest, //
};

/// Limits of the admission controller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionSettings {
    /// Most requests that run and wait at once, over all groups.
    pub requests: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { requests: 4096 }
    }
}

/// Decides which requests run, wait or are refused.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    groups: BTreeMap<GroupName, GroupAdmission>,
    query_groups: BTreeMap<QueryId, GroupName>,
}

impl AdmissionController {
    /// Starts without any request.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            groups: BTreeMap::new(),
            query_groups: BTreeMap::new(),
        }
    }

    /// Decides whether a new request runs, waits or is refused.
    pub fn admit(&mut self, now: TimePoint, request: AdmissionRequest) -> AdmissionDecision {
        let open: usize = self.groups.values().map(GroupAdmission::len).sum();
        let max = self.settings.requests;
        let full = open >= max;
        let admission = self.groups.entry(request.group.clone());
        let admission = admission.or_insert_with(|| GroupAdmission::new(max));
        let (query, group) = (request.query, request.group.clone());
        let decision = admission.admit(now, request, full);
        if !matches!(decision, AdmissionDecision::Refuse { .. }) {
            self.query_groups.insert(query, group);
        }
        decision
    }

    /// Removes a request that was served and had run since `started`. Its run time adjusts the
    /// limit of its group.
    pub fn finished(&mut self, now: TimePoint, query: QueryId, started: TimePoint) {
        self.request_ended(now, query, started, true);
    }

    /// Removes a request that ended without being served: it was refused, cancelled, or still
    /// waited.
    pub fn dropped(&mut self, now: TimePoint, query: QueryId, started: TimePoint) {
        self.request_ended(now, query, started, false);
    }

    fn request_ended(&mut self, now: TimePoint, query: QueryId, started: TimePoint, served: bool) {
        let Some(group) = self.query_groups.remove(&query) else {
            return;
        };
        if let Some(admission) = self.groups.get_mut(&group) {
            admission.finished(now, query, started, served);
        }
    }

    /// Releases waiting requests from the queues: `ready` receives those that may run now,
    /// `refused` those that can't be served any more, with the reason and the time after which to
    /// retry.
    pub fn release(
        &mut self,
        now: TimePoint,
        ready: &mut Vec<QueryId>,
        refused: &mut Vec<RefusedEntry>,
    ) {
        let first = refused.len();
        for admission in self.groups.values_mut() {
            admission.release(now, ready, refused);
        }
        for (query, _, _) in &refused[first..] {
            self.query_groups.remove(query);
        }
    }

    /// Whether a request of `group` was refused in the last second because its wait was, or would
    /// be, too long. Hedges and retries would only add to the load then.
    pub fn is_overloaded(&self, now: TimePoint, group: &GroupName) -> bool {
        let admission = self.groups.get(group);
        admission.is_some_and(|admission| admission.is_overloaded(now))
    }

    /// When `release` must be called at the latest.
    pub fn next_wakeup(&self) -> TimePoint {
        let wakeups = self.groups.values().map(GroupAdmission::next_wakeup);
        wakeups.min().unwrap_or(TimePoint::NEVER)
    }
}
