//! What the caller port knows of the loop.

use std::sync::Arc;

use schema::{
    CallerLimits,
    DeploymentSpec, //
};

use crate::lifecycle::LifePhase;

/// Published by the loop whenever it changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct FrontView {
    /// The bundle in force.
    pub(crate) spec: Option<Arc<DeploymentSpec>>,
    /// Where in its life the daemon is.
    pub(crate) phase: LifePhase,
    /// What callers may send, where requests are forwarded by routes.
    pub(crate) limits: CallerLimits,
}
