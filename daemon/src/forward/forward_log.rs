//! Rate-limited log of the forwarding daemon.

use std::time::Duration;

use policy::{
    forward::LoggedEvent,
    rates::RateEvent, //
};
use schema::{
    DaemonName,
    ReplicaName,
    RequestRate,
    TimePoint, //
};
use slog::Logger;

use super::forward_metrics::ForwardMetrics;
use crate::{
    events,
    log_event, //
};

/// Rate limit for lines on successful requests.
const ROUTINE_LINES_PER_SECOND: f64 = 20.0;
/// Rate limit for lines on failures, extra attempts and changes in the known replicas.
const NOTABLE_LINES_PER_SECOND: f64 = 100.0;
/// Rate limit for lines on requests without a valid key, which must not crowd out the others.
const KEY_LINES_PER_SECOND: f64 = 20.0;
/// Capacity of a token bucket, in seconds at its rate.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket in which one token allows one log line.
#[derive(Clone, Copy, Debug)]
struct LineBucket {
    lines_per_second: f64,
    tokens: f64,
    refilled_at: TimePoint,
}

impl LineBucket {
    fn new(lines_per_second: f64, now: TimePoint) -> Self {
        Self {
            lines_per_second,
            tokens: lines_per_second * BURST_SECONDS,
            refilled_at: now,
        }
    }

    fn try_take(&mut self, now: TimePoint) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.lines_per_second;
        self.tokens = (self.tokens + refill).min(self.lines_per_second * BURST_SECONDS);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Writes log lines within the rate limits.
#[derive(Debug)]
pub(super) struct ForwardLog {
    /// The underlying logger, for rare lines that need no rate limit.
    pub(super) logger: Logger,
    metrics: ForwardMetrics,
    routine: LineBucket,
    notable: LineBucket,
    keys: LineBucket,
}

impl ForwardLog {
    /// A log with full buckets that writes to `logger`.
    pub(super) fn new(logger: Logger, metrics: ForwardMetrics, now: TimePoint) -> Self {
        Self {
            logger,
            metrics,
            routine: LineBucket::new(ROUTINE_LINES_PER_SECOND, now),
            notable: LineBucket::new(NOTABLE_LINES_PER_SECOND, now),
            keys: LineBucket::new(KEY_LINES_PER_SECOND, now),
        }
    }

    /// Takes a token from the bucket for notable or for routine lines. If there is none, the line
    /// is counted as dropped and must not be written.
    pub(super) fn take_permit(&mut self, now: TimePoint, notable: bool) -> bool {
        let bucket = match notable {
            true => &mut self.notable,
            false => &mut self.routine,
        };
        let granted = bucket.try_take(now);
        self.count_dropped(granted);
        granted
    }

    /// The same from the bucket for requests without a valid key.
    pub(super) fn take_key_permit(&mut self, now: TimePoint) -> bool {
        let granted = self.keys.try_take(now);
        self.count_dropped(granted);
        granted
    }

    fn count_dropped(&self, granted: bool) {
        if !granted {
            self.metrics.lines_dropped.inc();
        }
    }

    /// Writes an event of the engine, within the rate limit. `id` is the caller's id of the
    /// request, empty if there is none.
    pub(super) fn write(&mut self, now: TimePoint, event: &LoggedEvent, id: &str) {
        // These events are many, and most of their requests are served.
        let is_routine = match event {
            LoggedEvent::RequestHeldBack { outcome, .. } => *outcome == "elsewhere",
            LoggedEvent::RequestRelayed { .. } => true,
            LoggedEvent::RelayEnded { outcome, .. } => outcome.as_str() == "answered",
            _ => false,
        };
        if !self.take_permit(now, !is_routine) {
            return;
        }
        let logger = &self.logger;
        match event {
            LoggedEvent::ExtraAttemptSent {
                query,
                service,
                replica,
                cause,
                age,
                budget_left,
            } => log_event!(
                logger, events::EXTRA_ATTEMPT_SENT,
                "request" => id, "query" => query.0, "service" => %service, "replica" => %replica,
                "cause" => *cause, "age_ms" => millis(*age), "budget_left" => *budget_left,
            ),
            LoggedEvent::AttemptFailed {
                query,
                service,
                replica,
                cause,
                status,
                age,
                print,
            } => log_event!(
                logger, events::ATTEMPT_FAILED,
                "request" => id, "query" => query.0, "service" => %service, "replica" => %replica,
                "cause" => *cause, "status" => *status, "age_ms" => millis(*age), "print" => %print,
            ),
            LoggedEvent::ReplicaCrashed {
                replica,
                service,
                requests,
            } => log_event!(
                logger, events::REPLICA_CRASHED,
                "replica" => %replica, "service" => %service, "requests" => *requests,
            ),
            LoggedEvent::CrashCounted {
                query,
                service,
                replica,
                print,
                scope,
                crashes,
                refused_for,
            } => {
                log_event!(
                    logger, events::CRASH_COUNTED,
                    "request" => id, "query" => query.0, "service" => %service,
                    "replica" => %replica, "print" => %print, "scope" => scope.as_str(),
                    "crashes" => *crashes,
                );
                if let Some(period) = refused_for {
                    log_event!(
                        logger, events::REQUEST_QUARANTINED,
                        "service" => %service, "print" => %print, "crashes" => *crashes,
                        "period_ms" => millis(*period),
                    );
                }
            }
            LoggedEvent::CrashesRefuted {
                query,
                service,
                print,
                crashes,
            } => log_event!(
                logger, events::CRASHES_REFUTED,
                "request" => id, "query" => query.0, "service" => %service, "print" => %print,
                "crashes" => *crashes,
            ),
            LoggedEvent::SuspectSent {
                query,
                service,
                replica,
                print,
                ended,
                cause,
                left,
            } => log_event!(
                logger, events::SUSPECT_SENT,
                "request" => id, "query" => query.0, "service" => %service, "replica" => %replica,
                "print" => %print, "ended" => *ended, "cause" => *cause, "left" => *left,
            ),
            LoggedEvent::TrialClaimed {
                query,
                print,
                outcome,
                left,
            } => log_event!(
                logger, events::TRIAL_CLAIMED,
                "request" => id, "query" => query.0, "print" => %print, "outcome" => *outcome,
                "left" => *left,
            ),
            LoggedEvent::TrialPassed { query, print } => log_event!(
                logger, events::TRIAL_PASSED,
                "request" => id, "query" => query.0, "print" => %print,
            ),
            LoggedEvent::TrialReturned { query, print } => log_event!(
                logger, events::TRIAL_RETURNED,
                "request" => id, "query" => query.0, "print" => %print,
            ),
            LoggedEvent::CrashReported {
                print,
                crashes,
                replicas,
            } => log_event!(
                logger, events::CRASH_REPORTED,
                "print" => %print, "crashes" => *crashes, "replicas" => names(replicas),
            ),
            LoggedEvent::RequestStopped {
                query,
                service,
                print,
                scope,
                crashes,
                replicas,
                until,
            } => log_event!(
                logger, events::REQUEST_STOPPED,
                "request" => id, "query" => query.0, "service" => %service, "print" => %print,
                "scope" => scope.as_str(), "crashes" => *crashes, "replicas" => names(replicas),
                "retry_after_ms" => millis(until.since(now)),
            ),
            LoggedEvent::LimitChanged {
                replica,
                service,
                limit,
                before,
                from,
            } => log_event!(
                logger, events::LIMIT_CHANGED,
                "replica" => %replica, "service" => %service,
                "limit" => limit.map(RequestRate::per_second),
                "before" => before.map(RequestRate::per_second),
                "from" => from.as_ref().map(DaemonName::as_str),
            ),
            LoggedEvent::LimitUnreadable {
                replica,
                service,
                value,
            } => log_event!(
                logger, events::LIMIT_UNREADABLE,
                "replica" => %replica, "service" => %service, "value" => value.as_str(),
            ),
            LoggedEvent::RequestHeldBack {
                query,
                service,
                replica,
                limit,
                share,
                outcome,
                wait,
            } => log_event!(
                logger, events::REQUEST_HELD_BACK,
                "request" => id, "query" => query.0, "service" => %service, "replica" => %replica,
                "limit" => limit.per_second(), "share" => hundredths(*share),
                "outcome" => *outcome, "wait_ms" => millis(*wait),
            ),
            LoggedEvent::LinksLost { evidence } => log_event!(
                logger, events::LINKS_LOST,
                "evidence" => evidence.loss.as_str(), "owing" => evidence.owing,
                "unconnected" => evidence.unconnected,
                "silent_ms" => millis(evidence.silent_for),
            ),
            LoggedEvent::LinksRegained { period } => {
                log_event!(logger, events::LINKS_REGAINED, "period_ms" => millis(*period));
            }
            LoggedEvent::HelperRefused { daemon, refusal } => log_event!(
                logger, events::HELPER_REFUSED,
                "helper" => %daemon, "reason" => refusal.as_str(),
            ),
            LoggedEvent::RequestRelayed {
                query,
                helper,
                attempts,
                age,
            } => log_event!(
                logger, events::REQUEST_RELAYED,
                "request" => id, "query" => query.0, "helper" => %helper, "attempts" => *attempts,
                "age_ms" => millis(*age),
            ),
            LoggedEvent::DelegateAvoided {
                query,
                delegate,
                cause,
                period,
            } => log_event!(
                logger, events::DELEGATE_AVOIDED,
                "request" => id, "query" => query.0, "delegate" => %delegate, "cause" => *cause,
                "period_ms" => millis(*period),
            ),
            LoggedEvent::RelayEnded {
                query,
                helper,
                outcome,
                age,
            } => log_event!(
                logger, events::RELAY_ENDED,
                "request" => id, "query" => query.0, "helper" => %helper,
                "outcome" => outcome.as_str(), "age_ms" => millis(*age),
            ),
            LoggedEvent::ReplicaLeaving {
                replica,
                service,
                listed_as_draining,
            } => log_event!(
                logger, events::REPLICA_LEAVING,
                "replica" => %replica, "service" => %service,
                "listed_as_draining" => *listed_as_draining,
            ),
            LoggedEvent::ReplicaRests {
                replica,
                service,
                period,
            } => log_event!(
                logger, events::REPLICA_RESTS,
                "replica" => %replica, "service" => %service, "period_ms" => millis(*period),
            ),
            LoggedEvent::StatementUnreadable {
                replica,
                service,
                statement,
            } => log_event!(
                logger, events::STATEMENT_UNREADABLE,
                "replica" => %replica, "service" => %service, "subject" => statement.subject,
                "value" => statement.value.as_str(),
            ),
            LoggedEvent::ReplicaListed {
                replica,
                service,
                draining,
            } => log_event!(
                logger, events::REPLICA_LISTED,
                "replica" => %replica, "service" => %service, "draining" => *draining,
            ),
            LoggedEvent::ReplicaUnlisted { replica } => {
                log_event!(logger, events::REPLICA_UNLISTED, "replica" => %replica);
            }
            LoggedEvent::ZoneEvacuated {
                zone,
                evacuated: true,
            } => {
                log_event!(logger, events::ZONE_EVACUATED, "zone" => %zone);
            }
            LoggedEvent::ZoneEvacuated { zone, .. } => {
                log_event!(logger, events::ZONE_READMITTED, "zone" => %zone);
            }
            LoggedEvent::RatesChanged(event) => write_rate_event(logger, event),
            LoggedEvent::HomeUnknown {
                region,
                routes,
                accounts,
            } => log_event!(
                logger, events::HOME_UNKNOWN, "region" => %region, "routes" => routes,
                "accounts" => accounts,
            ),
            LoggedEvent::ZoneUnknown { zone } => {
                log_event!(logger, events::ZONE_UNKNOWN, "zone" => %zone);
            }
            LoggedEvent::ReplicaRecovered { replica, service } => log_event!(
                logger, events::REPLICA_RECOVERED, "replica" => %replica, "service" => %service,
            ),
            LoggedEvent::ReplicaAvoided {
                replica,
                service,
                period,
            } => log_event!(
                logger, events::REPLICA_AVOIDED,
                "replica" => %replica, "service" => %service, "period_ms" => millis(*period),
            ),
        }
    }
}

fn write_rate_event(logger: &Logger, event: &RateEvent) {
    match event {
        RateEvent::AuthorityChosen {
            authority,
            before,
            cause,
        } => log_event!(
            logger, events::AUTHORITY_CHOSEN,
            "authority" => %authority, "before" => before.as_ref().map(DaemonName::as_str),
            "cause" => *cause,
        ),
        RateEvent::FleetChanged {
            version,
            daemons,
            listed,
        } => log_event!(
            logger, events::FLEET_CHANGED,
            "version" => *version, "daemons" => *daemons, "listed" => *listed,
        ),
        RateEvent::FleetWritten {
            version,
            daemons,
            added,
            removed,
        } => log_event!(
            logger, events::FLEET_WRITTEN,
            "version" => *version, "daemons" => *daemons, "added" => *added, "removed" => *removed,
        ),
        RateEvent::Suspended { period_ms } => {
            log_event!(logger, events::MACHINE_SUSPENDED, "period_ms" => *period_ms);
        }
    }
}

/// The names of replicas, separated by commas.
fn names(replicas: &[ReplicaName]) -> String {
    let names: Vec<&str> = replicas.iter().map(ReplicaName::as_str).collect();
    names.join(",")
}

/// Milliseconds, rounded to one decimal place, for a log line.
pub(super) fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 10_000.0).round() / 10.0
}

/// A number rounded to two decimal places, for a log line.
fn hundredths(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}
