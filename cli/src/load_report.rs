//! What a load run has seen.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use hdrhistogram::Histogram;
use schema::caller::AnswerBody;
use serde::Serialize;

use crate::query_call::QueryReply;

/// Largest latency told apart, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Significant decimal digits of a latency.
const LATENCY_DIGITS: u8 = 3;
/// Quantiles reported, with their names.
const QUANTILES: [(&str, f64); 5] = [
    ("p50", 0.5),
    ("p90", 0.9),
    ("p99", 0.99),
    ("p99.9", 0.999),
    ("max", 1.0),
];

/// One request that came to its end.
#[derive(Debug)]
pub(crate) struct LoadResult {
    /// Time from when it was due to its end.
    pub(crate) latency: Duration,
    /// The reply; `None` where the connection gave none.
    pub(crate) reply: Option<QueryReply>,
}

/// Counts and latencies of the requests after the warm-up.
#[derive(Debug)]
pub(crate) struct LoadTally {
    latencies: Histogram<u64>,
    outcomes: BTreeMap<String, u64>,
    coverage_ppm: u64,
    answers: u64,
    charged: u64,
    /// Requests not sent because too many were in flight.
    pub(crate) skipped: u64,
}

/// The report of a load run.
#[derive(Debug, Serialize)]
pub(crate) struct LoadReport {
    /// Requests a second that were due.
    pub(crate) rate: f64,
    /// Measured time, in seconds.
    pub(crate) seconds: f64,
    /// Requests that came to their end, by outcome.
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// Requests not sent because too many were in flight.
    pub(crate) skipped: u64,
    /// Complete and partial answers a second.
    pub(crate) answers_per_second: f64,
    /// Mean coverage of the answers, in millionths.
    pub(crate) coverage_ppm: u32,
    /// Units charged.
    pub(crate) charged: u64,
    /// Latency of the answers by quantile, in microseconds; empty where nothing was answered.
    pub(crate) latency_us: BTreeMap<&'static str, u64>,
}

impl LoadTally {
    /// A tally with nothing in it.
    pub(crate) fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            latencies: Histogram::new_with_max(LATENCY_MAX_US, LATENCY_DIGITS)?,
            outcomes: BTreeMap::new(),
            coverage_ppm: 0,
            answers: 0,
            charged: 0,
            skipped: 0,
        })
    }

    /// Counts a request.
    pub(crate) fn add(&mut self, result: &LoadResult) {
        let outcome = match &result.reply {
            Some(QueryReply::Answer(answer)) => {
                self.add_answer(result.latency, answer);
                labelled(&answer.outcome, &answer.reason)
            }
            Some(QueryReply::Refused(error)) => labelled(&error.outcome, &error.code),
            Some(QueryReply::Other(status)) => format!("status {}", status.as_u16()),
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
        self.answers += 1;
        let share = answer.coverage.as_ref().map_or(0, |part| part.share_ppm);
        self.coverage_ppm += u64::from(share);
        self.charged += answer.charge.as_ref().map_or(0, |charge| charge.units);
    }

    /// The report over `measured` time at `rate` requests a second.
    pub(crate) fn report(self, rate: f64, measured: Duration) -> LoadReport {
        let seconds = measured.as_secs_f64();
        let mean = self.coverage_ppm.checked_div(self.answers).unwrap_or(0);
        let quantile =
            |(name, at): (&'static str, f64)| (name, self.latencies.value_at_quantile(at));
        LoadReport {
            rate,
            seconds,
            skipped: self.skipped,
            answers_per_second: self.answers as f64 / seconds,
            coverage_ppm: u32::try_from(mean).unwrap_or(u32::MAX),
            charged: self.charged,
            latency_us: match self.answers {
                0 => BTreeMap::new(),
                _ => QUANTILES.into_iter().map(quantile).collect(),
            },
            outcomes: self.outcomes,
        }
    }
}

fn labelled(outcome: &str, reason: &str) -> String {
    if reason.is_empty() || outcome == "complete" {
        return outcome.into();
    }
    format!("{outcome}: {reason}")
}
