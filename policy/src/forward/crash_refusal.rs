//! Refusals of requests that crash replicas.

use schema::{
    QueryPrint,
    ReplicaName,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    crash_record::CrashRecord,
    CrashScope, //
};

/// Why a request is not sent to a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashRefusal {
    /// The fingerprint that is refused.
    pub print: QueryPrint,
    /// What it stands for.
    pub scope: CrashScope,
    /// Crashes that count against it.
    pub crashes: u32,
    /// The replicas that crashed last.
    pub replicas: SmallVec<[ReplicaName; 3]>,
    /// When the request may run again.
    pub until: TimePoint,
}

impl CrashRefusal {
    /// The refusal of the requests of `record`.
    pub(super) fn new(record: &CrashRecord) -> Self {
        let notice = &record.notice;
        Self {
            print: notice.print,
            scope: record.scope(),
            crashes: notice.evidence(),
            replicas: notice.replicas.clone(),
            until: notice.refused_until,
        }
    }
}
