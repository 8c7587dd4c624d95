//! Errors of the communication between daemons.

use std::{
    io,
    net::SocketAddr, //
};

use policy::peers::CodecError;
use thiserror::Error;

/// Why a call to a peer or the port for peers failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The address in the settings cannot be listened on.
    #[error("cannot listen for peers on {address}: {source}")]
    ListenFailed {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection cannot be opened, or failed during the call.
    #[error("the connection to the peer failed: {0}")]
    ConnectionFailed(#[from] io::Error),
    /// The peer did not answer in time.
    #[error("the peer did not answer in time")]
    Timeout,
    /// A frame is larger than allowed.
    #[error("a frame of {bytes} bytes exceeds the limit of {max} bytes")]
    FrameTooLarge {
        /// Size of the frame.
        bytes: usize,
        /// Largest allowed size, in bytes.
        max: usize,
    },
    /// There is no room for the frame.
    #[error("no room for the frame")]
    NoRoom,
    /// The frame is malformed or its authentication failed.
    #[error("invalid frame from the peer: {0}")]
    BadFrame(#[from] CodecError),
    /// The peer closed the connection before it had the answer.
    #[error("the peer has cancelled its call")]
    CallCancelled,
    /// The answer carries the number of another call.
    #[error("the peer's answer belongs to another call")]
    CallMismatch,
}
