//! Body of a reply to `/status`.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::peer_entry::PeerEntry;

/// State of a daemon, for operators.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StatusBody {
    /// Name of the daemon.
    pub name: String,
    /// Deployment that it belongs to.
    pub deployment: String,
    /// Data centre that it runs in.
    pub zone: String,
    /// Cell within the data centre; empty for none.
    pub cell: String,
    /// Time of its start, in microseconds of Unix time.
    pub incarnation: u64,
    /// Lifecycle phase: `starting`, `ready`, `quiet`, `draining` or `stopped`.
    pub phase: String,
    /// Version of the bundle in force; 0 for none.
    pub bundle_version: u64,
    /// Digest of the bundle in force, in hexadecimal; empty for none or an unsigned one.
    pub bundle_digest: String,
    /// Requests in flight, those waiting for a connection included.
    pub requests: u64,
    /// Sub-queries that run or wait for a connection.
    pub attempts: u64,
    /// Connections to upstreams, those opening and closing included.
    pub connections: u64,
    /// State of each service group of the bundle.
    pub groups: Vec<GroupEntry>,
    /// The other daemons known to this one.
    pub peers: Vec<PeerEntry>,
    /// State of the store: `up`, `down` or `unknown`.
    pub store: String,
    /// Charges that are not yet in the store.
    pub charges_waiting: u64,
    /// Names of the upstreams that are draining.
    pub draining: Vec<String>,
    /// Fingerprints of quarantined queries.
    pub quarantined: Vec<String>,
    /// Limits that replicas name.
    pub limits: Vec<LimitStatus>,
    /// Replicas that want a rest from this daemon.
    pub resting: Vec<RestStatus>,
    /// How the daemon has lost its links to all replicas, if it has.
    pub stranded: Option<StrandedStatus>,
    /// Requests of other daemons in flight here.
    pub relayed: u64,
    /// Data centres that are evacuated.
    pub evacuated: Vec<String>,
}

/// The rest that a replica wants.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct RestStatus {
    /// Name of the replica.
    pub replica: String,
    /// Time until the daemon sends it a request again, in milliseconds.
    pub left_ms: u64,
}

/// A daemon that has lost its links to all replicas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StrandedStatus {
    /// How it was noticed: `silent` or `unconnected`.
    pub evidence: String,
    /// Time since then, in milliseconds.
    pub lost_for_ms: u64,
    /// Daemons that forward its requests.
    pub helpers: Vec<String>,
}

/// The limit that a replica names.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct LimitStatus {
    /// Name of the replica.
    pub replica: String,
    /// Requests a second that it takes from all daemons together.
    pub limit: f64,
    /// This daemon's share, in requests a second.
    pub share: f64,
}

/// State of a service group.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct GroupEntry {
    /// Name of the group.
    pub name: String,
    /// Time after which a sub-query is hedged, in microseconds; 0 before the first reply.
    pub hedge_delay_us: u64,
    /// Whether the group as a whole is slow.
    pub slow: bool,
    /// Number of upstreams that can get requests.
    pub replicas: u64,
}
