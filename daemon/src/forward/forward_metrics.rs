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

/// Labels of a cause.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct CauseLabels {
    /// The cause.
    pub(super) cause: &'static str,
}

/// Label of a reason.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct ReasonLabel {
    /// The reason.
    pub(super) reason: &'static str,
}

/// Label of a replica's state.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct StateLabel {
    /// The state.
    pub(super) state: &'static str,
}

/// Labels of a call to the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct StoreLabels {
    /// What was asked for.
    pub(super) call: &'static str,
    /// How it ended.
    pub(super) result: &'static str,
}

/// Label of a service.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct ServiceLabel {
    /// Service.
    pub(super) service: String,
}

/// Label of a route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct RouteLabel {
    /// Route.
    pub(super) route: String,
}

/// All metrics of forwarding. Clones share their values.
#[derive(Clone, Debug)]
pub(super) struct ForwardMetrics {
    /// Requests by route and outcome.
    pub(super) requests: Family<RouteLabels, Counter>,
    /// Requests refused before they had a route to go by, by reason.
    pub(super) refusals: Family<ReasonLabel, Counter>,
    /// Time from arrival to answer by route.
    pub(super) latency: Family<RouteLabel, Histogram>,
    /// Requests sent to replicas.
    pub(super) sends: Counter,
    /// Those among them that are not the first to their service, by cause.
    pub(super) extras: Family<CauseLabels, Counter>,
    /// Failed attempts by cause.
    pub(super) failures: Family<CauseLabels, Counter>,
    /// Connections opened to replicas.
    pub(super) opened: Counter,
    /// Requests in flight.
    pub(super) in_flight: Gauge,
    /// Idle connections to replicas.
    pub(super) idle: Gauge,
    /// Replicas by state.
    pub(super) replicas: Family<StateLabel, Gauge>,
    /// Second sends that the budget of a service still allows.
    pub(super) budget: Family<ServiceLabel, Gauge>,
    /// Parts of requests that wait for a replica.
    pub(super) waiting: Gauge,
    /// Version of the table in force.
    pub(super) table: Gauge,
    /// Daemons known, this one included.
    pub(super) daemons: Gauge,
    /// Readings of the directory's store by kind and outcome.
    pub(super) store_reads: Family<StoreLabels, Counter>,
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
