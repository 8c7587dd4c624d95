//! HTTP routes of the callers' port.

use std::sync::{
    atomic::{
        AtomicU64,
        Ordering, //
    },
    Arc,
};

use axum::{
    body::Body,
    extract::{
        rejection::PathRejection,
        Path,
        Request,
        State, //
    },
    http::{
        header,
        HeaderMap,
        HeaderValue, //
    },
    response::{
        IntoResponse,
        Response, //
    },
    routing::post,
    Json,
    Router, //
};
use bytes::Bytes;
use policy::engine::QueryCall;
use schema::{
    GroupName,
    GroupSpec,
    QueryId,
    TimePoint, //
};
use tokio::sync::{
    mpsc::UnboundedSender,
    oneshot,
    watch, //
};

use crate::{
    answer_context::{
        answer_status,
        AnswerContext, //
    },
    caller_error::CallerError,
    caller_request::CallerHeaders,
    clock::DaemonClock,
    intake::{
        read_body,
        BodyFailure,
        IntakeSlot, //
    },
    lifecycle::LifePhase,
    loop_event::{
        ArrivedCall,
        CallerAnswer,
        LoopEvent, //
    },
    serving_view::ServingView,
};

/// Bytes that a header takes besides its name and value: colon, space and line end.
const HEADER_OVERHEAD_BYTES: usize = 4;

/// Initial buffer size for an answer without its items, in bytes.
const ANSWER_CAPACITY: usize = 512;
/// Additional buffer size for each item of an answer, in bytes.
const ITEM_CAPACITY: usize = 96;

const JSON_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// State shared by the handlers of the callers' port.
#[derive(Clone, Debug)]
pub(crate) struct CallerState {
    pub(crate) clock: DaemonClock,
    /// Id of the last accepted request.
    pub(crate) last_query: Arc<AtomicU64>,
    /// Largest header block, in bytes.
    pub(crate) header_max_bytes: usize,
    /// Sends events to the main loop.
    pub(crate) events: UnboundedSender<LoopEvent>,
    /// Phase and bundle, as the main loop last published them.
    pub(crate) view: watch::Receiver<ServingView>,
}

/// Reports to the main loop that a caller disconnected before its answer was ready.
struct DisconnectGuard {
    query: QueryId,
    events: UnboundedSender<LoopEvent>,
    armed: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.armed {
            let _ = self.events.send(LoopEvent::CallerGone(self.query));
        }
    }
}

/// Builds the routes of the callers' port.
pub(crate) fn caller_routes(state: CallerState) -> Router {
    Router::new()
        .route(
            "/v1/query/{group}",
            post(answer_query).fallback(reject_method),
        )
        .fallback(reject_path)
        .with_state(state)
}

async fn reject_method() -> Response {
    error_response(&CallerError::BadMethod)
}

async fn reject_path() -> Response {
    error_response(&CallerError::UnknownPath)
}

async fn answer_query(
    State(state): State<CallerState>,
    path: Result<Path<String>, PathRejection>,
    request: Request,
) -> Response {
    let result = match path {
        Ok(Path(group)) => state.serve(&group, request).await,
        Err(_) => Err(CallerError::BadPath),
    };
    let mut response = result.unwrap_or_else(|error| error_response(&error));
    if state.view.borrow().phase > LifePhase::Ready {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

impl CallerState {
    async fn serve(&self, group: &str, request: Request) -> Result<Response, CallerError> {
        let arrived = self.clock.now();
        let (parts, body) = request.into_parts();
        check_header_size(&parts.headers, self.header_max_bytes)?;
        let group = self.find_group(group)?;
        let headers = CallerHeaders::read(&parts.headers, &group.policy)?;
        let deadline = arrived + headers.deadline;
        let slot = parts.extensions.get::<IntakeSlot>();
        let body = self.read_body(slot, body, &group, deadline).await?;
        let context = AnswerContext {
            request: headers.request.clone(),
            group: group.name.clone(),
            user: headers.user.clone(),
        };
        let call = QueryCall {
            group: group.name,
            request: headers.request,
            user: headers.user,
            deadline,
            min_coverage: headers.min_coverage,
            once_key: headers.once_key,
            body,
        };
        let caller_answer = self.send_to_loop(call, headers.trace).await?;
        Ok(answer_response(&context, caller_answer))
    }

    fn find_group(&self, text: &str) -> Result<GroupSpec, CallerError> {
        let view = self.view.borrow();
        let Some(spec) = &view.spec else {
            return Err(CallerError::NotServing);
        };
        let name: Option<GroupName> = text.parse().ok();
        let group = name.and_then(|name| spec.group(&name).cloned());
        group.ok_or_else(|| CallerError::UnknownGroup {
            group: text.escape_debug().take(GroupName::MAX).collect(),
        })
    }

    async fn read_body(
        &self,
        slot: Option<&IntakeSlot>,
        body: Body,
        group: &GroupSpec,
        deadline: TimePoint,
    ) -> Result<Bytes, CallerError> {
        let max = group.policy.body_max as usize;
        let deadline_instant = self.clock.instant_at(deadline).into();
        let read = read_body(slot, body, max, deadline_instant).await;
        let body = read.map_err(|failure| match failure {
            BodyFailure::TooLarge => CallerError::BodyTooLarge { max },
            BodyFailure::Broken | BodyFailure::Late => CallerError::BodyIncomplete,
            BodyFailure::NoRoom => CallerError::NoRoom,
        })?;
        if std::str::from_utf8(&body).is_err() {
            return Err(CallerError::BodyNotText);
        }
        Ok(body)
    }

    async fn send_to_loop(
        &self,
        call: QueryCall,
        trace: Option<crate::TraceContext>,
    ) -> Result<CallerAnswer, CallerError> {
        let query = QueryId(self.last_query.fetch_add(1, Ordering::Relaxed) + 1);
        let (answer, receiver) = oneshot::channel();
        let arrived = ArrivedCall {
            query,
            call,
            trace,
            answer,
        };
        let sent = self.events.send(LoopEvent::CallArrived(Box::new(arrived)));
        sent.map_err(|_| CallerError::NotServing)?;
        let mut guard = DisconnectGuard {
            query,
            events: self.events.clone(),
            armed: true,
        };
        let caller_answer = receiver.await;
        guard.armed = false;
        caller_answer.map_err(|_| CallerError::StopCut)
    }
}

fn check_header_size(headers: &HeaderMap, max: usize) -> Result<(), CallerError> {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES);
    if sizes.sum::<usize>() > max {
        return Err(CallerError::HeadersTooLarge { max });
    }
    Ok(())
}

fn answer_response(context: &AnswerContext, caller_answer: CallerAnswer) -> Response {
    let status = answer_status(&caller_answer.answer);
    let retry = caller_answer.answer.retry_after;
    let capacity = ANSWER_CAPACITY + caller_answer.answer.items.len() * ITEM_CAPACITY;
    let body = context.build_body(caller_answer.answer, caller_answer.charge);
    let mut bytes = Vec::with_capacity(capacity);
    // Serializing numbers and text into a vector cannot fail.
    let _ = serde_json::to_writer(&mut bytes, &body);
    let mut response = (status, bytes).into_response();
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, JSON_CONTENT_TYPE);
    if let Some(retry) = retry {
        let seconds = HeaderValue::from(retry.as_millis().div_ceil(1000) as u64);
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn error_response(error: &CallerError) -> Response {
    let mut response = (error.status(), Json(error.to_body())).into_response();
    if *error == CallerError::NoRoom {
        let seconds = HeaderValue::from_static("1");
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}
