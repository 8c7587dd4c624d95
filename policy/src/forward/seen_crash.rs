//! Crashes of replicas as this daemon saw them.

use schema::{
    ReplicaName,
    TimePoint, //
};

/// A replica that crashed while it ran a request.
#[derive(Clone, Debug)]
pub struct SeenCrash<'a> {
    /// Name of the replica.
    pub replica: &'a ReplicaName,
    /// When the request was sent to it.
    pub sent_at: TimePoint,
    /// When the connection broke.
    pub broke_at: TimePoint,
    /// Hash of the caller's address; 0 if the fingerprint contains it.
    pub caller: u64,
}
