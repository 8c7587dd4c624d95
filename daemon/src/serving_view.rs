//! State of the main loop that the ports need.

use std::sync::Arc;

use schema::{
    CallerLimits,
    DeploymentSpec, //
};

use crate::lifecycle::LifePhase;

/// Published by the main loop whenever it changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServingView {
    /// The bundle in force.
    pub(crate) spec: Option<Arc<DeploymentSpec>>,
    /// Phase of the daemon's life cycle.
    pub(crate) phase: LifePhase,
    /// Limits on callers' requests; set only when requests are forwarded by routes.
    pub(crate) limits: CallerLimits,
}
