//! Changes of the directory.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ReplicaEntry,
    ReplicaName,
    RouteTable, //
};

/// What the store tells of the configuration and the replicas, or what takes effect of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DirectoryEvent {
    /// A route table.
    Table(Box<RouteTable>),
    /// A replica is registered, anew or with other fields.
    Seen(ReplicaEntry),
    /// A replica is registered no more.
    Gone(ReplicaName),
}
