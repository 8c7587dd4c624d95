//! Builds the reply to `/status`.

use std::time::Duration;

use schema::{
    DaemonName,
    ReplicaName,
    RequestRate,
    TimePoint,
    ZoneName, //
};

use super::forward_loop::ForwardLoop;
use crate::status_body::{
    LimitStatus,
    RestStatus,
    StatusBody,
    StrandedStatus, //
};

fn rest_status((replica, left): &(ReplicaName, Duration)) -> RestStatus {
    RestStatus {
        replica: replica.to_string(),
        left_ms: millis(*left),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

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
                lost_for_ms: millis(lost_for),
                helpers: status.helpers.iter().map(DaemonName::to_string).collect(),
            }),
            relayed: status.relayed as u64,
            evacuated: status.evacuated.iter().map(ZoneName::to_string).collect(),
            draining: status.leaving.iter().map(ReplicaName::to_string).collect(),
            resting: status.resting.iter().map(rest_status).collect(),
            limits: status.limits.into_iter().map(limit_status).collect(),
            ..StatusBody::default()
        }
    }
}
