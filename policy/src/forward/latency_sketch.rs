//! A histogram of latencies that gives recent samples more weight.

use std::time::Duration;

/// Number of buckets. With [`BUCKET_RATIO`] they cover latencies from 0.1 ms to more than 10 s.
const BUCKETS: usize = 64;
/// Upper bound of the first bucket, in milliseconds.
const FIRST_BOUND_MS: f64 = 0.1;
/// Ratio between the bounds of neighbouring buckets, which bounds the relative error of a quantile.
const BUCKET_RATIO: f64 = 1.2;
/// Number of samples after which all counts are halved.
const HALVING_SAMPLES: f32 = 400.0;

/// A histogram with exponential bucket bounds. Halving all counts from time to time reduces the
/// weight of old samples.
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
    /// Adds a sample.
    pub fn record(&mut self, latency: Duration) {
        let ms = latency.as_secs_f64() * 1000.0;
        let bucket = (ms / FIRST_BOUND_MS).max(1.0).ln() / BUCKET_RATIO.ln();
        let bucket = (bucket as usize).min(BUCKETS - 1);
        self.counts[bucket] += 1.0;
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
        let mut cumulative = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            cumulative += count;
            if cumulative >= rank {
                let exponent = f64::from(u32::try_from(bucket).unwrap_or(u32::MAX)) + 1.0;
                let ms = FIRST_BOUND_MS * BUCKET_RATIO.powf(exponent);
                return Some(Duration::from_secs_f64(ms / 1000.0));
            }
        }
        None
    }
}
