//! Failures of the measurement.

use std::io;

use daemon::store::StoreError;
use policy::bundle::BundleError;
use schema::SchemaError;
use standin::StandinError;
use thiserror::Error;

use crate::ROLLOUT_TIMEOUT;

/// Why the measurement could not be made.
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
    #[error("version {0} was not written")]
    NotWritten(u64),
    #[error("version {0} is not in force everywhere after {ROLLOUT_TIMEOUT:?}")]
    NotInForce(u64),
    #[error("a daemon is not ready after {ROLLOUT_TIMEOUT:?}")]
    NotReady,
    #[error("the URL of a stand-in or the number of changes does not parse")]
    BadText,
}
