//! One row of the result table.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::Serialize;
use standin::FleetServer;

use crate::load_run::LoadSample;

/// The results of one policy in one fault case.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CaseRow {
    pub(crate) deployment: String,
    pub(crate) policy: String,
    pub(crate) case: String,
    pub(crate) requests: usize,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    /// 99th percentile latency of requests without scatter; the other percentiles are of scatter
    /// requests.
    pub(crate) single_p99_ms: f64,
    /// Mean coverage of the answered scatter requests, in per cent.
    pub(crate) coverage_pct: f64,
    /// Share of requests with a complete answer, in per cent.
    pub(crate) full_pct: f64,
    /// Sub-queries beyond one for each shard, in per cent.
    pub(crate) extra_pct: f64,
    /// Share of requests with outcome `not_run`, in per cent.
    pub(crate) refused_pct: f64,
    /// Share of requests with outcome `unknown`, `ran_failed` or `lost`, in per cent.
    pub(crate) failed_pct: f64,
    /// Complete and partial answers per second.
    pub(crate) useful_rate: f64,
    /// Complete and partial answers of the end user who got the fewest, relative to the mean.
    pub(crate) least_user: f64,
    /// Number of incorrect answers, of `not_run` answers to requests that ran, and of idempotency
    /// keys that ran more than once.
    pub(crate) wrong: usize,
    /// Crashes of upstreams caused by the crash query.
    pub(crate) crashes: u64,
    pub(crate) outcomes: BTreeMap<String, usize>,
    pub(crate) faults: BTreeMap<String, usize>,
    #[serde(skip)]
    pub(crate) sorted_ms: Vec<f64>,
}

/// Increase of the upstreams' counters during a run, all upstreams combined.
pub(crate) struct CounterIncrease {
    pub(crate) tasks: u64,
    pub(crate) crashes: u64,
}

impl CaseRow {
    /// Aggregates `samples`. Latencies are those of requests whose outcome is not `not_run`.
    pub(crate) fn new(
        labels: [&str; 3],
        length: Duration,
        samples: &[LoadSample],
        increase: &CounterIncrease,
        fleet: &FleetServer,
    ) -> Self {
        let served: Vec<&LoadSample> = samples
            .iter()
            .filter(|sample| sample.outcome != "not_run")
            .collect();
        let sorted_ms = sorted_latencies(&served, true);
        let single_ms = sorted_latencies(&served, false);
        let faults = find_faults(samples, fleet);
        let answered: Vec<&LoadSample> = served
            .iter()
            .copied()
            .filter(|sample| is_useful(sample))
            .collect();
        let scattered: Vec<&LoadSample> = answered
            .iter()
            .copied()
            .filter(|sample| sample.scatter)
            .collect();
        let coverage: u64 = scattered
            .iter()
            .map(|sample| u64::from(sample.share_ppm))
            .sum();
        let expected: u64 = served.iter().map(|sample| u64::from(sample.shards)).sum();
        let outcome_pct = |outcomes: &[&str]| {
            let matching = samples
                .iter()
                .filter(|sample| outcomes.contains(&sample.outcome.as_str()));
            100.0 * matching.count() as f64 / samples.len().max(1) as f64
        };
        let mut outcomes = BTreeMap::new();
        for sample in samples {
            let name = match sample.reason.as_str() {
                "" => sample.outcome.clone(),
                reason => format!("{} {reason}", sample.outcome),
            };
            *outcomes.entry(name).or_default() += 1;
        }
        Self {
            deployment: labels[0].into(),
            policy: labels[1].into(),
            case: labels[2].into(),
            requests: samples.len(),
            p50_ms: quantile(&sorted_ms, 0.5),
            p99_ms: quantile(&sorted_ms, 0.99),
            p999_ms: quantile(&sorted_ms, 0.999),
            single_p99_ms: quantile(&single_ms, 0.99),
            coverage_pct: coverage as f64 / 10_000.0 / scattered.len().max(1) as f64,
            full_pct: outcome_pct(&["complete"]),
            extra_pct: 100.0 * (increase.tasks as f64 / expected.max(1) as f64 - 1.0),
            refused_pct: outcome_pct(&["not_run"]),
            failed_pct: outcome_pct(&["unknown", "ran_failed", "lost"]),
            useful_rate: answered.len() as f64 / length.as_secs_f64(),
            least_user: least_user(samples, &answered),
            wrong: faults.values().sum(),
            crashes: increase.crashes,
            outcomes,
            faults,
            sorted_ms,
        }
    }

    /// Header line of the table.
    pub(crate) fn header() -> String {
        format!(
            "{:<8} {:<8} {:<16} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>6} {:>5} {:>5}",
            "deploy", "policy", "case", "asked", "p50ms", "p99ms", "p99.9", "one99", "cover%", "full%",
            "extra%", "refus%", "fail%", "useful/s", "least", "crash", "wrong"
        )
    }
}

impl std::fmt::Display for CaseRow {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:<8} {:<8} {:<16} {:>7} {:>7.1} {:>7.1} {:>7.1} {:>7.1} {:>7.2} {:>7.2} {:>7.2} {:>7.2} {:>7.2} {:>8.1} {:>6.2} {:>5} {:>5}",
            self.deployment,
            self.policy,
            self.case,
            self.requests,
            self.p50_ms,
            self.p99_ms,
            self.p999_ms,
            self.single_p99_ms,
            self.coverage_pct,
            self.full_pct,
            self.extra_pct,
            self.refused_pct,
            self.failed_pct,
            self.useful_rate,
            self.least_user,
            self.crashes,
            self.wrong
        )
    }
}

fn sorted_latencies(served: &[&LoadSample], scatter: bool) -> Vec<f64> {
    let selected = served.iter().filter(|sample| sample.scatter == scatter);
    let mut sorted: Vec<f64> = selected
        .map(|sample| sample.latency.as_secs_f64() * 1000.0)
        .collect();
    sorted.sort_by(f64::total_cmp);
    sorted
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let rank = (sorted.len() as f64 * share) as usize;
    sorted.get(rank.min(last)).copied().unwrap_or(0.0)
}

fn is_useful(sample: &LoadSample) -> bool {
    matches!(sample.outcome.as_str(), "complete" | "partial")
}

fn find_faults(samples: &[LoadSample], fleet: &FleetServer) -> BTreeMap<String, usize> {
    let mut faults: BTreeMap<String, usize> = BTreeMap::new();
    let mut sent: BTreeMap<&str, usize> = BTreeMap::new();
    for sample in samples {
        *sent.entry(&sample.query).or_default() += 1;
    }
    for sample in samples {
        if let Some(fault) = sample.fault {
            *faults.entry(fault.into()).or_default() += 1;
        }
        // Runs are counted by query body, so they prove nothing about a body that was sent twice.
        if sample.outcome != "not_run" || sent.get(sample.query.as_str()) != Some(&1) {
            continue;
        }
        if fleet.log().of_body(&sample.group, &sample.query) > 0 {
            *faults.entry("ran behind not_run".into()).or_default() += 1;
        }
    }
    let repeated = fleet.log().repeated_keys().len();
    if repeated > 0 {
        faults.insert("idempotency key ran twice".into(), repeated);
    }
    faults
}

fn least_user(samples: &[LoadSample], answered: &[&LoadSample]) -> f64 {
    let mut counts: BTreeMap<&str, usize> = samples
        .iter()
        .map(|sample| (sample.user.as_str(), 0))
        .collect();
    for sample in answered {
        *counts.entry(&sample.user).or_default() += 1;
    }
    let mean = answered.len() as f64 / counts.len().max(1) as f64;
    let least = counts.values().min().copied().unwrap_or(0) as f64;
    if mean > 0.0 {
        least / mean
    } else {
        0.0
    }
}
