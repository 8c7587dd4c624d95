//! What a delegate has gathered.

use bytes::Bytes;
use compact_str::CompactString;

/// The shards of a branch that replied.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BranchAnswer {
    /// The position of each among the shards of the branch, with the signature of its reply.
    pub stamps: Vec<(u32, CompactString)>,
    /// The greatest records of these replies together.
    pub records: Bytes,
}
