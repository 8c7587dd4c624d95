//! What a replica says of itself in the directory.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ReplicaName,
    ServiceName,
    ZoneName, //
};

/// A registered replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaEntry {
    /// Its identity.
    pub name: ReplicaName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it leaves: it gets no new work.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
    /// Unix milliseconds of its start; 0 where it does not say. A replica may start again under the
    /// same name.
    pub born_ms: u64,
}
