//! What can keep a daemon from running.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

use platform::PlatformError;
use schema::SchemaError;
use thiserror::Error;

use crate::{
    peering::PeerError,
    store::StoreError, //
};

/// A failure that ends the process.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The settings file can't be read.
    #[error("can't read the settings {path}: {error}")]
    SettingsUnread {
        /// The file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The settings are wrong.
    #[error("bad settings: {0}")]
    SettingsBad(#[from] SchemaError),
    /// The platform's settings file is wrong.
    #[error("bad settings of the platform: {0}")]
    BootBad(#[from] PlatformError),
    /// An address can't be listened on.
    #[error("can't listen on {address} for {role}: {error}")]
    ListenFailed {
        /// Who would call there.
        role: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// The runtime or the signal handlers can't be set up.
    #[error("can't set up the runtime: {0}")]
    RuntimeFailed(io::Error),
    /// The trace exporter can't be set up.
    #[error("can't set up the trace exporter for {collector}: {problem}")]
    ExporterFailed {
        /// The collector's URL.
        collector: String,
        /// What the exporter says.
        problem: String,
    },
    /// A URL of the platform can't be used.
    #[error("can't use the platform: {0}")]
    PlatformBad(#[from] StoreError),
    /// The port for peers can't be used.
    #[error("can't talk to peers: {0}")]
    PeersFailed(#[from] PeerError),
    /// The stop took longer than its bound and cut requests.
    #[error("the stop reached its bound and cut {requests} requests")]
    StopCut {
        /// Requests cut.
        requests: usize,
    },
}

impl DaemonError {
    /// The exit code that reports this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::SettingsUnread { .. }
            | Self::SettingsBad(_)
            | Self::BootBad(_)
            | Self::PlatformBad(_) => 2,
            Self::ListenFailed { .. } | Self::PeersFailed(_) => 3,
            Self::RuntimeFailed(_) | Self::ExporterFailed { .. } => 4,
            Self::StopCut { .. } => 5,
        }
    }
}
