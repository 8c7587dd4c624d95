//! The median latency of the replicas of a group.

use std::time::Duration;

/// Number of latest latencies that the median is computed over.
const WINDOW_SIZE: usize = 64;
/// Number of new samples after which the median is computed again.
const REFRESH_SAMPLES: usize = 8;
/// Number of samples below which there is no median.
const SAMPLES_MIN: usize = 16;

/// The median over a ring buffer of the latest latencies.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyMedian {
    samples: Vec<Duration>,
    next_index: usize,
    since_refresh: usize,
    median: Option<Duration>,
}

impl LatencyMedian {
    /// Adds a latency.
    pub(crate) fn add(&mut self, latency: Duration) {
        if self.samples.len() < WINDOW_SIZE {
            self.samples.push(latency);
        } else {
            self.samples[self.next_index] = latency;
        }
        self.next_index = (self.next_index + 1) % WINDOW_SIZE;
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_SAMPLES && self.samples.len() >= SAMPLES_MIN {
            self.refresh();
        }
    }

    /// The median as last computed; `None` while there are too few samples.
    pub(crate) fn median(&self) -> Option<Duration> {
        self.median
    }

    fn refresh(&mut self) {
        let mut sorted = self.samples.clone();
        let middle = sorted.len() / 2;
        let (_, median, _) = sorted.select_nth_unstable(middle);
        self.median = Some(*median);
        self.since_refresh = 0;
    }
}
