//! The callers' port: reads requests and hands answers over.

use std::{
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    time::Duration, //
};

use axum::{
    body::Body,
    extract::{
        Request,
        State, //
    },
    response::Response,
    Router, //
};
use bytes::Bytes;
use http::{
    header,
    HeaderValue,
    StatusCode, //
};
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use platform::request_id;
use schema::QueryId;
use tokio::{
    sync::{
        mpsc::UnboundedSender,
        oneshot,
        watch, //
    },
    time::{
        timeout,
        Instant, //
    },
};

use super::{
    arrived_request::ArrivedRequest,
    caller_reply::CallerReply,
    desk_event::DeskEvent, //
};
use crate::{
    lifecycle::LifePhase, //
    serving_view::ServingView,
};

/// Longest time for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// What the handlers of the callers' port share.
#[derive(Clone, Debug)]
pub(super) struct ForwardFront {
    /// Number of the last request.
    pub(super) last_query: Arc<AtomicU64>,
    /// The way to the loop.
    pub(super) events: UnboundedSender<DeskEvent>,
    /// What the loop publishes.
    pub(super) view: watch::Receiver<ServingView>,
}

/// Tells the loop when a caller leaves before it has its answer.
struct GoneGuard {
    query: QueryId,
    events: UnboundedSender<DeskEvent>,
    armed: bool,
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        if self.armed {
            // The loop is gone only when the process ends.
            let _ = self.events.send(DeskEvent::CallerGone(self.query));
        }
    }
}

/// The routes of the callers' port: every path is forwarded.
pub(super) fn forward_routes(front: ForwardFront) -> Router {
    Router::new().fallback(forward).with_state(front)
}

async fn forward(State(front): State<ForwardFront>, request: Request) -> Response {
    let reply = match front.serve(request).await {
        Ok(reply) => reply,
        Err(status) => CallerReply {
            status,
            ..CallerReply::default()
        },
    };
    let mut response = Response::new(Body::from(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    if front.view.borrow().phase > LifePhase::Ready {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

impl ForwardFront {
    /// Serves a request, or gives the status that refuses it.
    async fn serve(&self, request: Request) -> Result<CallerReply, StatusCode> {
        let started = Instant::now();
        let (head, body) = request.into_parts();
        if request_id(&head.headers).is_none() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let body = self.read_body(body).await?;
        let query = QueryId(self.last_query.fetch_add(1, Ordering::Relaxed) + 1);
        let (answer, answered) = oneshot::channel();
        let arrived = ArrivedRequest {
            query,
            head,
            body,
            age: started.elapsed(),
            answer,
        };
        let sent = self.events.send(DeskEvent::Arrived(Box::new(arrived)));
        sent.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
        let mut guard = GoneGuard {
            query,
            events: self.events.clone(),
            armed: true,
        };
        let reply = answered.await;
        guard.armed = false;
        // The loop drops a request only when the process ends; it may have run.
        reply.map_err(|_| StatusCode::BAD_GATEWAY)
    }

    async fn read_body(&self, body: Body) -> Result<Bytes, StatusCode> {
        let max = self.view.borrow().limits.body_bytes;
        match timeout(BODY_TIMEOUT, Limited::new(body, max).collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
            Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
            Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
        }
    }
}
