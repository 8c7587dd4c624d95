//! The reply that a caller gets.

use bytes::Bytes;
use http::{
    HeaderMap,
    StatusCode, //
};

/// A reply that the caller port writes to the caller.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerReply {
    /// HTTP status code.
    pub(super) status: StatusCode,
    /// End-to-end headers; the HTTP library adds those of the connection.
    pub(super) headers: HeaderMap,
    /// The complete body.
    pub(super) body: Bytes,
}
