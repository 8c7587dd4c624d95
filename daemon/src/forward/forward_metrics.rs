//! Metrics of the forwarding daemon.

use std::sync::atomic::AtomicU64;

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

/// Labels of a counter by route and outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct RouteLabels {
    /// Name of the route.
    pub(super) route: String,
    /// Outcome of the request.
    pub(super) result: &'static str,
}

/// Labels of a counter by client account and outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(super) struct AccountLabels {
    /// Name of the account, or `other`.
    pub(super) account: String,
    /// Outcome of the request.
    pub(super) result: &'static str,
}

/// A label whose values are constants of the source.
pub(super) type StaticLabel = [(&'static str, &'static str); 1];
/// A label whose values come from the configuration.
pub(super) type DynamicLabel = [(&'static str, String); 1];

/// All metrics of the forwarding daemon. Clones share their values.
#[derive(Clone, Debug)]
pub(super) struct ForwardMetrics {
    /// Requests by route and outcome.
    pub(super) requests: Family<RouteLabels, Counter>,
    /// Requests of client accounts by outcome.
    pub(super) account_requests: Family<AccountLabels, Counter>,
    /// Admissions by quotas that were given back because the request did not run.
    pub(super) quota_returned: Gauge,
    /// Requests refused before a replica was chosen, by reason.
    pub(super) refusals: Family<StaticLabel, Counter>,
    /// Time from arrival to answer by route.
    pub(super) latency: Family<DynamicLabel, Histogram>,
    /// Requests sent to replicas.
    pub(super) sends: Counter,
    /// Hedges and retries: requests to a service that were not the first, by cause.
    pub(super) extra_attempts: Family<StaticLabel, Counter>,
    /// Failed attempts by cause.
    pub(super) failures: Family<StaticLabel, Counter>,
    /// Fingerprints of requests that are refused because they crashed replicas.
    pub(super) quarantined: Gauge,
    /// Replicas that crashed while they ran requests of this daemon.
    pub(super) crashes: Counter,
    /// Sends of requests under which replicas have crashed, by cause.
    pub(super) suspect_sends: Family<StaticLabel, Counter>,
    /// Trials of refused requests, by outcome.
    pub(super) trials: Family<StaticLabel, Counter>,
    /// Requests that the limit of a replica held back, by outcome.
    pub(super) held_back: Family<StaticLabel, Counter>,
    /// Limits that replicas name, in requests a second.
    pub(super) limits: Family<DynamicLabel, Gauge<f64, AtomicU64>>,
    /// This daemon's share of each limit, in requests a second.
    pub(super) limit_shares: Family<DynamicLabel, Gauge<f64, AtomicU64>>,
    /// Share of all rates that this daemon may issue, from 0 to 1.
    pub(super) rate_share: Gauge<f64, AtomicU64>,
    /// Daemons that have pledged their shares to this one.
    pub(super) rate_pledges: Gauge,
    /// Whether this daemon is its own authority for shared rates (1) or another one is (0).
    pub(super) rate_authority: Gauge,
    /// Decisions by shared rates, and messages, by kind.
    pub(super) rate_counts: Family<StaticLabel, Counter>,
    /// Writes of the record of the fleet, by outcome.
    pub(super) fleet_writes: Family<StaticLabel, Counter>,
    /// Number of data centres that are evacuated.
    pub(super) evacuated: Gauge,
    /// Starts and ends of evacuations.
    pub(super) evacuations: Family<StaticLabel, Counter>,
    /// Whether this daemon has lost its links to all replicas (1) or not (0).
    pub(super) stranded: Gauge,
    /// Health checks of replicas, by outcome.
    pub(super) health_checks: Family<StaticLabel, Counter>,
    /// Requests relayed to other daemons, by outcome.
    pub(super) relays: Family<StaticLabel, Counter>,
    /// Gathers that were handed to another daemon and did not succeed there, by cause.
    pub(super) delegations: Family<StaticLabel, Counter>,
    /// Requests of other daemons in flight here.
    pub(super) relayed: Gauge,
    /// Requests of other daemons that arrived here.
    pub(super) relays_taken: Counter,
    /// Connections opened to replicas.
    pub(super) connections_opened: Counter,
    /// Requests in flight.
    pub(super) in_flight: Gauge,
    /// Idle connections to replicas.
    pub(super) idle_connections: Gauge,
    /// Replicas in the directory by state.
    pub(super) replicas: Family<StaticLabel, Gauge>,
    /// Hedges and retries that the budget still allows, by service.
    pub(super) retry_budget: Family<DynamicLabel, Gauge>,
    /// Requests to a service that wait for a usable replica.
    pub(super) waiting_parts: Gauge,
    /// Version of the route table in use; 0 before the first.
    pub(super) table_version: Gauge,
    /// Daemons in the membership, including this one.
    pub(super) daemons: Gauge,
    /// Reads of the directory's store by kind of call and outcome.
    pub(super) store_reads: Family<[(&'static str, &'static str); 2], Counter>,
    /// Age of the directory's copy, in seconds; 0 before the first read.
    pub(super) directory_age: Gauge<f64, AtomicU64>,
    /// Changes of the source of the directory, by cause.
    pub(super) source_changes: Family<StaticLabel, Counter>,
    /// How often the store became unreachable.
    pub(super) store_lost: Counter,
    /// Log lines dropped by the rate limit.
    pub(super) lines_dropped: Counter,
}

impl ForwardMetrics {
    /// Creates all metrics and a registry that exports them.
    pub(super) fn register() -> (Self, Registry) {
        let mut registry = Registry::with_prefix("pollentally");
        let metrics = Self {
            requests: Family::default(),
            account_requests: Family::default(),
            quota_returned: Gauge::default(),
            refusals: Family::default(),
            latency: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.002, 2.0, 13))
            }),
            sends: Counter::default(),
            extra_attempts: Family::default(),
            failures: Family::default(),
            quarantined: Gauge::default(),
            crashes: Counter::default(),
            held_back: Family::default(),
            limits: Family::default(),
            limit_shares: Family::default(),
            rate_share: Gauge::default(),
            rate_pledges: Gauge::default(),
            rate_authority: Gauge::default(),
            rate_counts: Family::default(),
            fleet_writes: Family::default(),
            evacuated: Gauge::default(),
            evacuations: Family::default(),
            stranded: Gauge::default(),
            health_checks: Family::default(),
            relays: Family::default(),
            suspect_sends: Family::default(),
            trials: Family::default(),
            delegations: Family::default(),
            relayed: Gauge::default(),
            relays_taken: Counter::default(),
            connections_opened: Counter::default(),
            in_flight: Gauge::default(),
            idle_connections: Gauge::default(),
            replicas: Family::default(),
            retry_budget: Family::default(),
            waiting_parts: Gauge::default(),
            table_version: Gauge::default(),
            daemons: Gauge::default(),
            store_reads: Family::default(),
            directory_age: Gauge::default(),
            source_changes: Family::default(),
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
            "forward_account_requests",
            "Requests of client accounts by outcome; accounts beyond the first 64 are counted as other",
            all.account_requests.clone(),
        );
        registry.register(
            "forward_quota_returned",
            "Admissions by quotas that were given back because the request did not run",
            all.quota_returned.clone(),
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
            "forward_evacuated",
            "Data centres that are evacuated",
            all.evacuated.clone(),
        );
        registry.register(
            "forward_evacuations",
            "Starts and ends of evacuations by change",
            all.evacuations.clone(),
        );
        registry.register(
            "forward_stranded",
            "Whether the links to all replicas are lost",
            all.stranded.clone(),
        );
        registry.register(
            "forward_health_checks",
            "Health checks of replicas by outcome",
            all.health_checks.clone(),
        );
        registry.register(
            "forward_relays",
            "Requests relayed to other daemons by outcome",
            all.relays.clone(),
        );
        registry.register(
            "forward_delegations_failed",
            "Gathers handed to other daemons that did not succeed there, by cause",
            all.delegations.clone(),
        );
        registry.register(
            "forward_relayed",
            "Requests of other daemons in flight",
            all.relayed.clone(),
        );
        registry.register(
            "forward_relays_taken",
            "Requests of other daemons that arrived",
            all.relays_taken.clone(),
        );
        registry.register(
            "forward_sends",
            "Requests sent to replicas",
            all.sends.clone(),
        );
        registry.register(
            "forward_extras",
            "Second sends to a service by cause",
            all.extra_attempts.clone(),
        );
        registry.register(
            "forward_failures",
            "Failed attempts by cause",
            all.failures.clone(),
        );
        registry.register(
            "forward_quarantined",
            "Requests refused because they crashed replicas",
            all.quarantined.clone(),
        );
        registry.register(
            "forward_crashes",
            "Replicas that crashed while they ran requests",
            all.crashes.clone(),
        );
        registry.register(
            "forward_suspect_sends",
            "Sends of requests under which replicas have crashed, by cause",
            all.suspect_sends.clone(),
        );
        registry.register(
            "forward_trials",
            "Trials of refused requests by outcome",
            all.trials.clone(),
        );
        registry.register(
            "forward_held_back",
            "Requests that the limit of a replica held back, by outcome",
            all.held_back.clone(),
        );
        registry.register(
            "forward_limit",
            "Requests a second that a replica takes from all daemons together",
            all.limits.clone(),
        );
        registry.register(
            "forward_limit_share",
            "Requests a second that this daemon may send the replica",
            all.limit_shares.clone(),
        );
        registry.register(
            "forward_rate_share",
            "Share of all shared rates that this daemon may issue",
            all.rate_share.clone(),
        );
        registry.register(
            "forward_rate_pledges",
            "Daemons that have pledged their shares of all rates to this one",
            all.rate_pledges.clone(),
        );
        registry.register(
            "forward_rate_authority",
            "Whether this daemon is the authority for shared rates",
            all.rate_authority.clone(),
        );
        registry.register(
            "forward_rates",
            "Requests admitted, refused and waiting by shared rates, questions, answers and tokens issued",
            all.rate_counts.clone(),
        );
        registry.register(
            "forward_fleet_writes",
            "Writes of the record of the fleet by outcome",
            all.fleet_writes.clone(),
        );
        registry.register(
            "forward_opened",
            "Connections opened to replicas",
            all.connections_opened.clone(),
        );
        registry.register(
            "forward_in_flight",
            "Requests in flight",
            all.in_flight.clone(),
        );
        registry.register(
            "forward_idle",
            "Idle connections to replicas",
            all.idle_connections.clone(),
        );
        registry.register(
            "forward_replicas",
            "Replicas in the directory by state",
            all.replicas.clone(),
        );
        registry.register(
            "forward_budget_left",
            "Second sends that the budget of a service still allows",
            all.retry_budget.clone(),
        );
        registry.register(
            "forward_waiting",
            "Parts of requests that wait for a replica",
            all.waiting_parts.clone(),
        );
        registry.register(
            "forward_table",
            "Version of the route table in force",
            all.table_version.clone(),
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
        registry.register_with_unit(
            "forward_directory_age",
            "Age of the copy of the directory",
            Unit::Seconds,
            all.directory_age.clone(),
        );
        registry.register(
            "forward_source_changes",
            "Changes of the source of the directory by cause",
            all.source_changes.clone(),
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
