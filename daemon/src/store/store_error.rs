//! Errors of calls to the platform.

use thiserror::Error;

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The URL in the settings does not have the form `http://host:port`.
    #[error("`{url}` is not an http URL")]
    BadUrl {
        /// The URL from the settings.
        url: String,
    },
    /// The connection could not be opened; the call had no effect.
    #[error("cannot connect to the platform")]
    NotConnected,
    /// The platform rejected the call because of load; the call had no effect.
    #[error("the platform rejected the call because of load")]
    Busy,
    /// The connection failed or the call timed out; the call may have taken effect.
    #[error("no answer from the platform")]
    NoAnswer,
    /// The platform rejected the call and would do so again; the call had no effect.
    #[error("the platform rejected the call with status {status}")]
    Refused {
        /// HTTP status, or 0 where the call could not be encoded.
        status: u16,
    },
    /// The answer could not be parsed; the call may have taken effect.
    #[error("the platform's answer cannot be parsed")]
    BadAnswer,
}

impl StoreError {
    /// Returns whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        match self {
            Self::BadUrl { .. } | Self::NotConnected | Self::Busy | Self::Refused { .. } => true,
            Self::NoAnswer | Self::BadAnswer => false,
        }
    }
}
