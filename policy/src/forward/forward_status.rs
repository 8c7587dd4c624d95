//! State of the forwarding engine for metrics.

use std::time::Duration;

use schema::{
    DaemonName,
    ReplicaName,
    RequestRate,
    ServiceName,
    TimePoint,
    ZoneName, //
};

use super::{
    pending_request::PendingRequest,
    ForwardEngine,
    LinkLoss, //
};

/// Counts for the metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ForwardStatus {
    /// Number of listed replicas by state: `usable`, `draining` (by the directory or by their own
    /// replies), `avoided` during the backoff after a failed connection, `resting`, or `evacuated`.
    pub replicas: [(&'static str, usize); 5],
    /// Hedges and retries that the retry budget of each service still allows.
    pub budgets: Vec<(ServiceName, u32)>,
    /// Replicas that name a limit, with the limit and this daemon's share, in requests a second.
    pub limits: Vec<(ReplicaName, RequestRate, f64)>,
    /// Number of request parts that are queued for a replica.
    pub waiting: usize,
    /// Number of fingerprints of requests that are refused because they crashed replicas.
    pub quarantined: usize,
    /// Replicas that leave, by the directory or by their own replies.
    pub leaving: Vec<ReplicaName>,
    /// Replicas that rest, with the time until they get requests again.
    pub resting: Vec<(ReplicaName, Duration)>,
    /// How the links to all replicas were lost, and how long ago, if they are.
    pub lost_links: Option<(LinkLoss, Duration)>,
    /// Daemons that forward requests for this one.
    pub helpers: Vec<DaemonName>,
    /// Requests of other daemons that this one forwards.
    pub relayed: usize,
    /// Admissions by quotas that were given back because the request did not run, since the start.
    pub quota_returned: u64,
    /// Data centres that are evacuated.
    pub evacuated: Vec<ZoneName>,
}

impl ForwardEngine {
    /// Current counts for the metrics.
    pub fn status(&self, now: TimePoint) -> ForwardStatus {
        let (mut usable, mut avoided, mut evacuated) = (0, 0, 0);
        let (mut leaving, mut resting) = (Vec::new(), Vec::new());
        for record in self
            .registry
            .records
            .values()
            .filter(|record| record.listed)
        {
            let rest_until = record.statements.rest_until;
            if record.evacuated {
                evacuated += 1;
            } else if !record.is_wanted() {
                leaving.push(record.entry.name.clone());
            } else if record.is_usable(now) {
                usable += 1;
            } else if now < rest_until {
                resting.push((record.entry.name.clone(), rest_until.since(now)));
            } else {
                avoided += 1;
            }
        }
        let services = self.registry.services.iter();
        ForwardStatus {
            replicas: [
                ("usable", usable),
                ("draining", leaving.len()),
                ("avoided", avoided),
                ("resting", resting.len()),
                ("evacuated", evacuated),
            ],
            leaving,
            resting,
            budgets: services
                .map(|state| (state.name.clone(), state.budget.remaining() as u32))
                .collect(),
            waiting: self
                .requests
                .values()
                .map(PendingRequest::queued_parts)
                .sum(),
            quarantined: self.crashes.refused_count(now),
            limits: self.registry.named_limits(),
            lost_links: self
                .reach
                .lost()
                .map(|(loss, since)| (loss, now.since(since))),
            helpers: self.helpers.names(now),
            relayed: self.intake.in_flight as usize,
            quota_returned: self.admissions.given_back,
            evacuated: self.registry.evacuated_zones().cloned().collect(),
        }
    }
}
