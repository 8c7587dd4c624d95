//! Log lines of forwarding, bounded in their rate.

use std::time::Duration;

use policy::forward::LoggedEvent;
use schema::TimePoint;
use slog::Logger;

use super::forward_metrics::ForwardMetrics;
use crate::{
    events,
    log_event, //
};

/// Lines about requests that went well, a second.
const PLAIN_RATE: f64 = 20.0;
/// Lines about failures, second sends and changes of belief, a second.
const TELLING_RATE: f64 = 100.0;
/// Seconds' worth of lines that may come at once.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket of log lines.
#[derive(Clone, Copy, Debug)]
struct LineBucket {
    rate: f64,
    tokens: f64,
    filled: TimePoint,
}

impl LineBucket {
    fn new(rate: f64, now: TimePoint) -> Self {
        Self {
            rate,
            tokens: rate * BURST_SECONDS,
            filled: now,
        }
    }

    fn take(&mut self, now: TimePoint) -> bool {
        let earned = now.since(self.filled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.rate * BURST_SECONDS);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Writes the log of forwarding.
#[derive(Debug)]
pub(super) struct ForwardNotes {
    /// The log, for lines that are rare.
    pub(super) log: Logger,
    metrics: ForwardMetrics,
    plain: LineBucket,
    telling: LineBucket,
}

impl ForwardNotes {
    /// A writer to `log`.
    pub(super) fn new(log: Logger, metrics: ForwardMetrics, now: TimePoint) -> Self {
        Self {
            log,
            metrics,
            plain: LineBucket::new(PLAIN_RATE, now),
            telling: LineBucket::new(TELLING_RATE, now),
        }
    }

    /// Whether a line may be written; one that may not is counted.
    pub(super) fn may_write(&mut self, now: TimePoint, telling: bool) -> bool {
        let bucket = match telling {
            true => &mut self.telling,
            false => &mut self.plain,
        };
        let granted = bucket.take(now);
        if !granted {
            self.metrics.lines_dropped.inc();
        }
        granted
    }

    /// Writes a decision. `id` gives the caller's id of a request.
    pub(super) fn write(&mut self, now: TimePoint, note: &LoggedEvent, id: &str) {
        if !self.may_write(now, true) {
            return;
        }
        let log = &self.log;
        match note {
            LoggedEvent::ExtraAttemptSent {
                query,
                service,
                replica,
                cause,
                age,
                budget_left,
            } => log_event!(
                log, events::EXTRA_ATTEMPT_SENT,
                "request" => id, "query" => query.0, "service" => %service, "replica" => %replica,
                "cause" => *cause, "age_ms" => millis(*age), "budget_left" => *budget_left,
            ),
            LoggedEvent::AttemptFailed {
                query,
                service,
                replica,
                cause,
                age,
            } => log_event!(
                log, events::ATTEMPT_FAILED,
                "request" => id, "query" => query.0, "service" => %service, "replica" => %replica,
                "cause" => *cause, "age_ms" => millis(*age),
            ),
            LoggedEvent::ReplicaListed {
                replica,
                service,
                draining,
            } => log_event!(
                log, events::REPLICA_LISTED,
                "replica" => %replica, "service" => %service, "draining" => *draining,
            ),
            LoggedEvent::ReplicaUnlisted { replica } => {
                log_event!(log, events::REPLICA_UNLISTED, "replica" => %replica);
            }
            LoggedEvent::ReplicaRecovered { replica, service } => log_event!(
                log, events::REPLICA_RECOVERED, "replica" => %replica, "service" => %service,
            ),
            LoggedEvent::ReplicaAvoided {
                replica,
                service,
                period,
            } => log_event!(
                log, events::REPLICA_AVOIDED,
                "replica" => %replica, "service" => %service, "period_ms" => millis(*period),
            ),
        }
    }
}

/// Milliseconds with a fraction, for a log line.
pub(super) fn millis(span: Duration) -> f64 {
    (span.as_secs_f64() * 10_000.0).round() / 10.0
}
