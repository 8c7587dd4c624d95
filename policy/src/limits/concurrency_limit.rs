//! An adaptive limit on the requests of a group that run at once.
//!
//! The limit follows the latency of requests. It starts small and doubles until the median latency
//! of a window exceeds [`QUEUE_LATENCY_FACTOR`] times the baseline, which is the latency without a
//! queue. From then on it is reduced while the median exceeds that bound, and grows slowly in
//! windows in which it was reached.
//!
//! Several daemons send to the same replicas, so a single daemon can't measure the baseline under
//! load: the other daemons would use the capacity that it leaves. Therefore all daemons halve their
//! limits briefly at the same times, which are computed from the clock alone. If requests become
//! much faster in such a probe, the limit is too large, whatever the baseline is. If they become no
//! faster, they are slow for another reason than the load, such as a lost replica: then the
//! baseline is raised, the reductions are undone, and the limit doubles again until it is found.

use std::time::Duration;

use schema::TimePoint;

/// Requests in a window, after which the limit is adjusted.
const WINDOW_REQUESTS: usize = 16;
/// Multiple of the baseline beyond which the median latency indicates a queue.
const QUEUE_LATENCY_FACTOR: f64 = 2.0;
/// Factor by which a congested window reduces the limit.
const DECREASE_FACTOR: f64 = 0.9;
/// Lowest fraction of the limit that reductions may leave before a probe has confirmed that they
/// help.
const UNCONFIRMED_FACTOR: f64 = 0.4;
/// Increase of the limit after a window in which it was reached.
const LIMIT_INCREMENT: f64 = 0.5;
/// Factor by which the baseline grows in each window, so that it follows lasting changes.
const BASELINE_GROWTH_FACTOR: f64 = 1.002;
/// Time from the start of one probe to the start of the next.
const PROBE_PERIOD: Duration = Duration::from_secs(2);
/// Duration of a probe.
const PROBE_DURATION: Duration = Duration::from_millis(250);
/// Time at the start of a probe that is not measured, because queues are still draining.
const PROBE_DRAIN_TIME: Duration = Duration::from_millis(50);
/// Requests of a probe that are measured.
const PROBE_REQUESTS: usize = 6;
/// Fraction of the limit that is in force during a probe.
const PROBE_LIMIT_FACTOR: f64 = 0.5;
/// If the probe's median latency is below this fraction of the window's, the limit is too large.
const PROBE_QUEUED_RATIO: f64 = 0.65;
/// Factor by which such a probe reduces the limit.
const PROBE_DECREASE_FACTOR: f64 = 0.7;
/// If the probe's median latency is above this fraction of the window's, the load is not what makes
/// requests slow.
const PROBE_UNQUEUED_RATIO: f64 = 0.8;
/// Smallest limit.
const LIMIT_MIN: f64 = 2.0;
/// Limit before the first window.
const LIMIT_INITIAL: f64 = 4.0;
/// Fraction of the time to its deadline after which a request counts as late.
const LATE_RATIO: f64 = 0.9;

/// An adaptive limit on the requests that run at once.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    max: f64,
    baseline: Option<f64>,
    window_median: f64,
    window_latencies: Vec<f64>,
    late_count: usize,
    limit_reached: bool,
    doubling: bool,
    /// Limit before the reductions that no probe has evaluated yet.
    limit_before_decreases: Option<f64>,
    last_probe: u64,
    probe_latencies: Vec<f64>,
}

impl ConcurrencyLimit {
    /// Starts at the initial limit; the limit never exceeds `max`.
    pub(crate) fn new(max: usize) -> Self {
        let max = (max as f64).max(LIMIT_MIN);
        Self {
            limit: LIMIT_INITIAL.min(max),
            max,
            baseline: None,
            window_median: 0.0,
            window_latencies: Vec::with_capacity(WINDOW_REQUESTS),
            late_count: 0,
            limit_reached: false,
            doubling: true,
            limit_before_decreases: None,
            last_probe: 0,
            probe_latencies: Vec::new(),
        }
    }

    /// Requests that may run at `now`; fewer during a probe.
    pub(crate) fn current_limit(&self, now: TimePoint) -> usize {
        let probing = since_probe_start(now) < PROBE_DURATION && !self.doubling;
        let factor = if probing { PROBE_LIMIT_FACTOR } else { 1.0 };
        (self.limit * factor).max(1.0) as usize
    }

    /// Records that a request had to wait for the limit. Only a limit that was reached is adjusted.
    pub(crate) fn record_reached(&mut self) {
        self.limit_reached = true;
    }

    /// Longest latency that does not indicate a queue; `None` before the first window.
    pub(crate) fn latency_threshold(&self) -> Option<Duration> {
        self.baseline
            .map(|baseline| Duration::from_secs_f64(baseline * QUEUE_LATENCY_FACTOR))
    }

    /// Records a request that ran from `started` until `now` and had `time_limit` for it.
    pub(crate) fn record_request(
        &mut self,
        now: TimePoint,
        started: TimePoint,
        time_limit: Duration,
    ) {
        let latency = now.since(started).as_secs_f64();
        let since_start = since_probe_start(started);
        if since_start < PROBE_DURATION && !self.doubling {
            if since_start >= PROBE_DRAIN_TIME {
                self.record_probe_latency(started, latency);
            }
            return;
        }
        self.window_latencies.push(latency);
        self.late_count += usize::from(latency > time_limit.as_secs_f64() * LATE_RATIO);
        if self.window_latencies.len() >= WINDOW_REQUESTS {
            self.close_window();
        }
    }

    /// Records the latency of a request that was started in a probe.
    fn record_probe_latency(&mut self, started: TimePoint, latency: f64) {
        let probe = started.0 / PROBE_PERIOD.as_micros() as u64;
        if self.last_probe == probe {
            return;
        }
        self.probe_latencies.push(latency);
        if self.probe_latencies.len() < PROBE_REQUESTS {
            return;
        }
        self.last_probe = probe;
        let probe_median = median(&mut self.probe_latencies);
        self.probe_latencies.clear();
        self.evaluate_probe(probe_median);
    }

    /// Compares the median latency of a probe with that of the last window.
    fn evaluate_probe(&mut self, probe_median: f64) {
        let baseline = self.baseline.unwrap_or(probe_median);
        self.baseline = Some(baseline.min(probe_median));
        let limit_before_decreases = self.limit_before_decreases.take();
        if probe_median < self.window_median * PROBE_QUEUED_RATIO {
            self.limit = (self.limit * PROBE_DECREASE_FACTOR).max(LIMIT_MIN);
            return;
        }
        if probe_median > baseline * QUEUE_LATENCY_FACTOR
            && probe_median > self.window_median * PROBE_UNQUEUED_RATIO
        {
            self.baseline = Some(probe_median);
            self.limit = limit_before_decreases.unwrap_or(self.limit);
            self.doubling = true;
        }
    }

    /// Adjusts the baseline and the limit after a full window.
    fn close_window(&mut self) {
        self.window_median = median(&mut self.window_latencies);
        let late = self.late_count > WINDOW_REQUESTS / 2;
        self.window_latencies.clear();
        self.late_count = 0;
        let grown = self
            .baseline
            .map(|baseline| baseline * BASELINE_GROWTH_FACTOR);
        let baseline = grown.map_or(self.window_median, |grown| grown.min(self.window_median));
        self.baseline = Some(baseline);
        let congested = late || self.window_median > baseline * QUEUE_LATENCY_FACTOR;
        match (self.limit_reached, congested) {
            (true, true) => self.decrease(),
            (true, false) => self.increase(),
            (false, _) => {}
        }
        self.limit_reached = false;
    }

    fn decrease(&mut self) {
        if self.doubling {
            self.doubling = false;
            self.limit = (self.limit / 2.0).max(LIMIT_MIN);
            return;
        }
        let limit_before = *self.limit_before_decreases.get_or_insert(self.limit);
        let lower_bound = LIMIT_MIN.max(limit_before * UNCONFIRMED_FACTOR);
        self.limit = (self.limit * DECREASE_FACTOR).max(lower_bound);
    }

    fn increase(&mut self) {
        let growth = if self.doubling {
            self.limit
        } else {
            LIMIT_INCREMENT
        };
        self.limit = (self.limit + growth).min(self.max);
    }
}

/// Time since the last probe began.
fn since_probe_start(now: TimePoint) -> Duration {
    let period = PROBE_PERIOD.as_micros() as u64;
    Duration::from_micros(now.0 % period)
}

fn median(latencies: &mut [f64]) -> f64 {
    let middle = latencies.len() / 2;
    let (_, median, _) = latencies.select_nth_unstable_by(middle, f64::total_cmp);
    *median
}
