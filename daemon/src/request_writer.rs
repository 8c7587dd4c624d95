//! Builds the requests to upstreams.

use std::fmt::Write;

use bytes::Bytes;
use compact_str::CompactString;
use http::{
    header,
    HeaderName,
    HeaderValue,
    Method,
    Request,
    Uri, //
};
use http_body_util::Full;
use policy::engine::SendOrder;
use schema::{
    upstream::{
        RunCall,
        TaskEntry, //
    },
    AttemptId,
    Incarnation,
    TimePoint, //
};

use crate::{
    config::DaemonConfig,
    exchange::ExchangeCall,
    trace_context::TraceContext, //
};

/// Path for running sub-queries.
const RUN_PATH: &str = "/v1/run";

/// Header with the time until the deadline, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Initial buffer size for a body without its query, in bytes, so that one allocation suffices.
const CALL_CAPACITY: usize = 384;

const JSON_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/json");
const TRACE_HEADER: HeaderName = HeaderName::from_static("traceparent");
const DEADLINE_HEADER_NAME: HeaderName = HeaderName::from_static(DEADLINE_HEADER);

/// Builds the requests that one daemon sends to upstreams.
#[derive(Clone, Debug)]
pub(crate) struct RequestWriter {
    /// Start of the daemon, the second part of its attempt ids.
    pub(crate) incarnation: Incarnation,
    /// Data centre of the daemon.
    pub(crate) zone: CompactString,
    /// Cell of the daemon; empty for none.
    pub(crate) cell: CompactString,
    /// Largest reply, in bytes.
    pub(crate) reply_max_bytes: usize,
    attempt_prefix: String,
}

impl RequestWriter {
    /// Creates a writer for the daemon that `config` describes.
    pub(crate) fn new(config: &DaemonConfig, incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            zone: config.zone.as_str().into(),
            cell: config.cell.as_ref().map_or("", |cell| cell.as_str()).into(),
            reply_max_bytes: config.limits.reply_bytes as usize,
            attempt_prefix: format!("{}.{incarnation}.", config.name),
        }
    }

    /// Builds the exchange for `order` on a connection to `host`. Returns `None` where the order
    /// cannot be encoded.
    pub(crate) fn write(
        &self,
        now: TimePoint,
        order: &SendOrder,
        host: &HeaderValue,
        trace: &TraceContext,
    ) -> Option<ExchangeCall> {
        let remaining = order.deadline.since(now);
        let deadline_ms_left = u64::try_from(remaining.as_millis()).ok()?;
        let attempt_id = self.attempt_id(order.attempt);
        let body = self.body(order, attempt_id.clone(), deadline_ms_left)?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(RUN_PATH);
        let headers = request.headers_mut();
        headers.reserve(4);
        headers.insert(header::HOST, host.clone());
        headers.insert(header::CONTENT_TYPE, JSON_CONTENT_TYPE);
        headers.insert(DEADLINE_HEADER_NAME, HeaderValue::from(deadline_ms_left));
        if let Ok(value) = HeaderValue::from_bytes(&trace.to_bytes()) {
            headers.insert(TRACE_HEADER, value);
        }
        Some(ExchangeCall {
            request,
            attempt_id,
            reply_max_bytes: self.reply_max_bytes,
        })
    }

    /// Returns the attempt id as sent to the upstream, which repeats it in its reply.
    fn attempt_id(&self, attempt: AttemptId) -> String {
        // The number of an attempt has at most 20 digits.
        let mut attempt_id = String::with_capacity(self.attempt_prefix.len() + 20);
        attempt_id.push_str(&self.attempt_prefix);
        // Writing to a string cannot fail.
        let _ = write!(attempt_id, "{attempt}");
        attempt_id
    }

    fn body(&self, order: &SendOrder, attempt_id: String, deadline_ms: u64) -> Option<Bytes> {
        let query = std::str::from_utf8(&order.body).ok()?;
        let once_key = order.once_key.as_ref();
        let task = TaskEntry {
            attempt: attempt_id,
            shard: order.shard.as_str().into(),
            start: order.span.start(),
            end: order.span.end(),
            snapshot: order.snapshot.0,
            deadline_ms,
            query: query.into(),
            once_key: once_key.map_or_else(String::new, |key| key.as_str().into()),
        };
        let call = RunCall {
            group: order.group.as_str().into(),
            zone: self.zone.as_str().into(),
            cell: self.cell.as_str().into(),
            tasks: vec![task],
        };
        let mut bytes = Vec::with_capacity(CALL_CAPACITY + query.len());
        serde_json::to_writer(&mut bytes, &call).ok()?;
        Some(Bytes::from(bytes))
    }
}
