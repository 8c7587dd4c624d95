//! What follows from a change of the directory.

use schema::{
    ReplicaEntry,
    ReplicaName,
    RouteTable, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A change that takes effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum DirectoryEvent {
    /// A newer table is in force.
    Table(Box<RouteTable>),
    /// A replica is registered, anew or with other fields.
    Seen(ReplicaEntry),
    /// A replica is registered no more.
    Gone(ReplicaName),
}
