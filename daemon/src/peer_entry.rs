//! Entry of `/status` for another daemon.

use serde::{
    Deserialize,
    Serialize, //
};

/// Another daemon of the deployment, as this daemon knows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct PeerEntry {
    /// Name of the daemon.
    pub name: String,
    /// Data centre that it runs in.
    pub zone: String,
    /// Membership state: `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Version of its bundle as last reported; 0 if it is not known.
    pub bundle_version: u64,
}
