//! Datagrams and calls between daemons.

mod peer_error;
mod peer_input;
mod peer_link;
mod stream_frame;
mod stream_pool;

pub use peer_error::PeerError;
pub use peer_input::PeerInput;
pub use peer_link::{
    PeerLink,
    PeerSocket, //
};
