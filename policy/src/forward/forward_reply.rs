//! Replies of replicas.

use bytes::Bytes;
use compact_str::CompactString;

use super::ReplicaStatements;

/// A complete reply of a replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ForwardReply {
    /// HTTP status code.
    pub status: u16,
    /// Whether the replica states that it did not run the request.
    pub not_run: bool,
    /// Whether the reply comes from another replica than the addressed one, which means that the
    /// directory entry is stale.
    pub moved: bool,
    /// The replica's signature, if the reply has one.
    pub stamp: Option<CompactString>,
    /// What the replica says of itself.
    pub statements: ReplicaStatements,
    /// The response body; for a gather, the shard's records.
    pub body: Bytes,
}

impl ForwardReply {
    /// Whether the reply has a 2xx status and a signature.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.stamp.is_some()
    }

    /// Whether the reply is the replica's answer to the request, which may be that it can't be served.
    pub fn is_answer(&self) -> bool {
        let concerns_request = (300..500).contains(&self.status) && !is_refusal(self.status);
        self.is_success() || concerns_request
    }
}

/// Whether an answer with this HTTP status promises that no replica ran the request, and that none will.
/// Only a replica that says so itself (`not_run`, `moved`) supports that.
pub(super) fn is_refusal(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
