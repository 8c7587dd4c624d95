//! HTTP handler of the caller port: reads requests, passes them to the loop and writes replies.

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
use platform::{
    request_id,
    set_retry_after, //
};
use schema::QueryId;
use tokio::{
    sync::{
        mpsc::UnboundedSender,
        oneshot,
        watch, //
    },
    time::Instant, //
};

use super::{
    arrived_request::ArrivedRequest,
    caller_reply::CallerReply,
    inbox_event::InboxEvent, //
};
use crate::{
    intake::{
        read_body,
        BodyFailure,
        IntakeSlot, //
    },
    lifecycle::LifePhase,
    serving_view::ServingView, //
};

/// Longest time to read a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a caller may repeat a request for which there was no room: longer than connections
/// without progress keep theirs.
const ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State shared by all handlers of the caller port.
#[derive(Clone, Debug)]
pub(super) struct RequestHandler {
    /// Number given to the last request.
    pub(super) last_query: Arc<AtomicU64>,
    /// Sends events to the forwarding loop.
    pub(super) events: UnboundedSender<InboxEvent>,
    /// Phase and limits as the loop last published them.
    pub(super) view: watch::Receiver<ServingView>,
}

/// Reports to the loop that a caller has disconnected: the handler's future is then dropped before
/// it has the answer.
struct DisconnectGuard {
    query: QueryId,
    events: UnboundedSender<InboxEvent>,
    armed: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.armed {
            // The channel is closed only when the process ends.
            let _ = self.events.send(InboxEvent::CallerGone(self.query));
        }
    }
}

/// The router of the caller port; requests of any path are forwarded.
pub(super) fn caller_routes(handler: RequestHandler) -> Router {
    Router::new().fallback(forward).with_state(handler)
}

async fn forward(State(handler): State<RequestHandler>, request: Request) -> Response {
    let reply = match handler.serve(request).await {
        Ok(reply) => reply,
        Err(status) => {
            let mut reply = CallerReply {
                status,
                ..CallerReply::default()
            };
            if status == StatusCode::SERVICE_UNAVAILABLE {
                set_retry_after(&mut reply.headers, ROOM_RETRY_AFTER);
            }
            reply
        }
    };
    let mut response = Response::new(Body::from(reply.body));
    *response.status_mut() = reply.status;
    *response.headers_mut() = reply.headers;
    if handler.view.borrow().phase > LifePhase::Ready {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

impl RequestHandler {
    /// Serves a request; the error is the status of a refusal.
    async fn serve(&self, request: Request) -> Result<CallerReply, StatusCode> {
        let read_start = Instant::now();
        let (head, body) = request.into_parts();
        if request_id(&head.headers).is_none() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let slot = head.extensions.get::<IntakeSlot>();
        let body = self.read_body(slot, body).await?;
        let query = QueryId(self.last_query.fetch_add(1, Ordering::Relaxed) + 1);
        let (reply_sender, reply_receiver) = oneshot::channel();
        let arrived = ArrivedRequest {
            query,
            head,
            body,
            read_time: read_start.elapsed(),
            relayed: None,
            shards: Vec::new(),
            reply_sender,
        };
        let sent = self.events.send(InboxEvent::Arrived(Box::new(arrived)));
        sent.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
        let mut guard = DisconnectGuard {
            query,
            events: self.events.clone(),
            armed: true,
        };
        let reply = reply_receiver.await;
        guard.armed = false;
        // The loop drops the sender only when the process ends. The request may have run by then,
        // so the status must not say that it did not.
        reply.map_err(|_| StatusCode::BAD_GATEWAY)
    }

    async fn read_body(&self, slot: Option<&IntakeSlot>, body: Body) -> Result<Bytes, StatusCode> {
        let max_bytes = self.view.borrow().limits.body_bytes;
        let deadline = Instant::now() + BODY_TIMEOUT;
        let read = read_body(slot, body, max_bytes, deadline).await;
        read.map_err(|failure| match failure {
            BodyFailure::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyFailure::Broken => StatusCode::BAD_REQUEST,
            BodyFailure::Late => StatusCode::REQUEST_TIMEOUT,
            BodyFailure::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        })
    }
}
