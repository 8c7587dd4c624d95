//! Admission control of one service group.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use schema::{
    QueryId,
    TimePoint, //
};

use super::{
    concurrency_limit::ConcurrencyLimit,
    fair_queue::FairQueue,
    AdmissionDecision,
    AdmissionRequest, //
};
use crate::engine::QueryReason;

/// Time for which a queue may stay non-empty before waits are bounded.
const STANDING_PERIOD: Duration = Duration::from_millis(100);
/// Time for which waits stay bounded after that.
const STANDING_HOLD: Duration = Duration::from_secs(1);
/// Time for which a group counts as overloaded after a request was refused because its wait was too
/// long.
const OVERLOAD_HOLD: Duration = Duration::from_secs(1);
/// Longest wait in a standing queue, unless requests run for longer or complete less often.
const STANDING_WAIT_MAX: Duration = Duration::from_millis(50);
/// Multiple of the allowed wait after which a waiting request is refused: requests of other users
/// that arrive later may still go before it.
const WAIT_EXPIRY_FACTOR: u32 = 2;
/// A new gap between two completions counts as one part in this many of the moving average.
const GAP_SMOOTHING: u32 = 16;
/// Shortest and longest retry time given to a caller, before jitter.
const RETRY_AFTER_BOUNDS: [Duration; 2] = [Duration::from_millis(20), Duration::from_secs(10)];

/// A waiting request that can't be served any more, with the reason and the time after which to
/// retry.
pub(crate) type RefusedEntry = (QueryId, QueryReason, Duration);

/// Times of a waiting request.
#[derive(Clone, Copy, Debug)]
struct WaitEntry {
    deadline: TimePoint,
    expires_at: TimePoint,
}

/// Running and waiting requests of one group.
#[derive(Clone, Debug)]
pub(crate) struct GroupAdmission {
    limit: ConcurrencyLimit,
    queue: FairQueue,
    /// Running requests with their deadlines.
    running: BTreeMap<QueryId, TimePoint>,
    waiting: BTreeMap<QueryId, WaitEntry>,
    expirations: BTreeSet<(TimePoint, QueryId)>,
    /// Evicted requests that the next `release` reports as refused.
    evicted: Vec<QueryId>,
    /// Moving average of the time between completions while requests wait.
    completion_gap: Option<Duration>,
    last_completion: Option<TimePoint>,
    standing_since: Option<TimePoint>,
    standing_until: TimePoint,
    overloaded_until: TimePoint,
}

impl GroupAdmission {
    pub(crate) fn new(max: usize) -> Self {
        Self {
            limit: ConcurrencyLimit::new(max),
            queue: FairQueue::default(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            expirations: BTreeSet::new(),
            evicted: Vec::new(),
            completion_gap: None,
            last_completion: None,
            standing_since: None,
            standing_until: TimePoint(0),
            overloaded_until: TimePoint(0),
        }
    }

    /// Number of requests that run and wait.
    pub(crate) fn len(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Whether a request was refused in the last second because its wait was, or would be, too
    /// long.
    pub(crate) fn is_overloaded(&self, now: TimePoint) -> bool {
        now < self.overloaded_until
    }

    /// Decides about a new request; `full` means that the daemon holds as many requests as it may.
    pub(crate) fn admit(
        &mut self,
        now: TimePoint,
        request: AdmissionRequest,
        full: bool,
    ) -> AdmissionDecision {
        let run_time = self.run_time(&request);
        let time_left = request.deadline.since(now);
        let idle = self.running.is_empty() && self.queue.is_empty();
        if time_left.is_zero() || (time_left < run_time && !idle) {
            return refusal(QueryReason::Deadline, run_time, request.query);
        }
        if self.queue.is_empty() && self.running.len() < self.limit.current_limit(now) && !full {
            self.running.insert(request.query, request.deadline);
            return AdmissionDecision::Run;
        }
        self.limit.record_reached();
        let wait = self.expected_wait(now, &request, run_time);
        let allowed = self.allowed_wait(now, time_left, run_time);
        if wait > allowed {
            self.overloaded_until = now + OVERLOAD_HOLD;
            return refusal(
                self.refusal_reason(&request),
                wait + run_time,
                request.query,
            );
        }
        if full && !self.evict_for(&request) {
            return refusal(
                self.refusal_reason(&request),
                wait + run_time,
                request.query,
            );
        }
        let expires_at =
            now + (allowed * WAIT_EXPIRY_FACTOR).min(time_left.saturating_sub(run_time));
        self.enqueue(request, expires_at);
        AdmissionDecision::Wait
    }

    /// Removes a request. The run time of one that was not `served` counts only if its deadline has
    /// passed: otherwise it does not show how long the request takes.
    pub(crate) fn finished(
        &mut self,
        now: TimePoint,
        query: QueryId,
        started: TimePoint,
        served: bool,
    ) {
        let Some(deadline) = self.running.remove(&query) else {
            self.remove_waiting(query);
            return;
        };
        if !served && now < deadline {
            return;
        }
        self.limit
            .record_request(now, started, deadline.since(started));
        let has_waiting = !self.queue.is_empty();
        if let (Some(last), true) = (self.last_completion, has_waiting) {
            let gap = now.since(last);
            let previous = self.completion_gap.unwrap_or(gap);
            self.completion_gap = Some((previous * (GAP_SMOOTHING - 1) + gap) / GAP_SMOOTHING);
        }
        self.last_completion = has_waiting.then_some(now);
    }

    /// Releases waiting requests from the queue: `ready` receives those that may run, `refused`
    /// those that are refused after all.
    pub(crate) fn release(
        &mut self,
        now: TimePoint,
        ready: &mut Vec<QueryId>,
        refused: &mut Vec<RefusedEntry>,
    ) {
        for query in std::mem::take(&mut self.evicted) {
            let retry_after = self.retry_after(query);
            refused.push((query, QueryReason::UserOverShare, retry_after));
        }
        while let Some((expires_at, query)) = self.expirations.first().copied() {
            if expires_at > now {
                break;
            }
            self.remove_waiting(query);
            self.overloaded_until = now + OVERLOAD_HOLD;
            refused.push((query, QueryReason::Overload, self.retry_after(query)));
        }
        while self.running.len() < self.limit.current_limit(now) {
            let Some(query) = self.queue.pop() else {
                break;
            };
            let Some(entry) = self.waiting.remove(&query) else {
                continue;
            };
            self.expirations.remove(&(entry.expires_at, query));
            self.running.insert(query, entry.deadline);
            ready.push(query);
        }
        self.update_standing(now);
    }

    /// When a waiting request must be refused.
    pub(crate) fn next_wakeup(&self) -> TimePoint {
        if !self.evicted.is_empty() {
            return TimePoint(0);
        }
        self.expirations
            .first()
            .map_or(TimePoint::NEVER, |(expires_at, _)| *expires_at)
    }

    /// Time that a request is expected to run.
    fn run_time(&self, request: &AdmissionRequest) -> Duration {
        let threshold = self.limit.latency_threshold();
        threshold.map_or(request.expected_time, |max| max.min(request.expected_time))
    }

    fn expected_wait(
        &self,
        now: TimePoint,
        request: &AdmissionRequest,
        run_time: Duration,
    ) -> Duration {
        let Some(gap) = self.completion_gap else {
            return Duration::ZERO;
        };
        let time_left = request.deadline.since(now).max(run_time);
        let max_ahead = time_left.as_micros() / gap.as_micros().max(1) + 2;
        let max_ahead = u64::try_from(max_ahead).unwrap_or(u64::MAX);
        let ahead = self.queue.count_ahead(&request.user, max_ahead);
        gap * u32::try_from(ahead).unwrap_or(u32::MAX)
    }

    /// Longest wait that is allowed: what the deadline leaves, and less while the queue never
    /// empties, so that admitted requests don't wait long.
    fn allowed_wait(&self, now: TimePoint, time_left: Duration, run_time: Duration) -> Duration {
        let feasible = time_left.saturating_sub(run_time);
        if !self.has_standing_queue(now) {
            return feasible;
        }
        let gap = self.completion_gap.unwrap_or_default();
        feasible.min(STANDING_WAIT_MAX.max(run_time).max(gap * 2))
    }

    fn update_standing(&mut self, now: TimePoint) {
        if self.queue.is_empty() {
            self.standing_since = None;
            return;
        }
        let since = *self.standing_since.get_or_insert(now);
        if now.since(since) >= STANDING_PERIOD {
            self.standing_until = now + STANDING_HOLD;
        }
    }

    /// Whether the queue was non-empty for [`STANDING_PERIOD`] within the last [`STANDING_HOLD`].
    fn has_standing_queue(&self, now: TimePoint) -> bool {
        now < self.standing_until
    }

    /// Whether a refusal is due to the load or to the user's own waiting requests.
    fn refusal_reason(&self, request: &AdmissionRequest) -> QueryReason {
        match self.queue.count(&request.user) {
            0 => QueryReason::Overload,
            _ => QueryReason::UserOverShare,
        }
    }

    /// Makes room for a user without a waiting request by evicting the last request of another
    /// user.
    fn evict_for(&mut self, request: &AdmissionRequest) -> bool {
        if self.queue.count(&request.user) > 0 {
            return false;
        }
        let Some(query) = self.queue.evict_longest() else {
            return false;
        };
        self.remove_waiting(query);
        self.evicted.push(query);
        true
    }

    fn enqueue(&mut self, request: AdmissionRequest, expires_at: TimePoint) {
        self.queue.push(&request.user, request.query);
        let entry = WaitEntry {
            deadline: request.deadline,
            expires_at,
        };
        self.expirations.insert((entry.expires_at, request.query));
        self.waiting.insert(request.query, entry);
    }

    fn remove_waiting(&mut self, query: QueryId) {
        self.queue.remove(query);
        if let Some(entry) = self.waiting.remove(&query) {
            self.expirations.remove(&(entry.expires_at, query));
        }
        self.evicted.retain(|other| *other != query);
    }

    fn retry_after(&self, query: QueryId) -> Duration {
        let gap = self.completion_gap.unwrap_or_default();
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        jittered(gap * waiting.max(1), query)
    }
}

fn refusal(reason: QueryReason, after: Duration, query: QueryId) -> AdmissionDecision {
    AdmissionDecision::Refuse {
        reason,
        retry_after: jittered(after, query),
    }
}

/// Three quarters to five quarters of `after`, so that callers refused together don't retry
/// together.
fn jittered(after: Duration, query: QueryId) -> Duration {
    let jitter = xxhash_rust::xxh3::xxh3_64(&query.0.to_le_bytes()) % 512;
    let [shortest, longest] = RETRY_AFTER_BOUNDS;
    let after = after.clamp(shortest, longest) * 3 / 4;
    after + after * jitter as u32 * 2 / (512 * 3)
}
