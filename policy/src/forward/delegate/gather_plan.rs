//! Which daemons gather which shards of a route.

use schema::DaemonName;
use smallvec::SmallVec;

/// Shards whose nearest replicas are in one data centre.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct ShardGroup {
    /// Daemons that gather these shards for others, in the order of their choice.
    pub(super) delegates: SmallVec<[DaemonName; 8]>,
    /// Positions of the shards in the route.
    pub(super) parts: Vec<u32>,
}

/// The groups of a route that this daemon does not gather itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(in super::super) struct GatherPlan {
    pub(super) groups: SmallVec<[ShardGroup; 4]>,
}
