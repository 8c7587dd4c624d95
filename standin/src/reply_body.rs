//! Complete and truncated response bodies.

use std::{
    io,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use http::{
    header::{
        CONTENT_LENGTH,
        CONTENT_TYPE, //
    },
    Response,
    StatusCode, //
};
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use serde::Serialize;

/// A body that is sent in full, or that fails before its announced end.
#[derive(Debug, Default)]
pub(crate) struct ReplyBody {
    data: Option<Bytes>,
    truncated: bool,
}

impl ReplyBody {
    /// A response with `value` serialized as JSON.
    pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Self> {
        let bytes = serde_json::to_vec(value).unwrap_or_default();
        Self::raw(status, bytes.into())
    }

    /// A response with `data` as its body, unchanged.
    pub(crate) fn raw(status: StatusCode, data: Bytes) -> Response<Self> {
        let body = Self {
            data: Some(data),
            truncated: false,
        };
        response(status, body)
    }

    /// A response that announces the full length of `data` and fails after half of it.
    pub(crate) fn truncated(status: StatusCode, data: &Bytes) -> Response<Self> {
        let body = Self {
            data: Some(data.slice(..data.len() / 2)),
            truncated: true,
        };
        let mut response = response(status, body);
        response
            .headers_mut()
            .insert(CONTENT_LENGTH, data.len().into());
        response
    }

    /// A response with an empty body.
    pub(crate) fn empty(status: StatusCode) -> Response<Self> {
        response(status, Self::default())
    }
}

fn response(status: StatusCode, body: ReplyBody) -> Response<ReplyBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(data) = self.data.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if self.truncated {
            return Poll::Ready(Some(Err(io::ErrorKind::BrokenPipe.into())));
        }
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        if self.truncated {
            return SizeHint::default();
        }
        let size = self.data.as_ref().map_or(0, Bytes::len);
        SizeHint::with_exact(size as u64)
    }
}
