//! Errors of the rollout measurement.

use std::io;

use daemon::store::StoreError;
use policy::bundle::BundleError;
use schema::SchemaError;
use standin::StandinError;
use thiserror::Error;

use crate::ROLLOUT_TIMEOUT;

/// Why the measurement failed.
#[derive(Debug, Error)]
pub(crate) enum RolloutError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Schema(#[from] SchemaError),
    #[error("{0}")]
    Standin(#[from] StandinError),
    #[error("{0}")]
    Bundle(#[from] BundleError),
    #[error("{0}")]
    Platform(#[from] StoreError),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("a daemon did not start")]
    NotStarted,
    #[error("failed to write version {0}: the store did not accept it")]
    NotWritten(u64),
    #[error("version {0} was not in force at all daemons within {ROLLOUT_TIMEOUT:?}")]
    NotInForce(u64),
    #[error("a daemon was not ready within {ROLLOUT_TIMEOUT:?}")]
    NotReady,
    #[error("invalid number of changes, histogram bounds or stand-in URL")]
    InvalidValue,
}
