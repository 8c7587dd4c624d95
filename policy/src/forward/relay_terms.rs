//! What a daemon may do with a request that another one has relayed to it.

use std::time::Duration;

/// The terms under which a daemon forwards a request for another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTerms {
    /// Time since the request arrived at the other daemon.
    pub age: Duration,
    /// Replicas of one service on which it may still run.
    pub attempts: u32,
    /// Whether the other daemon has sent it to replicas itself, so that another attempt is an extra one.
    pub sent: bool,
    /// What is asked for if the other daemon could serve the request itself; `None` if it can't.
    pub branch: Option<BranchTerms>,
}

/// What a daemon wants that hands some shards of a gather to another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BranchTerms {
    /// Time until the latency goal, less the way back; [`Duration::MAX`] without a goal.
    pub goal_left: Duration,
    /// Shards that have to be in the answer, also at the goal.
    pub needed: u32,
}
