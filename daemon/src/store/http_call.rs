//! One HTTP exchange with the platform.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header,
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
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

/// Largest answer of the platform, in bytes: the VM list of a large fleet.
const ANSWER_MAX: usize = 64 * 1024 * 1024;
/// Time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A pool of connections to one of the platform's services.
#[derive(Clone, Debug)]
pub(crate) struct HttpCall {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    body_patience: Duration,
}

impl HttpCall {
    /// A pool that connects within `patience`.
    ///
    /// # Errors
    ///
    /// [`StoreError::BadUrl`].
    pub(crate) fn new(base: &str, patience: Duration) -> Result<Self, StoreError> {
        let bad = || StoreError::BadUrl { url: base.into() };
        let uri: http::Uri = base.parse().map_err(|_| bad())?;
        if uri.scheme_str() != Some("http") || uri.authority().is_none() {
            return Err(bad());
        }
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(patience / 2));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Ok(Self {
            client,
            base: base.trim_end_matches('/').into(),
            body_patience: Duration::ZERO,
        })
    }

    /// The same pool, which gives an answer that has begun this long beside the patience of its
    /// call: the answers' sizes differ widely.
    pub(crate) fn with_body_patience(self, body_patience: Duration) -> Self {
        Self {
            body_patience,
            ..self
        }
    }

    /// Sends a request and reads its whole answer within `patience`, and the time for its body.
    ///
    /// # Errors
    ///
    /// Whether the request surely took no effect is told by the error.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        patience: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        let request = request.map_err(|_| StoreError::BadUrl {
            url: format!("{}{path}", self.base),
        })?;
        let start = Instant::now();
        let head = timeout(patience, self.client.request(request)).await;
        let response = head.map_err(|_| StoreError::NoAnswer)?.map_err(|error| {
            if error.is_connect() {
                StoreError::NotConnected
            } else {
                StoreError::NoAnswer
            }
        })?;
        let end = start + patience + self.body_patience;
        let answer = timeout_at(end, read_answer(response)).await;
        answer.unwrap_or(Err(StoreError::NoAnswer))
    }
}

/// Parses the answer of a call.
///
/// # Errors
///
/// [`StoreError::BadAnswer`].
pub(super) fn parse_answer<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(|_| StoreError::BadAnswer)
}

/// The error that a status without a meaning of its own stands for.
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

async fn read_answer(response: Response<Incoming>) -> Result<(StatusCode, Bytes), StoreError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_MAX);
    let whole = body.collect().await;
    let whole = whole.map_err(|_| StoreError::NoAnswer)?;
    Ok((status, whole.to_bytes()))
}
