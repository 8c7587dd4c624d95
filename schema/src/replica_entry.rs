//! The directory entry that a replica registers for itself.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    ReplicaName,
    ServiceName,
    ZoneName, //
};

/// A replica registered in the directory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplicaEntry {
    /// Name under which the replica is registered.
    pub name: ReplicaName,
    /// Service that the replica belongs to.
    pub service: ServiceName,
    /// Address on which the replica accepts requests.
    pub address: SocketAddr,
    /// Data centre of the replica.
    pub zone: ZoneName,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Whether the replica is shutting down and must get no new requests.
    pub draining: bool,
    /// Remaining warm-up time, during which the replica is slow.
    pub cold_left: Duration,
    /// Start time of the replica, in milliseconds of Unix time; 0 if unknown. It distinguishes a
    /// restarted replica that has kept its name.
    pub born_ms: u64,
}

impl ReplicaEntry {
    /// Identifies the replica and its start to other daemons. A replica that starts anew, or another
    /// one at the same address, has another number.
    pub fn instance(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for text in [self.name.as_str(), self.service.as_str()] {
            hasher.update(text.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(self.address.to_string().as_bytes());
        hasher.update(&self.born_ms.to_le_bytes());
        hasher.digest()
    }
}
