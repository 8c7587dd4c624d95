//! Changes of the directory, which holds the route table and the registered replicas.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    FleetEntry,
    ReplicaEntry,
    ReplicaName,
    RouteTable,
    ZoneName, //
};

/// A change of the configuration or of the replicas, as read from the store or as put into effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DirectoryEvent {
    /// The route table was replaced by this one.
    Table(Box<RouteTable>),
    /// A replica was registered, or its registration was changed.
    Seen(ReplicaEntry),
    /// The registration of a replica was removed.
    Gone(ReplicaName),
    /// The replicas of a data centre must get no requests. Older builds can't decode this and the following
    /// events, which therefore travel beside the others.
    Evacuated(ZoneName),
    /// The replicas of a data centre may get requests again.
    Readmitted(ZoneName),
    /// The record of the fleet was read.
    FleetListed(FleetEntry),
}
