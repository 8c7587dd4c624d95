//! The bundle version in force.

use schema::{
    bundle::SignedBundle,
    BundleDigest,
    DeploymentSpec, //
};

/// The bundle version in force, which this daemon applies.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveBundle {
    /// The validated body.
    pub spec: DeploymentSpec,
    /// Digest of the canonical bytes of the body.
    pub digest: BundleDigest,
    /// Head and body bytes as received, to be passed on to peers and the store.
    pub signed: SignedBundle,
}
