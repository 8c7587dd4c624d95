//! The HTTP client of a caller.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use axum::http::Request;
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::{
        connect::HttpConnector,
        Client, //
    },
    rt::TokioExecutor, //
};
use schema::caller::AnswerBody;

/// Time after the deadline of a request at which the caller counts its answer as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// A caller's request to a service group.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) group: String,
    pub(crate) request_id: String,
    pub(crate) user: String,
    pub(crate) deadline: Duration,
    pub(crate) query: String,
    pub(crate) once_key: Option<String>,
}

/// Sends requests over pooled connections.
#[derive(Clone)]
pub(crate) struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl CallerClient {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sends `request` to the daemon or naive frontend at `frontend`. The latency is measured from
    /// `due`, the time at which the request should have been sent, so that delays of the load
    /// generator count. The answer is `None` if none arrived in time.
    pub(crate) async fn send(
        &self,
        frontend: SocketAddr,
        due: Instant,
        request: &CallerRequest,
    ) -> (Duration, Option<AnswerBody>) {
        let exchange = self.exchange(frontend, request);
        let answer = tokio::time::timeout(request.deadline + ANSWER_SLACK, exchange).await;
        (due.elapsed(), answer.ok().flatten())
    }

    async fn exchange(&self, front: SocketAddr, request: &CallerRequest) -> Option<AnswerBody> {
        let mut call = Request::post(format!("http://{front}/v1/query/{}", request.group))
            .header("x-request-id", &request.request_id)
            .header("x-end-user", &request.user)
            .header("x-deadline-ms", request.deadline.as_millis().to_string());
        if let Some(key) = &request.once_key {
            call = call.header("idempotency-key", key);
        }
        let call = call.body(Full::from(request.query.clone())).ok()?;
        let reply = self.client.request(call).await.ok()?;
        let bytes = reply.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    }
}
