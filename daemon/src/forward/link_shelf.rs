//! Idle connections to replicas.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use policy::forward::ReplicaKey;
use schema::TimePoint;

use crate::upstream_link::UpstreamLink;

/// Time for which an idle connection is kept whose replica does not say.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Time for which more than one idle connection to a replica is kept: what a busy moment opened is
/// not to stay, as replicas accept few.
const SPARE_LIMIT: Duration = Duration::from_secs(1);

/// Idle connections by replica, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct LinkShelf {
    links: BTreeMap<ReplicaKey, Vec<UpstreamLink>>,
}

impl LinkShelf {
    /// Takes the most recently used connection to a replica.
    pub(super) fn take(&mut self, now: TimePoint, replica: ReplicaKey) -> Option<UpstreamLink> {
        let links = self.links.get_mut(&replica)?;
        while let Some(link) = links.pop() {
            if link.is_usable() && is_fresh(&link, now) {
                return Some(link);
            }
        }
        None
    }

    /// Takes in a connection that can carry another exchange.
    pub(super) fn put(&mut self, now: TimePoint, replica: ReplicaKey, mut link: UpstreamLink) {
        link.idle_since = now;
        self.links.entry(replica).or_default().push(link);
    }

    /// Closes the connections to a replica.
    pub(super) fn close(&mut self, replica: ReplicaKey) {
        self.links.remove(&replica);
    }

    /// Closes connections that have been idle for long.
    pub(super) fn sweep(&mut self, now: TimePoint) {
        for links in self.links.values_mut() {
            links.retain(|link| !link.sender.is_closed() && is_fresh(link, now));
            let last = links.len().saturating_sub(1);
            let spare = |link: &UpstreamLink| now.since(link.idle_since) >= SPARE_LIMIT;
            let stale = links[..last].iter().take_while(|link| spare(link)).count();
            links.drain(..stale);
        }
        self.links.retain(|_, links| !links.is_empty());
    }

    /// Whether there is an idle connection to a replica.
    pub(super) fn has(&self, replica: ReplicaKey) -> bool {
        self.links.contains_key(&replica)
    }

    /// Idle connections to all replicas.
    pub(super) fn count(&self) -> usize {
        self.links.values().map(Vec::len).sum()
    }
}

fn is_fresh(link: &UpstreamLink, now: TimePoint) -> bool {
    now.since(link.idle_since) < link.idle_limit.unwrap_or(IDLE_LIMIT)
}
