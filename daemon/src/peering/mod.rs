//! Datagrams and calls between daemons.

mod peer_error;
mod peer_input;
mod peer_link;
mod relay_pool;
mod stream_frame;
mod stream_pool;

pub use peer_error::PeerError;
pub use peer_input::PeerInput;
pub use peer_link::{
    PeerLink,
    PeerSocket, //
};
pub use relay_pool::RelayFailure;
