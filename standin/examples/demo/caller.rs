//! A caller of the daemons.

use std::{
    cell::Cell,
    io,
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
use tokio::{
    runtime::{
        Builder,
        Runtime, //
    },
    time::timeout, //
};

use crate::demo_error::DemoError;

/// Timeout of a request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A query to a service group, with its request id, user and optional idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct QueryRequest {
    pub(crate) group: String,
    pub(crate) query: String,
    pub(crate) request_id: String,
    pub(crate) user: String,
    pub(crate) once_key: Option<String>,
}

impl QueryRequest {
    pub(crate) fn new(group: &str, query: &str, request_id: &str) -> Self {
        Self {
            group: group.into(),
            query: query.into(),
            request_id: request_id.into(),
            user: "demo-user".into(),
            once_key: None,
        }
    }
}

/// An HTTP client with its own runtime and pooled connections. It sums the charges of the answers.
pub(crate) struct CallerClient {
    pub(crate) runtime: Runtime,
    pub(crate) http_client: Client<HttpConnector, Full<Bytes>>,
    charged: Cell<u64>,
}

impl CallerClient {
    pub(crate) fn new() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let http_client = Client::builder(TokioExecutor::new()).build_http();
        Ok(Self {
            runtime,
            http_client,
            charged: Cell::new(0),
        })
    }

    /// Charge units of the answers recorded so far.
    pub(crate) fn charged(&self) -> u64 {
        self.charged.get()
    }

    /// Adds the charge of an answer to the sum.
    pub(crate) fn record_charge(&self, answer: &AnswerBody) {
        let units = answer.charge.as_ref().map_or(0, |charge| charge.units);
        self.charged.set(self.charged.get() + units);
    }

    /// Sends a query, waits for its answer and records the charge.
    pub(crate) fn send_and_record(
        &self,
        daemon: SocketAddr,
        query: &QueryRequest,
    ) -> Result<AnswerBody, DemoError> {
        let answer = self.send(daemon, query)?;
        self.record_charge(&answer);
        Ok(answer)
    }

    /// Sends a query and waits for its answer, without recording the charge.
    pub(crate) fn send(
        &self,
        daemon: SocketAddr,
        query: &QueryRequest,
    ) -> Result<AnswerBody, DemoError> {
        self.runtime
            .block_on(send_query(self.http_client.clone(), daemon, query.clone()))
    }

    /// Status of a GET request; `None` if no response arrived.
    pub(crate) fn get_status(&self, daemon: SocketAddr, path: &str) -> Option<StatusCode> {
        let request = Request::get(format!("http://{daemon}{path}")).body(Full::default());
        let sent = self.http_client.request(request.ok()?);
        let response = self.runtime.block_on(sent).ok()?;
        Some(response.status())
    }
}

/// Sends a query and reads its answer.
pub(crate) async fn send_query(
    client: Client<HttpConnector, Full<Bytes>>,
    daemon: SocketAddr,
    query: QueryRequest,
) -> Result<AnswerBody, DemoError> {
    let mut request = Request::post(format!("http://{daemon}/v1/query/{}", query.group))
        .header("x-request-id", query.request_id)
        .header("x-end-user", query.user);
    if let Some(key) = query.once_key {
        request = request.header("idempotency-key", key);
    }
    let request = request
        .body(Full::new(Bytes::from(query.query)))
        .map_err(no_answer)?;
    let exchange = async {
        let response = client.request(request).await.map_err(no_answer)?;
        let body = response.into_body().collect().await.map_err(no_answer)?;
        serde_json::from_slice(&body.to_bytes()).map_err(no_answer)
    };
    timeout(ANSWER_TIMEOUT, exchange).await.map_err(no_answer)?
}

fn no_answer(error: impl ToString) -> DemoError {
    DemoError::NoAnswer(error.to_string())
}
