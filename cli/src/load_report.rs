//! Results of a load run.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use hdrhistogram::Histogram;
use schema::caller::AnswerBody;
use serde::Serialize;

use crate::query_request::QueryReply;

/// Largest recorded latency, in microseconds; longer ones are recorded as this value.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Precision of the recorded latencies, in significant decimal digits.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;
/// Names and values of the reported quantiles.
const QUANTILES: [(&str, f64); 5] = [
    ("p50", 0.5),
    ("p90", 0.9),
    ("p99", 0.99),
    ("p99.9", 0.999),
    ("max", 1.0),
];

/// Result of one request.
#[derive(Debug)]
pub(crate) struct LoadResult {
    /// Time from when the request was scheduled, not from when it was sent, to its reply.
    pub(crate) latency: Duration,
    /// The reply; `None` if the request failed or timed out without one.
    pub(crate) reply: Option<QueryReply>,
}

/// Counts and latencies of the requests scheduled after the warm-up.
#[derive(Debug)]
pub(crate) struct LoadStats {
    latencies: Histogram<u64>,
    outcomes: BTreeMap<String, u64>,
    coverage_ppm_sum: u64,
    answer_count: u64,
    charged: u64,
    /// Requests not sent because the limit of requests in flight was reached.
    pub(crate) skipped: u64,
}

/// Report of a load run, also its JSON form.
#[derive(Debug, Serialize)]
pub(crate) struct LoadReport {
    /// Scheduled rate, in requests per second.
    pub(crate) rate: f64,
    /// Length of the measured part of the run, in seconds.
    pub(crate) seconds: f64,
    /// Number of requests by outcome.
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// Requests not sent because the limit of requests in flight was reached.
    pub(crate) skipped: u64,
    /// Complete and partial answers per second.
    pub(crate) answers_per_second: f64,
    /// Mean coverage of complete and partial answers, in millionths.
    pub(crate) coverage_ppm: u32,
    /// Sum of the units charged.
    pub(crate) charged: u64,
    /// Latency by quantile of complete and partial answers, in microseconds; empty if there are
    /// none.
    pub(crate) latency_us: BTreeMap<&'static str, u64>,
}

impl LoadStats {
    /// Statistics without any request.
    pub(crate) fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            latencies: Histogram::new_with_max(LATENCY_MAX_US, LATENCY_SIGNIFICANT_DIGITS)?,
            outcomes: BTreeMap::new(),
            coverage_ppm_sum: 0,
            answer_count: 0,
            charged: 0,
            skipped: 0,
        })
    }

    /// Records the result of a request.
    pub(crate) fn add(&mut self, result: &LoadResult) {
        let outcome = match &result.reply {
            Some(QueryReply::Answer(answer)) => {
                self.add_answer(result.latency, answer);
                outcome_label(&answer.outcome, &answer.reason)
            }
            Some(QueryReply::Error(error)) => outcome_label(&error.outcome, &error.code),
            Some(QueryReply::Unrecognized(status)) => format!("status {}", status.as_u16()),
            None => "no reply".into(),
        };
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    fn add_answer(&mut self, latency: Duration, answer: &AnswerBody) {
        if answer.outcome != "complete" && answer.outcome != "partial" {
            return;
        }
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latencies.saturating_record(micros);
        self.answer_count += 1;
        let coverage_ppm = answer
            .coverage
            .as_ref()
            .map_or(0, |coverage| coverage.share_ppm);
        self.coverage_ppm_sum += u64::from(coverage_ppm);
        self.charged += answer.charge.as_ref().map_or(0, |charge| charge.units);
    }

    /// The report of a run that lasted `measured` and scheduled `rate` requests per second.
    pub(crate) fn report(self, rate: f64, measured: Duration) -> LoadReport {
        let seconds = measured.as_secs_f64();
        let mean_coverage_ppm = self
            .coverage_ppm_sum
            .checked_div(self.answer_count)
            .unwrap_or(0);
        let latency_at =
            |(name, rank): (&'static str, f64)| (name, self.latencies.value_at_quantile(rank));
        LoadReport {
            rate,
            seconds,
            skipped: self.skipped,
            answers_per_second: self.answer_count as f64 / seconds,
            coverage_ppm: u32::try_from(mean_coverage_ppm).unwrap_or(u32::MAX),
            charged: self.charged,
            latency_us: match self.answer_count {
                0 => BTreeMap::new(),
                _ => QUANTILES.into_iter().map(latency_at).collect(),
            },
            outcomes: self.outcomes,
        }
    }
}

fn outcome_label(outcome: &str, reason: &str) -> String {
    if reason.is_empty() || outcome == "complete" {
        return outcome.into();
    }
    format!("{outcome}: {reason}")
}
