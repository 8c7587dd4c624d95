//! The daemons of a deployment, as recorded in the platform's store.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::DaemonName;

/// The daemons that share the rates of the deployment.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetRecord {
    /// Version of the record, which rises with each change.
    pub version: u64,
    /// Names of the daemons, ascending.
    pub daemons: Vec<DaemonName>,
}

/// A record as the store holds it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetEntry {
    /// The record.
    pub record: FleetRecord,
    /// Revision of the item, which a change of it has to name.
    pub revision: u64,
}
