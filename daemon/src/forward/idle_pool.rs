//! Pool of idle connections to replicas.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use policy::forward::{
    ReplicaKey,
    RequestMark, //
};
use schema::TimePoint;

use crate::upstream_link::UpstreamLink;

/// Time for which an idle connection is kept if the replica announces no limit.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Time for which idle connections beyond the first of a replica are kept. Connections opened in a
/// burst must not stay, because replicas accept few.
const SPARE_IDLE_LIMIT: Duration = Duration::from_secs(1);

/// Idle connections by replica, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct IdlePool {
    links: BTreeMap<ReplicaKey, Vec<UpstreamLink>>,
}

impl IdlePool {
    /// Takes the most recently used connection to a replica that may carry the request `mark`. Drops those
    /// that are not usable and keeps those that have carried it.
    pub(super) fn take(&mut self, replica: ReplicaKey, mark: &RequestMark) -> Option<UpstreamLink> {
        let links = self.links.get_mut(&replica)?;
        for index in (0..links.len()).rev() {
            if !links[index].is_usable() || !is_fresh(&links[index], mark.sent_at()) {
                links.remove(index);
            } else if links[index].history.admits(mark) {
                return Some(links.remove(index));
            }
        }
        None
    }

    /// Adds a connection that can carry another exchange.
    pub(super) fn put(&mut self, now: TimePoint, replica: ReplicaKey, mut link: UpstreamLink) {
        link.idle_since = now;
        self.links.entry(replica).or_default().push(link);
    }

    /// Closes all idle connections to a replica.
    pub(super) fn close(&mut self, replica: ReplicaKey) {
        self.links.remove(&replica);
    }

    /// Drops connections that the replica has closed, that have been idle for too long, or that are
    /// spare.
    pub(super) fn sweep(&mut self, now: TimePoint) {
        for links in self.links.values_mut() {
            links.retain(|link| !link.sender.is_closed() && is_fresh(link, now));
            let last_index = links.len().saturating_sub(1);
            let is_spare = |link: &UpstreamLink| now.since(link.idle_since) >= SPARE_IDLE_LIMIT;
            let spare_count = links[..last_index]
                .iter()
                .take_while(|link| is_spare(link))
                .count();
            links.drain(..spare_count);
        }
        self.links.retain(|_, links| !links.is_empty());
    }

    /// Whether there is an idle connection to a replica, usable or not.
    pub(super) fn has(&self, replica: ReplicaKey) -> bool {
        self.links.contains_key(&replica)
    }

    /// Number of idle connections to all replicas.
    pub(super) fn count(&self) -> usize {
        self.links.values().map(Vec::len).sum()
    }
}

fn is_fresh(link: &UpstreamLink, now: TimePoint) -> bool {
    now.since(link.idle_since) < link.idle_limit.unwrap_or(IDLE_LIMIT)
}
