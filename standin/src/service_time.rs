//! The distribution of an upstream's service times.

use std::{
    f64::consts::TAU,
    time::Duration, //
};

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A lognormal distribution with a share of stragglers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceTime {
    /// Median of the times that are not stragglers.
    pub median: Duration,
    /// Standard deviation of the time's natural logarithm; zero for a constant time.
    pub sigma: f64,
    /// Share of sub-queries that are stragglers, in millionths.
    pub straggler_ppm: u32,
    /// Factor by which a straggler takes longer.
    pub straggler_factor: f64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self {
            median: Duration::from_millis(2),
            sigma: 0.4,
            straggler_ppm: 0,
            straggler_factor: 10.0,
        }
    }
}

impl ServiceTime {
    /// A distribution whose samples are all `time`.
    pub fn constant(time: Duration) -> Self {
        Self {
            median: time,
            sigma: 0.0,
            ..Default::default()
        }
    }

    /// Samples a service time.
    pub fn sample(&self, random: &mut Pcg64Mcg) -> Duration {
        // Box-Muller transform. The argument of the logarithm must not be zero.
        let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * random.random::<f64>()).cos();
        let is_straggler = random.random_range(0..1_000_000) < self.straggler_ppm;
        let factor = if is_straggler {
            self.straggler_factor
        } else {
            1.0
        };
        self.median.mul_f64((normal * self.sigma).exp() * factor)
    }
}
