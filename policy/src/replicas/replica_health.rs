//! Health of one replica, from the attempts of this daemon alone.
//!
//! The VM list and the replica's health page are ignored, since both lag behind. A replica collects
//! points for each fault and loses one for each good reply. At [`POINTS_EJECTED`] it is ejected,
//! provided that enough others remain. After a time that is jittered and doubles with each ejection
//! it gets a single request as a probe. A good reply starts the same warm-up that a cold replica
//! goes through.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use schema::TimePoint;
use statig::prelude::*;

/// Points from which a replica is ejected.
const POINTS_EJECTED: u32 = 10;
/// Points for a failure to connect: two in a row eject.
const POINTS_UNREACHABLE: u32 = 5;
/// Points for a broken exchange or a malformed reply: three in a row eject.
const POINTS_BROKEN: u32 = 4;
/// Points for a reply far slower than the group's median: five in a row eject.
const POINTS_SLOW: u32 = 2;
/// Points for a reply that took many times the median: three in a row eject.
const POINTS_STALLED: u32 = 4;
/// Points for a request that ran and failed, which may be the fault of the request itself.
const POINTS_REQUEST_FAILED: u32 = 1;
/// Length of the first ejection, before jitter.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Number of times that the length of an ejection may double.
const EJECTION_DOUBLINGS: u32 = 4;
/// Time without an ejection after which the next one has the length of the first again.
const EJECTION_MEMORY: Duration = Duration::from_secs(120);
/// Time in which the weight of a cold replica grows to that of a warm one.
const WARM_UP_TIME: Duration = Duration::from_secs(8);
/// Weight with which a cold replica starts, where a warm one has 1.
const WARM_UP_MIN_WEIGHT: f64 = 0.1;
/// Time without new requests after a failure to connect.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);

/// An observation of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthEvent {
    /// A good reply arrived, and its latency was not far above the group's median.
    Replied,
    /// An attempt took far longer than the group's median, whether or not a reply came.
    Slow,
    /// An attempt took so many times the median that the replica counts as stalled.
    Stalled,
    /// The request ran and failed.
    RequestFailed,
    /// The exchange broke or the reply was malformed.
    ExchangeBroken,
    /// No connection could be opened.
    Unreachable,
    /// The replica is new or was restarted.
    Started,
    /// The replica is no longer marked as draining.
    DrainEnded,
    /// A timer of the pool fired.
    TimerFired,
}

/// What the state machine needs besides the event.
#[derive(Debug)]
pub(crate) struct HealthContext<'a> {
    /// Time of the event.
    pub(crate) now: TimePoint,
    /// Source of jitter.
    pub(crate) random: &'a mut Pcg64Mcg,
    /// Whether enough replicas remain without this one.
    pub(crate) may_eject: bool,
}

/// Whether and how a replica may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HealthGrade {
    /// It may be chosen with this weight: 1 for a warm replica, less during warm-up.
    Healthy(f64),
    /// It is faulty, but too few others remain to eject it: it gets one request at a time, after
    /// the healthy ones.
    Suspect,
    /// It gets a single request as a probe.
    Probe,
    /// It gets nothing, unless there is no other replica.
    Excluded,
}

/// Data that all states of the machine share.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaHealth {
    points: u32,
    ejections: u32,
    last_ejection: TimePoint,
    backoff_until: TimePoint,
}

#[state_machine(
    initial = "State::serving()",
    visibility = "pub(crate)",
    state(derive(Clone, Debug, Eq, PartialEq))
)]
impl ReplicaHealth {
    /// It is healthy and warm.
    #[state(superstate = "observed")]
    fn serving(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::TimerFired => Handled,
            _ => Super,
        }
    }

    /// It is cold, and its weight grows.
    #[state(superstate = "observed")]
    fn warming(
        since: &TimePoint,
        context: &mut HealthContext<'_>,
        event: &HealthEvent,
    ) -> Outcome<State> {
        if context.now.since(*since) < WARM_UP_TIME {
            return Super;
        }
        match event {
            HealthEvent::TimerFired => Transition(State::serving()),
            _ => Super,
        }
    }

    /// It gets no requests.
    #[state]
    fn ejected(
        until: &TimePoint,
        context: &mut HealthContext<'_>,
        event: &HealthEvent,
    ) -> Outcome<State> {
        match event {
            HealthEvent::TimerFired if *until <= context.now => Transition(State::probing()),
            _ => Handled,
        }
    }

    /// It gets one request at a time until the first outcome is known.
    #[state]
    fn probing(&mut self, context: &mut HealthContext<'_>, event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::Replied => {
                self.points = 0;
                Transition(State::warming(context.now))
            }
            HealthEvent::Started | HealthEvent::DrainEnded | HealthEvent::TimerFired => Handled,
            _ => Transition(State::ejected(self.eject(context))),
        }
    }

    /// Counts the points of a replica that gets requests.
    #[superstate]
    fn observed(&mut self, context: &mut HealthContext<'_>, event: &HealthEvent) -> Outcome<State> {
        let points = match event {
            HealthEvent::Replied => {
                self.points = self.points.saturating_sub(1);
                self.backoff_until = TimePoint(0);
                return Handled;
            }
            HealthEvent::Started => return Transition(State::warming(context.now)),
            HealthEvent::DrainEnded => return Transition(State::probing()),
            HealthEvent::TimerFired => return Handled,
            HealthEvent::Slow => POINTS_SLOW,
            HealthEvent::Stalled => POINTS_STALLED,
            HealthEvent::RequestFailed => POINTS_REQUEST_FAILED,
            HealthEvent::ExchangeBroken => POINTS_BROKEN,
            HealthEvent::Unreachable => {
                self.backoff_until = context.now + jitter(UNREACHABLE_BACKOFF, context.random);
                POINTS_UNREACHABLE
            }
        };
        self.points = (self.points + points).min(POINTS_EJECTED);
        if self.points < POINTS_EJECTED || !context.may_eject {
            return Handled;
        }
        Transition(State::ejected(self.eject(context)))
    }
}

impl ReplicaHealth {
    /// Starts an ejection and returns its end.
    fn eject(&mut self, context: &mut HealthContext<'_>) -> TimePoint {
        if context.now.since(self.last_ejection) > EJECTION_MEMORY {
            self.ejections = 0;
        }
        let doublings = self.ejections.min(EJECTION_DOUBLINGS);
        self.ejections += 1;
        self.last_ejection = context.now;
        context.now + jitter(EJECTION_TIME * (1 << doublings), context.random)
    }
}

impl State {
    /// Whether the replica is ejected, or being probed after an ejection or a drain.
    pub(super) fn is_ejected(&self) -> bool {
        matches!(self, Self::Ejected { .. } | Self::Probing { .. })
    }

    /// Whether and how the replica may be chosen.
    pub(super) fn grade(&self, now: TimePoint, health: &ReplicaHealth) -> HealthGrade {
        match self {
            Self::Ejected { until } if now < *until => HealthGrade::Excluded,
            Self::Ejected { .. } | Self::Probing {} => HealthGrade::Probe,
            _ if now < health.backoff_until => HealthGrade::Excluded,
            _ if health.points >= POINTS_EJECTED => HealthGrade::Suspect,
            Self::Serving {} => HealthGrade::Healthy(1.0),
            Self::Warming { since } => {
                let weight = now.since(*since).as_secs_f64() / WARM_UP_TIME.as_secs_f64();
                HealthGrade::Healthy(weight.clamp(WARM_UP_MIN_WEIGHT, 1.0))
            }
        }
    }

    /// When the grade may next change without an event.
    pub(super) fn next_wakeup(&self, now: TimePoint, health: &ReplicaHealth) -> TimePoint {
        match self {
            Self::Ejected { until } => *until,
            _ if now < health.backoff_until => health.backoff_until,
            Self::Warming { since } => *since + WARM_UP_TIME,
            _ => TimePoint::NEVER,
        }
    }
}

/// Returns 75 % to 125 % of `period`, so that daemons which ejected a replica together don't return
/// to it together.
fn jitter(period: Duration, random: &mut Pcg64Mcg) -> Duration {
    period.mul_f64(random.random_range(0.75..1.25))
}
