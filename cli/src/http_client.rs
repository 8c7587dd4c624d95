//! HTTP client for the ports of the daemons.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper_util::{
    client::legacy::{
        connect::HttpConnector,
        Client, //
    },
    rt::TokioExecutor, //
};
use thiserror::Error;
use tokio::time::timeout;

/// Largest accepted response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// Why a request got no response.
#[derive(Clone, Debug, Error)]
pub(crate) enum HttpError {
    /// The connection could not be opened.
    #[error("cannot connect")]
    Connect,
    /// The connection was lost, the response is not valid HTTP, or its body is too large.
    #[error("connection lost, or response invalid, before it was fully read")]
    InvalidResponse,
    /// No complete response within the timeout.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// A part of the request, such as a header value, is not valid HTTP.
    #[error("invalid request: {0}")]
    InvalidRequest(String),
}

/// Sends requests to daemons and reuses idle connections.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl HttpClient {
    /// A client that waits at most `timeout` for each complete response.
    pub(crate) fn new(timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { client, timeout }
    }

    /// Sends a GET request for `path` to the daemon at `address`.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default());
        let request = request.map_err(|error| HttpError::InvalidRequest(error.to_string()))?;
        self.send(request).await
    }

    /// Sends a request and reads the whole response.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let outcome = timeout(self.timeout, self.exchange(request)).await;
        outcome.unwrap_or(Err(HttpError::Timeout(self.timeout)))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let result = self.client.request(request).await;
        let response = result.map_err(|error| match error.is_connect() {
            true => HttpError::Connect,
            false => HttpError::InvalidResponse,
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
        let collected = body
            .collect()
            .await
            .map_err(|_| HttpError::InvalidResponse)?;
        Ok((status, collected.to_bytes()))
    }
}
