//! Metrics of forwarding.

use prometheus_client::{
    encoding::EncodeLabelSet,
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

/// Labels of a route and an outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct RouteLabels {
    /// Route.
    pub(super) route: String,
    /// How it ended.
    pub(super) result: &'static str,
}

/// A label whose values are known beforehand.
pub(super) type FixedLabel = [(&'static str, &'static str); 1];
/// A label whose values come from the configuration.
pub(super) type NamedLabel = [(&'static str, String); 1];

/// All metrics of forwarding. Clones share their values.
#[derive(Clone, Debug)]
pub(super) struct ForwardMetrics {
    /// Requests by route and outcome.
    pub(super) requests: Family<RouteLabels, Counter>,
    /// Requests refused before they had a route to go by, by reason.
    pub(super) refusals: Family<FixedLabel, Counter>,
    /// Time from arrival to answer by route.
    pub(super) latency: Family<NamedLabel, Histogram>,
    /// Requests sent to replicas.
    pub(super) sends: Counter,
    /// Those among them that are not the first to their service, by cause.
    pub(super) extras: Family<FixedLabel, Counter>,
    /// Failed attempts by cause.
    pub(super) failures: Family<FixedLabel, Counter>,
    /// Connections opened to replicas.
    pub(super) opened: Counter,
    /// Requests in flight.
    pub(super) in_flight: Gauge,
    /// Idle connections to replicas.
    pub(super) idle: Gauge,
    /// Replicas by state.
    pub(super) replicas: Family<FixedLabel, Gauge>,
    /// Second sends that the budget of a service still allows.
    pub(super) budget: Family<NamedLabel, Gauge>,
    /// Parts of requests that wait for a replica.
    pub(super) waiting: Gauge,
    /// Version of the table in force.
    pub(super) table: Gauge,
    /// Daemons known, this one included.
    pub(super) daemons: Gauge,
    /// Readings of the directory's store by kind and outcome.
    pub(super) store_reads: Family<[(&'static str, &'static str); 2], Counter>,
    /// Times that the directory's store was lost.
    pub(super) store_lost: Counter,
    /// Log lines left out because there were too many.
    pub(super) lines_dropped: Counter,
}

impl ForwardMetrics {
    /// Registers all metrics.
    pub(super) fn register() -> (Self, Registry) {
        let mut registry = Registry::with_prefix("pollentally");
        let metrics = Self {
            requests: Family::default(),
            refusals: Family::default(),
            latency: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.002, 2.0, 13))
            }),
            sends: Counter::default(),
            extras: Family::default(),
            failures: Family::default(),
            opened: Counter::default(),
            in_flight: Gauge::default(),
            idle: Gauge::default(),
            replicas: Family::default(),
            budget: Family::default(),
            waiting: Gauge::default(),
            table: Gauge::default(),
            daemons: Gauge::default(),
            store_reads: Family::default(),
            store_lost: Counter::default(),
            lines_dropped: Counter::default(),
        };
        let all = &metrics;
        registry.register(
            "forward_requests",
            "Requests by route and outcome",
            all.requests.clone(),
        );
        registry.register(
            "forward_refusals",
            "Requests refused before they had a route to go by",
            all.refusals.clone(),
        );
        registry.register_with_unit(
            "forward_latency",
            "Time from arrival to answer by route",
            Unit::Seconds,
            all.latency.clone(),
        );
        registry.register(
            "forward_sends",
            "Requests sent to replicas",
            all.sends.clone(),
        );
        registry.register(
            "forward_extras",
            "Second sends to a service by cause",
            all.extras.clone(),
        );
        registry.register(
            "forward_failures",
            "Failed attempts by cause",
            all.failures.clone(),
        );
        registry.register(
            "forward_opened",
            "Connections opened to replicas",
            all.opened.clone(),
        );
        registry.register(
            "forward_in_flight",
            "Requests in flight",
            all.in_flight.clone(),
        );
        registry.register(
            "forward_idle",
            "Idle connections to replicas",
            all.idle.clone(),
        );
        registry.register(
            "forward_replicas",
            "Replicas in the directory by state",
            all.replicas.clone(),
        );
        registry.register(
            "forward_budget_left",
            "Second sends that the budget of a service still allows",
            all.budget.clone(),
        );
        registry.register(
            "forward_waiting",
            "Parts of requests that wait for a replica",
            all.waiting.clone(),
        );
        registry.register(
            "forward_table",
            "Version of the route table in force",
            all.table.clone(),
        );
        registry.register(
            "forward_daemons",
            "Daemons known, this one included",
            all.daemons.clone(),
        );
        registry.register(
            "forward_store_reads",
            "Readings of the directory's store by kind and outcome",
            all.store_reads.clone(),
        );
        registry.register(
            "forward_store_lost",
            "Times that the directory's store was lost",
            all.store_lost.clone(),
        );
        registry.register(
            "forward_lines_dropped",
            "Log lines left out because there were too many",
            all.lines_dropped.clone(),
        );
        (metrics, registry)
    }
}
