//! Failures of calls to the platform.

use thiserror::Error;

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The address in the settings is not a URL of the form `http://host:port`.
    #[error("{url} is not an http URL")]
    BadUrl {
        /// The address.
        url: String,
    },
    /// No connection: the call surely took no effect.
    #[error("no connection to the platform")]
    NotConnected,
    /// The platform refuses for now and says so: the call surely took no effect.
    #[error("the platform is too busy")]
    Busy,
    /// The connection broke or the time ran out: the call may have taken effect.
    #[error("no answer from the platform")]
    NoAnswer,
    /// The platform refuses the call as it is.
    #[error("the platform answered with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer is not of the form agreed; the call may have taken effect.
    #[error("the platform's answer does not parse")]
    BadAnswer,
}

impl StoreError {
    /// Whether the call surely took no effect.
    pub fn surely_not_applied(&self) -> bool {
        match self {
            Self::BadUrl { .. } | Self::NotConnected | Self::Busy | Self::Refused { .. } => true,
            Self::NoAnswer | Self::BadAnswer => false,
        }
    }
}
