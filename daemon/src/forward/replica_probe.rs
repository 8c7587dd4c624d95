//! Connections that tell a crashed replica from one that only reset a connection.

use std::net::SocketAddr;

use policy::forward::{
    ForwardEvent,
    ProbeOutcome,
    ReplicaKey, //
};
use schema::TimePoint;
use tokio::task::spawn_local;

use super::{
    forward_loop::ForwardLoop,
    inbox_event::InboxEvent,
    replica_exchange::CONNECT_TIMEOUT, //
};
use crate::upstream_link::{
    ConnectFailure,
    UpstreamLink, //
};

impl ForwardLoop {
    /// Opens a connection to a replica that has broken one, to find out whether it still runs.
    pub(super) fn probe(&self, replica: ReplicaKey, address: SocketAddr) {
        let events = self.events.clone();
        spawn_local(async move {
            let result = UpstreamLink::connect(address, CONNECT_TIMEOUT, || ()).await;
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::Probed(replica, result));
        });
    }

    /// Keeps the connection of a probe for the next request, and reports the outcome.
    pub(super) fn end_probe(
        &mut self,
        now: TimePoint,
        replica: ReplicaKey,
        result: Result<UpstreamLink, ConnectFailure>,
    ) {
        let outcome = match result {
            Ok(link) => {
                self.metrics.connections_opened.inc();
                self.idle_pool.put(now, replica, link);
                ProbeOutcome::Accepted
            }
            Err(ConnectFailure::Refused) => ProbeOutcome::Refused,
            Err(ConnectFailure::Failed) => ProbeOutcome::NoAnswer,
        };
        self.dispatch(now, ForwardEvent::Probed { replica, outcome });
    }
}
