//! HTTP routes of the operators' port.

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
    lifecycle::LifePhase,
    loop_event::LoopEvent,
    metrics::encode_metrics,
    serving_view::ServingView, //
};

const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// State shared by the handlers of the operators' port.
#[derive(Clone, Debug)]
pub(crate) struct AdminState {
    /// Sends events to the main loop.
    pub(crate) events: UnboundedSender<LoopEvent>,
    /// Phase and bundle, as the main loop last published them.
    pub(crate) view: watch::Receiver<ServingView>,
    pub(crate) registry: Arc<Registry>,
}

/// Builds the routes of the operators' port.
pub(crate) fn admin_routes(state: AdminState) -> Router {
    Router::new()
        .route("/live", get(live))
        .route("/ready", get(ready))
        .route("/status", get(status))
        .route("/metrics", get(metrics))
        .with_state(state)
}

/// Runs on the thread of the main loop, so a reply shows that the loop makes progress.
async fn live() -> &'static str {
    "live\n"
}

async fn ready(State(state): State<AdminState>) -> Response {
    let phase = state.view.borrow().phase;
    let status = match phase {
        LifePhase::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{phase}\n")).into_response()
}

async fn status(State(state): State<AdminState>) -> Response {
    let (sender, receiver) = oneshot::channel();
    let _ = state.events.send(LoopEvent::StatusRequested(sender));
    match receiver.await {
        Ok(body) => Json(body).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn metrics(State(state): State<AdminState>) -> Response {
    let content_type = [(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)];
    (content_type, encode_metrics(&state.registry)).into_response()
}
