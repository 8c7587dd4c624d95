//! The operators' port.

use std::sync::Arc;

use axum::{
    extract::State,
    http::{
        header,
        StatusCode, //
    },
    response::{
        IntoResponse,
        Response, //
    },
    routing::get,
    Json,
    Router, //
};
use prometheus_client::registry::Registry;
use tokio::sync::{
    mpsc::UnboundedSender,
    oneshot,
    watch, //
};

use crate::{
    front_view::FrontView,
    lifecycle::LifePhase,
    loop_event::LoopEvent,
    metrics::encode_metrics, //
};

/// Content type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What the handlers of the operators' port share.
#[derive(Clone, Debug)]
pub(crate) struct AdminDesk {
    /// The way to the loop.
    pub(crate) events: UnboundedSender<LoopEvent>,
    /// What the loop publishes.
    pub(crate) view: watch::Receiver<FrontView>,
    /// The metrics.
    pub(crate) registry: Arc<Registry>,
}

/// The routes of the operators' port.
pub(crate) fn admin_routes(desk: AdminDesk) -> Router {
    Router::new()
        .route("/live", get(live))
        .route("/ready", get(ready))
        .route("/status", get(status))
        .route("/metrics", get(metrics))
        .with_state(desk)
}

/// The port is served by the thread of the loop: an answer shows that it turns.
async fn live() -> &'static str {
    "live\n"
}

async fn ready(State(desk): State<AdminDesk>) -> Response {
    let phase = desk.view.borrow().phase;
    let status = match phase {
        LifePhase::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{phase}\n")).into_response()
}

async fn status(State(desk): State<AdminDesk>) -> Response {
    let (answer, answered) = oneshot::channel();
    let _ = desk.events.send(LoopEvent::StatusRequested(answer));
    match answered.await {
        Ok(body) => Json(body).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn metrics(State(desk): State<AdminDesk>) -> Response {
    let kind = [(header::CONTENT_TYPE, METRICS_TYPE)];
    (kind, encode_metrics(&desk.registry)).into_response()
}
