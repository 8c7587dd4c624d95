//! Estimates of the work of requests.

/// Weight of a sample once the estimate has settled.
const WEIGHT_MIN: f64 = 0.05;
/// Largest ratio of a sample to the estimate that counts, so that pauses and stalls have little weight.
const RATIO_MAX: f64 = 4.0;
/// Number of samples in a row on the same side of the estimate from which it follows faster: requests
/// have changed, or the first samples were odd.
const RUN_LONG: u32 = 5;
/// Largest weight of a sample at the end of a long run.
const RUN_WEIGHT_MAX: f64 = 0.5;
/// Shortest work, in milliseconds.
const WORK_MIN_MS: f64 = 0.05;

/// The work of requests of one route at one service, in milliseconds at a replica of usual speed: a moving
/// geometric mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkEstimate {
    work_ms: f64,
    samples: u32,
    /// Number of the latest samples on the same side of the estimate, and whether they were above it.
    run: (u32, bool),
}

impl WorkEstimate {
    /// Adds a sample.
    pub fn record(&mut self, sample_ms: f64) {
        let sample_ms = sample_ms.max(WORK_MIN_MS);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.work_ms = sample_ms;
            return;
        }
        let ratio = (sample_ms / self.work_ms).clamp(1.0 / RATIO_MAX, RATIO_MAX);
        let above = ratio > 1.0;
        self.run = match self.run {
            (length, side) if side == above => (length.saturating_add(1), side),
            _ => (1, above),
        };
        let settled = (1.0 / f64::from(self.samples)).max(WEIGHT_MIN);
        let excess = f64::from(self.run.0.saturating_sub(RUN_LONG));
        let weight = settled.max((excess * WEIGHT_MIN).min(RUN_WEIGHT_MAX));
        self.work_ms = (self.work_ms * ratio.powf(weight)).max(WORK_MIN_MS);
    }

    /// The expected work in milliseconds; `None` before the first sample.
    pub fn work_ms(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.work_ms)
    }
}
