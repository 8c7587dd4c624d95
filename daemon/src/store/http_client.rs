//! HTTP client for the platform's services.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header,
    response,
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        connect::HttpConnector,
        Client, //
    },
    rt::TokioExecutor, //
};
use serde::de::DeserializeOwned;
use tokio::time::{
    timeout,
    timeout_at,
    Instant, //
};

use super::StoreError;
use crate::exchange::read_body;

/// Largest answer by default, in bytes: the VM list of a large fleet.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;
/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client with a pool of connections to one of the platform's services.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    body_timeout: Duration,
    answer_max_bytes: usize,
}

impl HttpClient {
    /// Creates a client for the service at `base`, with half of `call_timeout` as the connect
    /// timeout.
    ///
    /// # Errors
    ///
    /// [`StoreError::BadUrl`].
    pub(crate) fn new(base: &str, call_timeout: Duration) -> Result<Self, StoreError> {
        let bad_url = || StoreError::BadUrl { url: base.into() };
        let uri: http::Uri = base.parse().map_err(|_| bad_url())?;
        if uri.scheme_str() != Some("http") || uri.authority().is_none() {
            return Err(bad_url());
        }
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(call_timeout / 2));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Ok(Self {
            client,
            base: base.trim_end_matches('/').into(),
            body_timeout: Duration::ZERO,
            answer_max_bytes: ANSWER_MAX_BYTES,
        })
    }

    /// Limits answers to `answer_max_bytes`, where the service sends no larger ones.
    pub(crate) fn with_answer_max(self, answer_max_bytes: usize) -> Self {
        Self {
            answer_max_bytes,
            ..self
        }
    }

    /// Extends the timeout of calls by `body_timeout` once the head of the answer has arrived, as
    /// the sizes of answers differ widely.
    pub(crate) fn with_body_timeout(self, body_timeout: Duration) -> Self {
        Self {
            body_timeout,
            ..self
        }
    }

    /// Sends a request and reads the whole answer. The head must arrive within `call_timeout`, the
    /// body within `call_timeout` plus the body timeout.
    ///
    /// # Errors
    ///
    /// [`StoreError`], whose `had_no_effect` tells whether the request may have taken effect.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        call_timeout: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let answer = self.send_for_headers(method, path, body, call_timeout);
        let (head, bytes) = answer.await?;
        Ok((head.status, bytes))
    }

    /// Like [`Self::send`], and returns the headers of the answer too.
    ///
    /// # Errors
    ///
    /// [`StoreError`], as for [`Self::send`].
    pub(crate) async fn send_for_headers(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        call_timeout: Duration,
    ) -> Result<(response::Parts, Bytes), StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        let request = request.map_err(|_| StoreError::BadUrl {
            url: format!("{}{path}", self.base),
        })?;
        let start = Instant::now();
        let head = timeout(call_timeout, self.client.request(request)).await;
        let response = head.map_err(|_| StoreError::NoAnswer)?.map_err(|error| {
            if error.is_connect() {
                StoreError::NotConnected
            } else {
                StoreError::NoAnswer
            }
        })?;
        let end = start + call_timeout + self.body_timeout;
        let answer = timeout_at(end, read_answer(response, self.answer_max_bytes)).await;
        answer.unwrap_or(Err(StoreError::NoAnswer))
    }
}

/// Parses the JSON body of an answer.
///
/// # Errors
///
/// [`StoreError::BadAnswer`].
pub(super) fn parse_answer<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(|_| StoreError::BadAnswer)
}

/// Returns the error for a status that the call does not handle itself.
pub(super) fn status_error(status: StatusCode) -> StoreError {
    if status == StatusCode::TOO_MANY_REQUESTS {
        return StoreError::Busy;
    }
    if status.is_client_error() {
        return StoreError::Refused {
            status: status.as_u16(),
        };
    }
    StoreError::NoAnswer
}

async fn read_answer(
    response: Response<Incoming>,
    max_bytes: usize,
) -> Result<(response::Parts, Bytes), StoreError> {
    let (head, body) = response.into_parts();
    let body = read_body(body, max_bytes, |_| true).await;
    Ok((head, body.map_err(|_| StoreError::NoAnswer)?))
}
