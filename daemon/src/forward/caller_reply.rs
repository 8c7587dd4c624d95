//! Answers on their way to callers.

use bytes::Bytes;
use http::{
    HeaderMap,
    StatusCode, //
};

/// An answer on its way to the caller.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerReply {
    /// HTTP status.
    pub(super) status: StatusCode,
    /// End-to-end headers.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) body: Bytes,
}
