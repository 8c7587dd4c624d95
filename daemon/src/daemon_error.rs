//! Errors that keep a daemon from running.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

use platform::PlatformError;
use policy::intake::IntakeError;
use schema::SchemaError;
use thiserror::Error;

use crate::{
    peering::PeerError,
    store::StoreError, //
};

/// An error that ends the process.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The settings file cannot be read.
    #[error("cannot read the settings file {path}: {error}")]
    SettingsUnreadable {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The settings are invalid.
    #[error("invalid settings: {0}")]
    SettingsBad(#[from] SchemaError),
    /// The settings file that the users' platform writes is invalid.
    #[error("invalid settings file of the platform: {0}")]
    PlatformSettingsBad(#[from] PlatformError),
    /// The limits on memory and descriptors leave no room to serve.
    #[error("limits too small: {0}")]
    LimitsTooSmall(IntakeError),
    /// A port cannot be opened.
    #[error("cannot listen on {address} for {role}: {error}")]
    ListenFailed {
        /// Who connects to the port.
        role: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The async runtime or the signal handlers cannot be set up.
    #[error("cannot set up the runtime: {0}")]
    RuntimeFailed(io::Error),
    /// The trace exporter cannot be set up.
    #[error("cannot set up the trace exporter for {collector}: {problem}")]
    ExporterFailed {
        /// URL of the collector.
        collector: String,
        /// Message of the exporter.
        problem: String,
    },
    /// A URL of one of the platform's services is invalid.
    #[error("invalid platform URL: {0}")]
    PlatformUrlBad(#[from] StoreError),
    /// The port for peers cannot be used.
    #[error("cannot open the port for peers: {0}")]
    PeerPortFailed(#[from] PeerError),
    /// The stop reached its time limit and cut requests.
    #[error("the stop exceeded its time limit and cut {requests} requests")]
    StopCut {
        /// Number of requests that were cut.
        requests: usize,
    },
}

impl DaemonError {
    /// Returns the exit code of the process for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::SettingsUnreadable { .. }
            | Self::SettingsBad(_)
            | Self::PlatformSettingsBad(_)
            | Self::LimitsTooSmall(_)
            | Self::PlatformUrlBad(_) => 2,
            Self::ListenFailed { .. } | Self::PeerPortFailed(_) => 3,
            Self::RuntimeFailed(_) | Self::ExporterFailed { .. } => 4,
            Self::StopCut { .. } => 5,
        }
    }
}
