//! What a replica says of itself in a reply.

use compact_str::CompactString;
use schema::{
    ReplicaLoad,
    RestPeriod, //
};
use smallvec::SmallVec;

use super::LimitStatement;

/// The statements of one reply, which hold for the start of the replica that sent it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatements {
    /// What it says about the requests that it takes from all daemons together.
    pub limit: LimitStatement,
    /// Its load when it sent the reply.
    pub load: Option<ReplicaLoad>,
    /// Whether it says that it leaves.
    pub leaving: bool,
    /// The rest from this daemon that it asks for.
    pub rest: Option<RestPeriod>,
    /// Other statements whose values can't be read. They change nothing.
    pub unreadable: SmallVec<[UnreadableStatement; 1]>,
}

/// A statement with a value that can't be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnreadableStatement {
    /// What it is about: `leaving`, `load` or `rest`.
    pub subject: &'static str,
    /// The value, shortened.
    pub value: CompactString,
}
