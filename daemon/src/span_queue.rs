//! Exports trace spans to the collector.

use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use http::Uri;
use opentelemetry::{
    trace::{
        SpanContext,
        SpanId,
        SpanKind,
        Status,
        TraceFlags,
        TraceId,
        TraceState, //
    },
    InstrumentationScope,
    KeyValue, //
};
use opentelemetry_otlp::{
    SpanExporter,
    WithExportConfig, //
};
use opentelemetry_sdk::{
    trace::{
        SpanData,
        SpanEvents,
        SpanExporter as _,
        SpanLinks, //
    },
    Resource, //
};
use schema::{
    DaemonName,
    TimePoint, //
};
use slog::Logger;
use tokio::{
    sync::mpsc::{
        channel,
        Receiver,
        Sender, //
    },
    time::sleep, //
};

use crate::{
    daemon_error::DaemonError,
    events,
    log_event,
    trace_context::TraceContext, //
};

/// Largest number of spans that wait for the collector; further ones are dropped.
const QUEUE_MAX: usize = 8192;
/// Largest number of spans in one export.
const BATCH_MAX: usize = 512;
/// Time to wait for further spans before an export.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Timeout of one export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Path of the collector's OTLP endpoint.
const TRACES_PATH: &str = "v1/traces";

/// A span that has ended.
#[derive(Clone, Debug)]
pub(crate) struct EndedSpan {
    /// Name of the span.
    pub(crate) name: &'static str,
    /// Whether the daemon served the request; otherwise it called an upstream.
    pub(crate) server: bool,
    /// Trace and span ids.
    pub(crate) trace: TraceContext,
    /// The parent span, where there is one.
    pub(crate) parent: Option<TraceContext>,
    pub(crate) start: TimePoint,
    pub(crate) end: TimePoint,
    /// Names and values of the span's attributes.
    pub(crate) attributes: Vec<(&'static str, String)>,
}

/// Queues ended spans for export and drops them when the queue is full.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpanQueue {
    sender: Option<Sender<SpanData>>,
}

impl SpanQueue {
    /// Creates the queue for the collector at `url`, and the task that exports from it.
    ///
    /// # Errors
    ///
    /// [`DaemonError::ExporterFailed`] where the exporter cannot be set up.
    pub(crate) fn open(
        url: &Uri,
        name: &DaemonName,
        log: Logger,
    ) -> Result<(Self, ExportTask), DaemonError> {
        let base = url.to_string();
        let endpoint = format!("{}/{TRACES_PATH}", base.trim_end_matches('/'));
        let exporter = SpanExporter::builder()
            .with_http()
            .with_endpoint(endpoint)
            .with_timeout(EXPORT_TIMEOUT)
            .build();
        let mut exporter = exporter.map_err(|error| DaemonError::ExporterFailed {
            collector: base,
            problem: error.to_string(),
        })?;
        let resource = Resource::builder_empty()
            .with_service_name("pollentallyd")
            .with_attribute(KeyValue::new("service.instance.id", name.to_string()));
        exporter.set_resource(&resource.build());
        let (sender, spans) = channel(QUEUE_MAX);
        let queue = Self {
            sender: Some(sender),
        };
        let export = ExportTask {
            exporter,
            spans,
            log,
        };
        Ok((queue, export))
    }

    /// Returns whether a span of `trace` is to be exported.
    pub(crate) fn should_export(&self, trace: &TraceContext) -> bool {
        trace.sampled && self.sender.is_some()
    }

    /// Queues a span.
    pub(crate) fn push(&self, span: EndedSpan) {
        if let Some(sender) = &self.sender {
            // A full queue means that the collector is slow. The span is dropped; failed exports
            // are logged.
            let _ = sender.try_send(span_data(span));
        }
    }
}

/// Exports spans until the queue is dropped.
#[derive(Debug)]
pub(crate) struct ExportTask {
    exporter: SpanExporter,
    spans: Receiver<SpanData>,
    log: Logger,
}

impl ExportTask {
    /// Runs until all senders are dropped and the queue is empty.
    pub(crate) async fn run(mut self) {
        loop {
            let mut batch = Vec::new();
            if self.spans.recv_many(&mut batch, BATCH_MAX).await == 0 {
                return;
            }
            if batch.len() < BATCH_MAX && !self.spans.is_closed() {
                sleep(BATCH_DELAY).await;
            }
            while let Ok(span) = self.spans.try_recv() {
                batch.push(span);
                if batch.len() == BATCH_MAX {
                    break;
                }
            }
            let count = batch.len();
            if self.exporter.export(batch).await.is_err() {
                log_event!(self.log, events::SPANS_LOST, "spans" => count);
            }
        }
    }
}

fn span_data(span: EndedSpan) -> SpanData {
    let attributes = span.attributes.into_iter();
    SpanData {
        span_context: SpanContext::new(
            TraceId::from(span.trace.trace_id),
            SpanId::from(span.trace.span_id),
            TraceFlags::SAMPLED,
            false,
            TraceState::default(),
        ),
        parent_span_id: span
            .parent
            .map_or(SpanId::INVALID, |parent| SpanId::from(parent.span_id)),
        parent_span_is_remote: span.server,
        span_kind: if span.server {
            SpanKind::Server
        } else {
            SpanKind::Client
        },
        name: span.name.into(),
        start_time: system_time(span.start),
        end_time: system_time(span.end),
        attributes: attributes
            .map(|(key, value)| KeyValue::new(key, value))
            .collect(),
        dropped_attributes_count: 0,
        events: SpanEvents::default(),
        links: SpanLinks::default(),
        status: Status::Unset,
        instrumentation_scope: InstrumentationScope::builder("pollentally").build(),
    }
}

fn system_time(time: TimePoint) -> SystemTime {
    UNIX_EPOCH + Duration::from_micros(time.0)
}
