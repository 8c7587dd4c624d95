//! Builds the reply to `/status`.

use schema::{
    DaemonName,
    ReplicaName,
    RequestRate,
    TimePoint, //
};

use super::forward_loop::ForwardLoop;
use crate::status_body::{
    LimitStatus,
    StatusBody,
    StrandedStatus, //
};

impl ForwardLoop {
    /// The state of the daemon. What exists only on the own interface is left empty.
    pub(super) fn status(&self, now: TimePoint) -> StatusBody {
        let status = self.engine.status(now);
        let limit_status = |(replica, limit, share): (ReplicaName, RequestRate, f64)| LimitStatus {
            replica: replica.to_string(),
            limit: limit.per_second(),
            share,
        };
        StatusBody {
            name: self.vm.to_string(),
            zone: self.zone.to_string(),
            phase: self.phase().to_string(),
            bundle_version: self.feed.version().map_or(0, |version| version.0),
            requests: self.requests.len() as u64,
            attempts: self.exchanges.len() as u64,
            store: match self.feed.is_ready() {
                true => "up".into(),
                false => "unknown".into(),
            },
            stranded: status.lost_links.map(|(loss, lost_for)| StrandedStatus {
                evidence: loss.as_str().into(),
                lost_for_ms: u64::try_from(lost_for.as_millis()).unwrap_or(u64::MAX),
                helpers: status.helpers.iter().map(DaemonName::to_string).collect(),
            }),
            relayed: status.relayed as u64,
            limits: status.limits.into_iter().map(limit_status).collect(),
            ..StatusBody::default()
        }
    }
}
