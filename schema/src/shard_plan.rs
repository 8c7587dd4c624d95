//! Shards as declared in the bundle.

use crate::{
    KeySpan,
    ShardName, //
};

/// A shard with the key range that the bundle assigns to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardPlan {
    /// Name of the shard, unique within its group.
    pub name: ShardName,
    /// Key range that the shard should serve. Replicas report the ranges that they serve in fact.
    pub span: KeySpan,
}
