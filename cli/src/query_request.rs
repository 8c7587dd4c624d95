//! Queries to the caller port of a daemon, and the replies.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::Full;
use schema::caller::{
    AnswerBody,
    ErrorBody, //
};

use crate::http_client::HttpError;

/// A query to a service group, with its header values.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueryRequest {
    /// Name of the service group.
    pub(crate) group: String,
    /// Text of the query.
    pub(crate) body: String,
    /// End user that the answer is charged to.
    pub(crate) user: String,
    /// Request id; a repeated request has the same id and is charged once.
    pub(crate) request_id: String,
    /// Remaining time until the deadline; `None` takes the deadline of the bundle.
    pub(crate) deadline_ms: Option<u64>,
    /// Lowest useful coverage of an answer, in per cent.
    pub(crate) min_coverage: Option<u32>,
    /// Idempotency key; required by groups whose requests run at most once.
    pub(crate) idempotency_key: Option<String>,
}

impl QueryRequest {
    /// Builds the HTTP request to the daemon at `address`.
    pub(crate) fn to_http(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, HttpError> {
        let mut request = Request::post(format!("http://{address}/v1/query/{}", self.group))
            .header("x-request-id", &self.request_id)
            .header("x-end-user", &self.user);
        if let Some(deadline_ms) = self.deadline_ms {
            request = request.header("x-deadline-ms", deadline_ms);
        }
        if let Some(min_coverage) = self.min_coverage {
            request = request.header("x-min-coverage", min_coverage);
        }
        if let Some(key) = &self.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let body = Full::new(Bytes::from(self.body.clone()));
        let request = request.body(body);
        request.map_err(|error| HttpError::InvalidRequest(error.to_string()))
    }
}

/// Reply of a daemon to a query.
#[derive(Clone, Debug)]
pub(crate) enum QueryReply {
    /// An answer body; its outcome tells whether it is complete, partial or refused.
    Answer(Box<AnswerBody>),
    /// An error body: the request was refused before it reached the query engine.
    Error(ErrorBody),
    /// The body is neither an answer nor an error.
    Unrecognized(StatusCode),
}

impl QueryReply {
    /// Parses the body of a reply.
    pub(crate) fn parse(status: StatusCode, body: &[u8]) -> Self {
        if let Ok(answer) = serde_json::from_slice(body) {
            return Self::Answer(Box::new(answer));
        }
        match serde_json::from_slice(body) {
            Ok(error) => Self::Error(error),
            Err(_) => Self::Unrecognized(status),
        }
    }
}
