//! A small record of latencies in which the recent past counts most.

use std::time::Duration;

/// Buckets; with [`BUCKET_RATIO`] they reach from a tenth of a millisecond to over ten seconds.
const BUCKETS: usize = 64;
/// Upper bound of the first bucket, in milliseconds.
const FIRST_MS: f64 = 0.1;
/// Ratio of the bounds of neighbouring buckets: the error of a quantile.
const BUCKET_RATIO: f64 = 1.2;
/// Samples after which all counts are halved.
const HALVING_SAMPLES: f32 = 400.0;

/// A histogram with exponential buckets that forgets by halving.
#[derive(Clone, Debug)]
pub struct LatencySketch {
    counts: [f32; BUCKETS],
    total: f32,
}

impl Default for LatencySketch {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }
}

impl LatencySketch {
    /// Counts a latency.
    pub fn record(&mut self, latency: Duration) {
        let ms = latency.as_secs_f64() * 1000.0;
        let place = (ms / FIRST_MS).max(1.0).ln() / BUCKET_RATIO.ln();
        let place = (place as usize).min(BUCKETS - 1);
        self.counts[place] += 1.0;
        self.total += 1.0;
        if self.total < HALVING_SAMPLES {
            return;
        }
        for count in &mut self.counts {
            *count *= 0.5;
        }
        self.total *= 0.5;
    }

    /// The latency at `quantile`, between 0 and 1; `None` before the first sample.
    pub fn quantile(&self, quantile: f32) -> Option<Duration> {
        if self.total <= 0.0 {
            return None;
        }
        let rank = self.total * quantile;
        let mut seen = 0.0;
        for (place, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                let exponent = f64::from(u32::try_from(place).unwrap_or(u32::MAX)) + 1.0;
                let ms = FIRST_MS * BUCKET_RATIO.powf(exponent);
                return Some(Duration::from_secs_f64(ms / 1000.0));
            }
        }
        None
    }
}
