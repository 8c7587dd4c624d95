//! Recent latencies of sub-queries.

use std::time::Duration;

use hdrhistogram::Histogram;
use schema::TimePoint;

/// Minimum length of a window.
const WINDOW_PERIOD: Duration = Duration::from_millis(500);
/// Minimum number of samples in a window.
const WINDOW_SAMPLES: u64 = 64;
/// Samples between two updates of the reported quantile.
const REFRESH_SAMPLES: u32 = 32;
/// Upper bound of a recorded latency, in microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Precision of the histogram, in significant digits.
const LATENCY_DIGITS: u8 = 2;
/// The group is slow while the median of the last window exceeds this multiple of the baseline.
const SLOW_FACTOR: u64 = 2;
/// Weight of a window with a higher median in the baseline: one in this many. The baseline rises
/// slowly, so that a lasting slowdown still counts as slow.
const RISE_DIVISOR: u64 = 128;
/// Weight of a window with a lower median in the baseline: one in this many.
const FALL_DIVISOR: u64 = 4;

/// Histograms of the current and the previous window. The quantile is read from the one with more
/// samples.
#[derive(Clone, Debug)]
pub(super) struct LatencyWindow {
    quantile: f64,
    recent: Option<Histogram<u64>>,
    previous: Option<Histogram<u64>>,
    opened_at: TimePoint,
    unread_samples: u32,
    at_quantile: Option<Duration>,
    baseline_us: u64,
    slow: bool,
}

impl LatencyWindow {
    /// Creates an empty window that reports the latency at `quantile`, between 0 and 1.
    pub(super) fn new(quantile: f64) -> Self {
        Self {
            quantile,
            recent: new_histogram(),
            previous: new_histogram(),
            opened_at: TimePoint(0),
            unread_samples: 0,
            at_quantile: None,
            baseline_us: 0,
            slow: false,
        }
    }

    /// Sets the quantile that is reported from the next update on.
    pub(super) fn set_quantile(&mut self, quantile: f64) {
        self.quantile = quantile;
    }

    /// Records a latency.
    pub(super) fn record(&mut self, now: TimePoint, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(LATENCY_MAX_US);
        if let Some(recent) = &mut self.recent {
            recent.saturating_record(micros.clamp(1, LATENCY_MAX_US));
        }
        self.unread_samples += 1;
        if self.unread_samples >= REFRESH_SAMPLES || self.at_quantile.is_none() {
            self.refresh(now);
        }
    }

    /// Returns the latency at the quantile; `None` before the first sample.
    pub(super) fn at_quantile(&self) -> Option<Duration> {
        self.at_quantile
    }

    /// Whether the median of the last window was far above the baseline.
    pub(super) fn is_slow(&self) -> bool {
        self.slow
    }

    fn refresh(&mut self, now: TimePoint) {
        self.unread_samples = 0;
        let (Some(recent), Some(previous)) = (&mut self.recent, &mut self.previous) else {
            return;
        };
        let complete = now.since(self.opened_at) >= WINDOW_PERIOD && recent.len() >= WINDOW_SAMPLES;
        if complete {
            let median = recent.value_at_quantile(0.5);
            std::mem::swap(recent, previous);
            recent.reset();
            self.opened_at = now;
            self.update_baseline(median);
        }
        self.at_quantile = self.read_quantile();
    }

    fn read_quantile(&self) -> Option<Duration> {
        let (recent, previous) = (self.recent.as_ref()?, self.previous.as_ref()?);
        let larger = if recent.len() >= previous.len() {
            recent
        } else {
            previous
        };
        let micros = larger.value_at_quantile(self.quantile);
        Some(Duration::from_micros(micros))
    }

    fn update_baseline(&mut self, median_us: u64) {
        if self.baseline_us == 0 {
            self.baseline_us = median_us;
        }
        self.slow = median_us > self.baseline_us * SLOW_FACTOR;
        let rises = median_us > self.baseline_us;
        let divisor = if rises { RISE_DIVISOR } else { FALL_DIVISOR };
        let weighted = self.baseline_us * (divisor - 1);
        self.baseline_us = ((weighted + median_us) / divisor).max(1);
    }
}

fn new_histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_max(LATENCY_MAX_US, LATENCY_DIGITS).ok()
}
