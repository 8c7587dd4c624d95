//! Replies of replicas.

use bytes::Bytes;
use compact_str::CompactString;

/// A whole reply of a replica.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardReply {
    /// HTTP status.
    pub status: u16,
    /// Whether the replica says that it did not run the request.
    pub not_run: bool,
    /// Whether another replica answered than the one asked for.
    pub moved: bool,
    /// The replica's signature, where the reply has one.
    pub stamp: Option<CompactString>,
    /// The body.
    pub body: Bytes,
}

impl ForwardReply {
    /// Whether it is a signed success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.stamp.is_some()
    }
}
