//! State of one replica, as known to this daemon.

use std::time::Duration;

use schema::{
    KeySpan,
    SnapshotId,
    SpanSet,
    TimePoint, //
};
use smallvec::SmallVec;
use statig::blocking::{
    InitializedStateMachine,
    IntoStateMachineExt, //
};

use super::{
    replica_health::{
        HealthContext,
        HealthEvent,
        HealthGrade,
        ReplicaHealth, //
    },
    replica_limit::ReplicaLimit,
};
use crate::engine::{
    PlacedReplica,
    ReplicaLoad, //
};

/// Age above which a load report no longer counts for the choice.
const LOAD_AGE_MAX: Duration = Duration::from_millis(500);
/// Age above which an observed latency no longer counts for the choice.
const LATENCY_AGE_MAX: Duration = Duration::from_secs(1);
/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time for which a replica counts as draining after it reported a drain. It is longer than the lag
/// of the VM list.
pub const DRAIN_PERIOD: Duration = Duration::from_secs(10);

/// A replica with its last load report and the requests that this daemon has outstanding on it.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    pub(crate) placed: PlacedReplica,
    /// One-way delay of the link to the replica.
    pub(crate) delay: Duration,
    /// When the replica left the VM list; `None` while it is listed.
    pub(crate) unlisted_since: Option<TimePoint>,
    /// Whether the bundle orders the replica to drain.
    pub(crate) drain_ordered: bool,
    /// Keys that the bundle assigns to the replica.
    pub(crate) planned_spans: SpanSet,
    /// When each outstanding request was sent, oldest first.
    send_times: SmallVec<[TimePoint; 4]>,
    pub(crate) limit: ReplicaLimit,
    /// End of the drain that the replica itself reported.
    drain_until: TimePoint,
    /// End of the drain that another daemon reported.
    peer_drain_until: TimePoint,
    /// Whether a drain has begun whose end has not been handled yet.
    was_draining: bool,
    /// The last load report, with the time at which it was received.
    load_report: Option<(TimePoint, ReplicaLoad)>,
    /// Requests of other daemons according to the last load report.
    others_outstanding: u32,
    /// Moving average in seconds without the link, with the time of the last sample.
    average_latency: Option<(TimePoint, f64)>,
    /// When connections to the replica began to break or be refused; `None` while they work.
    lost_since: Option<TimePoint>,
    health: InitializedStateMachine<ReplicaHealth>,
}

impl ReplicaState {
    pub(crate) fn new(placed: PlacedReplica, context: &mut HealthContext<'_>) -> Self {
        let health = ReplicaHealth::default().uninitialized_state_machine();
        Self {
            placed,
            delay: Duration::ZERO,
            unlisted_since: None,
            drain_ordered: false,
            planned_spans: SpanSet::default(),
            send_times: SmallVec::new(),
            limit: ReplicaLimit::new(u32::MAX),
            drain_until: TimePoint(0),
            peer_drain_until: TimePoint(0),
            was_draining: false,
            load_report: None,
            others_outstanding: 0,
            average_latency: None,
            lost_since: None,
            health: health.init_with_context(context),
        }
    }

    /// Number of requests outstanding.
    pub(crate) fn outstanding(&self) -> u32 {
        self.send_times.len() as u32
    }

    /// Records that a request is sent.
    pub(crate) fn begin(&mut self, now: TimePoint) {
        self.send_times.push(now);
    }

    /// Records that a request which was sent `latency` ago has ended.
    pub(crate) fn finish(&mut self, now: TimePoint, latency: Duration) {
        let sent_at = now - latency;
        let index = self.send_times.iter().position(|time| *time >= sent_at);
        if !self.send_times.is_empty() {
            self.send_times.remove(index.unwrap_or(0));
        }
    }

    /// Records whether the outcome of an attempt shows that the replica is lost (true) or reachable
    /// (false).
    pub(crate) fn set_lost(&mut self, now: TimePoint, lost: bool) {
        self.lost_since = lost.then(|| self.lost_since.unwrap_or(now));
    }

    /// Time since connections to the replica began to break or be refused; `None` while they work.
    pub(crate) fn time_since_loss(&self, now: TimePoint) -> Option<Duration> {
        self.lost_since.map(|lost| now.since(lost))
    }

    /// Whether the replica gets no new requests, whatever its health.
    pub(crate) fn is_draining(&self, now: TimePoint) -> bool {
        let marked = now < self.drain_until.max(self.peer_drain_until);
        self.unlisted_since.is_some() || self.placed.leaving || self.drain_ordered || marked
    }

    /// Records that the replica itself reported a drain.
    pub(crate) fn start_drain(&mut self, now: TimePoint) {
        self.drain_until = now + DRAIN_PERIOD;
        self.was_draining = true;
    }

    /// Marks the replica as draining after a report from another daemon; returns true if it was not
    /// marked before.
    pub(crate) fn mark_draining(&mut self, now: TimePoint, until: TimePoint) -> bool {
        if until <= now {
            return false;
        }
        let newly_marked = self.peer_drain_until <= now;
        self.peer_drain_until = self.peer_drain_until.max(until);
        self.was_draining = true;
        newly_marked
    }

    /// Applies its entry in the VM list. Another address means that the replica was restarted.
    pub(crate) fn apply_placement(
        &mut self,
        placed: &PlacedReplica,
        context: &mut HealthContext<'_>,
    ) {
        let restarted = self.placed.address != placed.address;
        let drain_withdrawn = self.placed.leaving && !placed.leaving;
        if restarted || drain_withdrawn {
            self.drain_until = TimePoint(0);
            self.peer_drain_until = TimePoint(0);
        }
        if restarted {
            self.lost_since = None;
            self.load_report = None;
            self.limit = ReplicaLimit::new(1);
            self.observe_health(HealthEvent::Started, context);
        }
        self.was_draining |= placed.leaving;
        self.placed = placed.clone();
        self.unlisted_since = None;
    }

    /// Starts the warm-up of a replica that is new.
    pub(crate) fn mark_cold(&mut self, context: &mut HealthContext<'_>) {
        self.limit = ReplicaLimit::new(1);
        self.observe_health(HealthEvent::Started, context);
    }

    pub(crate) fn observe_health(&mut self, event: HealthEvent, context: &mut HealthContext<'_>) {
        self.health.handle_with_context(&event, context);
    }

    /// Handles what is due: the end of an ejection, of a drain mark or of the warm-up.
    pub(crate) fn on_timer(&mut self, context: &mut HealthContext<'_>) {
        self.observe_health(HealthEvent::TimerFired, context);
        if self.was_draining && !self.is_draining(context.now) {
            self.was_draining = false;
            self.limit = ReplicaLimit::new(1);
            self.observe_health(HealthEvent::DrainEnded, context);
        }
    }

    /// Time of the next change without an event.
    pub(crate) fn next_wakeup(&self, now: TimePoint) -> TimePoint {
        let drain_end = self.drain_until.max(self.peer_drain_until);
        let health = self.health.state().next_wakeup(now, self.health.inner());
        if now < drain_end {
            return drain_end.min(health);
        }
        health
    }

    /// Whether the replica is ejected, or being probed after an ejection or a drain.
    pub(crate) fn is_ejected(&self) -> bool {
        self.health.state().is_ejected()
    }

    pub(crate) fn grade(&self, now: TimePoint) -> HealthGrade {
        self.health.state().grade(now, self.health.inner())
    }

    /// Records a load report; returns true where the replica serves other keys than before.
    pub(crate) fn record_load(&mut self, now: TimePoint, load: &ReplicaLoad) -> bool {
        let reported = load.running + load.queued;
        self.others_outstanding = reported.saturating_sub(self.outstanding());
        let mut load = load.clone();
        if load.serves.is_empty() && load.snapshots.is_empty() {
            let known = self.load_report.take().map(|(_, known)| known);
            let known = known.unwrap_or_default();
            load.serves = known.serves;
            load.snapshots = known.snapshots;
        }
        let spans_changed = self.serves() != &load.serves;
        self.load_report = Some((now, load));
        spans_changed
    }

    /// Keys served according to the last load report, or to the bundle before the first report.
    pub(crate) fn serves(&self) -> &SpanSet {
        match &self.load_report {
            Some((_, load)) if !load.snapshots.is_empty() => &load.serves,
            _ => &self.planned_spans,
        }
    }

    /// Snapshots held; empty before the first load report.
    pub(crate) fn snapshots(&self) -> &[SnapshotId] {
        self.load_report
            .as_ref()
            .map_or(&[], |(_, load)| load.snapshots.as_slice())
    }

    pub(crate) fn holds_snapshot(&self, snapshot: SnapshotId) -> bool {
        let known = self.snapshots();
        snapshot == SnapshotId(0) || known.is_empty() || known.contains(&snapshot)
    }

    /// First part of `span` that the replica serves.
    pub(crate) fn first_served_part(&self, span: KeySpan) -> Option<KeySpan> {
        first_part(self.serves(), span)
    }

    /// First part of `span` that the bundle assigns to the replica.
    pub(crate) fn first_planned_part(&self, span: KeySpan) -> Option<KeySpan> {
        first_part(&self.planned_spans, span)
    }

    /// Records a latency without the link's round trip. `complete` is true if the reply arrived;
    /// otherwise the latency is a lower bound and counts only above the average.
    pub(crate) fn record_latency(&mut self, now: TimePoint, latency: Duration, complete: bool) {
        let sample = latency.as_secs_f64();
        let previous = self.average_latency.map_or(sample, |(_, average)| average);
        if !complete && sample <= previous {
            return;
        }
        let average = previous + LATENCY_WEIGHT * (sample - previous);
        self.average_latency = Some((now, average));
    }

    /// Expected time in seconds until a new request is answered: its own latency, that of the
    /// requests before it, and the round trip of the link. The age of the oldest outstanding
    /// request counts as a latency, so that a slow replica is avoided before that request ends.
    pub(crate) fn cost(&self, now: TimePoint, slots: u32, median: Duration) -> f64 {
        let fresh = |at: TimePoint, max: Duration| now.since(at) <= max;
        let latency = match self.average_latency {
            Some((at, average)) if fresh(at, LATENCY_AGE_MAX) => average,
            _ => median.as_secs_f64(),
        };
        let others_outstanding = match &self.load_report {
            Some((at, _)) if fresh(*at, LOAD_AGE_MAX) => self.others_outstanding,
            _ => 0,
        };
        let oldest = self
            .send_times
            .first()
            .map_or(Duration::ZERO, |at| now.since(*at));
        let oldest = oldest.saturating_sub(self.delay * 2).as_secs_f64();
        let outstanding = f64::from(self.outstanding() + others_outstanding);
        let service_time = latency.max(oldest) * (1.0 + outstanding / f64::from(slots.max(1)));
        service_time + 2.0 * self.delay.as_secs_f64()
    }
}

fn first_part(served: &SpanSet, span: KeySpan) -> Option<KeySpan> {
    served
        .spans()
        .iter()
        .find_map(|served_span| served_span.intersect(span))
}
