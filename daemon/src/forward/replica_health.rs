//! Health checks of replicas, which show whether this daemon reaches them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use compact_str::CompactString;
use http::{
    header,
    Request, //
};
use http_body_util::Full;
use platform::cold_left;
use policy::forward::{
    ForwardEvent,
    ReplicaKey, //
};
use schema::{
    ServiceName,
    TimePoint, //
};
use tokio::{
    task::spawn_local,
    time::timeout, //
};

use super::{
    forward_loop::ForwardLoop,
    inbox_event::InboxEvent,
    replica_exchange::CONNECT_TIMEOUT, //
};
use crate::{
    exchange::read_body,
    upstream_link::UpstreamLink, //
};

/// Longest wait for the reply. A health check waits for a slot like any request, and a replica pauses
/// for 250 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest body of the reply, which is not looked at.
const BODY_MAX_BYTES: usize = 64 * 1024;

impl ForwardLoop {
    /// Asks a replica for its health on a new connection. If the health path of its service is not
    /// known, an open connection is all that can be shown.
    pub(super) fn check_health(
        &self,
        replica: ReplicaKey,
        service: &ServiceName,
        address: SocketAddr,
    ) {
        let index = self.route_index.as_ref();
        let mut paths = index.iter().flat_map(|index| &index.table.health_paths);
        let path = paths.find(|(known, _)| known == service);
        let path = path.map(|(_, path)| path.clone());
        let events = self.events.clone();
        spawn_local(async move {
            let link = run_check(address, path).await;
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::HealthChecked(replica, link));
        });
    }

    /// Reports the outcome of a health check, and keeps its connection.
    pub(super) fn end_health_check(
        &mut self,
        now: TimePoint,
        replica: ReplicaKey,
        reply: Option<(UpstreamLink, Option<Duration>)>,
    ) {
        let answered = reply.is_some();
        let outcome = if answered { "answered" } else { "failed" };
        let label = [("outcome", outcome)];
        self.metrics.health_checks.get_or_create(&label).inc();
        self.dispatch(now, ForwardEvent::HealthChecked { replica, answered });
        if let Some((link, cold_left)) = reply {
            if let Some(left) = cold_left {
                self.dispatch(now, ForwardEvent::ColdReported { replica, left });
            }
            self.metrics.connections_opened.inc();
            self.idle_pool.put(now, replica, link);
        }
    }
}

/// Returns the connection if a complete reply came on it, whatever it says, and for how long the replica is
/// still cold if it says so.
async fn run_check(
    address: SocketAddr,
    path: Option<CompactString>,
) -> Option<(UpstreamLink, Option<Duration>)> {
    let link = UpstreamLink::connect(address, CONNECT_TIMEOUT, || ()).await;
    let mut link = link.ok()?;
    let Some(path) = path else {
        return Some((link, None));
    };
    let request = Request::get(path.as_str()).header(header::HOST, link.host.clone());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    link.start_exchange();
    let exchange = async {
        let response = link.sender.send_request(request).await.ok()?;
        let cold_left = cold_left(response.headers());
        let body = response.into_body();
        read_body(body, BODY_MAX_BYTES, |_| true).await.ok()?;
        Some(cold_left)
    };
    let cold_left = timeout(ANSWER_TIMEOUT, exchange).await.ok()??;
    link.history.record_reply();
    Some((link, cold_left))
}
