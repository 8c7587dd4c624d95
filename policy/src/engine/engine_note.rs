//! Events that the daemon logs.

use schema::{
    BundleVersion,
    GroupName,
    QueryPrint,
    VmName, //
};

/// A decision of the engine that is logged for operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineNote {
    /// A bundle took effect.
    BundleApplied {
        /// Its version.
        version: BundleVersion,
    },
    /// A failing upstream was ejected and gets no requests for a while.
    ReplicaEjected {
        /// The upstream.
        vm: VmName,
    },
    /// An ejected upstream gets requests again.
    ReplicaRestored {
        /// The upstream.
        vm: VmName,
    },
    /// An upstream is draining.
    ReplicaDraining {
        /// The upstream.
        vm: VmName,
    },
    /// A query is quarantined: requests with this fingerprint are refused from now on.
    QueryQuarantined {
        /// Fingerprint of the query.
        print: QueryPrint,
    },
    /// A connection had no reply while a hedge on another one did.
    ConnectionSilent {
        /// The upstream at its other end.
        vm: VmName,
    },
    /// A group refuses requests because it can't serve them in time.
    GroupOverloaded {
        /// The group.
        group: GroupName,
    },
}
