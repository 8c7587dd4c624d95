//! Errors of the stand-ins.

use std::io;

use schema::SchemaError;
use thiserror::Error;

/// A stand-in could not start, or a call named an upstream that does not exist.
#[derive(Debug, Error)]
pub enum StandinError {
    /// No port, thread or runtime was available.
    #[error("failed to start the stand-in: {0}")]
    Io(#[from] io::Error),
    /// A name or key span in the settings is not valid.
    #[error("invalid stand-in settings: {0}")]
    Schema(#[from] SchemaError),
    /// No upstream has this VM name.
    #[error("unknown upstream {0}")]
    UnknownVm(String),
}
