//! Refusals of requests that crash replicas.

use schema::{
    CrashNotice,
    QueryPrint,
    ReplicaName,
    TimePoint, //
};
use smallvec::SmallVec;

/// Why a request is not sent to a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashRefusal {
    /// The fingerprint that is refused.
    pub print: QueryPrint,
    /// Crashes that count against it.
    pub crashes: u32,
    /// The replicas that crashed last.
    pub replicas: SmallVec<[ReplicaName; 3]>,
    /// When the request may run again.
    pub until: TimePoint,
}

impl CrashRefusal {
    /// The refusal of the request that `notice` names.
    pub(super) fn new(notice: &CrashNotice) -> Self {
        Self {
            print: notice.print,
            crashes: notice.evidence(),
            replicas: notice.replicas.clone(),
            until: notice.refused_until,
        }
    }
}
