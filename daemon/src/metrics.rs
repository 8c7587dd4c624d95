//! Metrics of the daemon; the names contain their units.

use std::collections::HashMap;

use prometheus_client::{
    encoding::{
        text::encode,
        EncodeLabelSet, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{
            exponential_buckets,
            Histogram, //
        }, //
    },
    registry::{
        Registry,
        Unit, //
    },
};

use schema::GroupName;

/// Labels of a counter by service group and result.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ResultLabels {
    /// Name of the service group.
    pub(crate) group: String,
    /// Outcome of a request, or result of an attempt.
    pub(crate) result: &'static str,
}

/// All metrics of a daemon. Clones share their values.
#[derive(Clone, Debug)]
pub(crate) struct DaemonMetrics {
    /// Requests by group and outcome.
    pub(crate) requests: Family<ResultLabels, Counter>,
    /// Sub-queries by group and result.
    attempts: Family<ResultLabels, Counter>,
    /// Counters of `attempts`, which avoids building the labels for each sub-query.
    attempt_cache: HashMap<(GroupName, &'static str), Counter>,
    /// Hedges and retries.
    pub(crate) extra_attempts: Counter,
    /// Time from arrival to answer.
    pub(crate) latency: Histogram,
    pub(crate) in_flight: Gauge,
    /// Connections to upstreams, including those that are opening or closing.
    pub(crate) connections: Gauge,
    /// Requests that a stop cut off.
    pub(crate) requests_cut: Counter,
    pub(crate) bundle_version: Gauge,
    /// Charge units of the answers delivered to callers.
    pub(crate) charged_units: Counter,
}

/// Upper bound of the first latency bucket.
const LATENCY_MIN_S: f64 = 0.000_5;
/// Number of latency buckets; each bound is 1.5 times the one before.
const LATENCY_BUCKETS: u16 = 26;

impl DaemonMetrics {
    /// Creates the metrics and the registry that encodes them.
    pub(crate) fn register() -> (Self, Registry) {
        let metrics = Self {
            requests: Family::default(),
            attempts: Family::default(),
            attempt_cache: HashMap::new(),
            extra_attempts: Counter::default(),
            latency: Histogram::new(exponential_buckets(LATENCY_MIN_S, 1.5, LATENCY_BUCKETS)),
            in_flight: Gauge::default(),
            connections: Gauge::default(),
            requests_cut: Counter::default(),
            bundle_version: Gauge::default(),
            charged_units: Counter::default(),
        };
        let mut registry = Registry::with_prefix("pollentally");
        metrics.register_all(&mut registry);
        (metrics, registry)
    }

    /// Counts a sub-query that has ended.
    pub(crate) fn count_attempt(&mut self, group: &GroupName, result: &'static str) {
        let family = &self.attempts;
        let counter = self
            .attempt_cache
            .entry((group.clone(), result))
            .or_insert_with(|| {
                let labels = ResultLabels {
                    group: group.to_string(),
                    result,
                };
                family.get_or_create_owned(&labels)
            });
        counter.inc();
    }

    fn register_all(&self, registry: &mut Registry) {
        registry.register(
            "requests",
            "Requests by group and outcome",
            self.requests.clone(),
        );
        registry.register(
            "attempts",
            "Sub-queries by group and outcome",
            self.attempts.clone(),
        );
        registry.register(
            "extra_attempts",
            "Hedges and retries",
            self.extra_attempts.clone(),
        );
        registry.register_with_unit(
            "request_latency",
            "Time from arrival to answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests in flight",
            self.in_flight.clone(),
        );
        registry.register(
            "upstream_connections",
            "Connections to upstreams, those opening and closing included",
            self.connections.clone(),
        );
        registry.register(
            "requests_cut",
            "Requests cut by a stop",
            self.requests_cut.clone(),
        );
        registry.register(
            "bundle_version",
            "Bundle in force",
            self.bundle_version.clone(),
        );
        registry.register(
            "charged_units",
            "Charge units of the answers handed over",
            self.charged_units.clone(),
        );
    }
}

/// Encodes all metrics as text. Returns an empty text where a metric cannot be encoded.
pub(crate) fn encode_metrics(registry: &Registry) -> String {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => text,
        Err(_) => String::new(),
    }
}
