//! Execution of the calls to an upstream.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    upstream::{
        HitEntry,
        LoadEntry,
        RunCall,
        RunReply,
        TaskEntry,
        TaskReply, //
    },
    KeySpan,
    SnapshotId, //
};
use tokio::{
    sync::Semaphore,
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    items_for,
    lock,
    server_port::WeakPort,
    DrainMode,
    RunLog,
    UpstreamCounts,
    UpstreamSettings, //
};

/// Refusal codes of the upstream protocol.
pub(crate) const SHED: &str = "shed";
pub(crate) const DRAINING: &str = "draining";
const SNAPSHOT_GONE: &str = "snapshot_gone";
const RANGE_GONE: &str = "range_gone";
const LATE: &str = "late";
const FAILED: &str = "failed";

/// State that the server's handle and its tasks share.
#[derive(Debug)]
pub(crate) struct WorkState {
    pub(crate) settings: UpstreamSettings,
    pub(crate) counts: UpstreamCounts,
    pub(crate) started: Instant,
    pub(crate) drain_started: Option<Instant>,
    running: u32,
    random: Pcg64Mcg,
}

/// Runs the tasks of an upstream; its connections share it.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamWork {
    pub(crate) state: Arc<Mutex<WorkState>>,
    slots: Arc<Semaphore>,
    log: RunLog,
    port: WeakPort,
}

/// A fault to inject into a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReplyFault {
    None,
    Truncated,
    Malformed,
    WrongEcho,
}

impl UpstreamWork {
    pub(crate) fn new(settings: UpstreamSettings, log: RunLog, port: WeakPort) -> Self {
        let slots = Arc::new(Semaphore::new(settings.slots as usize));
        let state = WorkState {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            counts: UpstreamCounts::default(),
            started: Instant::now(),
            drain_started: None,
            running: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            slots,
            log,
            port,
        }
    }

    /// Samples the one-way delay of a message from or to `zone`; `None` if the two data centres are
    /// partitioned.
    pub(crate) fn sample_link_delay(&self, zone: &str) -> Option<Duration> {
        let state = &mut *lock(&self.state);
        let settings = &state.settings;
        if settings.blocked_zones.iter().any(|blocked| blocked == zone) {
            return None;
        }
        let base = settings.links.get(zone).copied().unwrap_or_default();
        if base.is_zero() {
            return Some(base);
        }
        let jitter = settings.link_jitter.mul_f64(state.random.random());
        let lost = state.random.random_range(0..1_000_000) < settings.link_loss_ppm;
        let resend_delay = if lost {
            settings.retransmit
        } else {
            Duration::ZERO
        };
        Some(base + jitter + resend_delay)
    }

    /// Runs the tasks of a call one after the other.
    pub(crate) async fn run(&self, call: &RunCall) -> RunReply {
        let mut replies = Vec::with_capacity(call.tasks.len());
        for task in &call.tasks {
            replies.push(self.run_task(&call.group, task).await);
        }
        RunReply {
            replies,
            load: Some(self.load()),
        }
    }

    /// Samples the fault of a reply.
    pub(crate) fn sample_fault(&self) -> ReplyFault {
        let state = &mut *lock(&self.state);
        let sampled = state.random.random_range(0..1_000_000);
        let settings = &state.settings;
        let malformed_end = settings.truncated_ppm + settings.malformed_ppm;
        if sampled < settings.truncated_ppm {
            return ReplyFault::Truncated;
        }
        if sampled < malformed_end {
            return ReplyFault::Malformed;
        }
        if sampled < malformed_end + settings.wrong_echo_ppm {
            return ReplyFault::WrongEcho;
        }
        ReplyFault::None
    }

    async fn run_task(&self, group: &str, task: &TaskEntry) -> TaskReply {
        let arrived = Instant::now();
        if let Some(refusal) = self.admit(arrived) {
            return refusal_reply(task, refusal);
        }
        let guard = OutstandingGuard {
            state: Arc::clone(&self.state),
            finished: false,
        };
        let reply = self.run_admitted(group, task, arrived).await;
        guard.finish();
        reply
    }

    // Counts the task as outstanding, or returns the code of its refusal.
    fn admit(&self, now: Instant) -> Option<&'static str> {
        let state = &mut *lock(&self.state);
        let counts = &mut state.counts;
        counts.tasks += 1;
        if let Some(started_at) = state.drain_started {
            counts.drain_tail = Some(now.duration_since(started_at));
        }
        if state.settings.drain == DrainMode::Refusing {
            counts.drained += 1;
            return Some(DRAINING);
        }
        if counts.outstanding >= state.settings.slots + state.settings.queue {
            counts.shed += 1;
            return Some(SHED);
        }
        counts.outstanding += 1;
        counts.outstanding_max = counts.outstanding_max.max(counts.outstanding);
        None
    }

    async fn run_admitted(&self, group: &str, task: &TaskEntry, arrived: Instant) -> TaskReply {
        let deadline = Duration::from_millis(task.deadline_ms);
        let Ok(Ok(_slot)) = timeout(deadline, self.slots.acquire()).await else {
            lock(&self.state).counts.late += 1;
            return refusal_reply(task, LATE);
        };
        let (snapshot, spans) = match self.snapshot_and_spans(task) {
            Ok(found) => found,
            Err(refusal) => return refusal_reply(task, refusal),
        };
        self.start_run(group, task);
        let _running = RunningGuard(Arc::clone(&self.state));
        let (service_time, fails) = self.sample_outcome();
        let waited = arrived.elapsed();
        let remaining = deadline.saturating_sub(waited);
        if task.once_key.is_empty() && remaining < service_time {
            sleep(remaining).await;
            return refusal_reply(task, FAILED);
        }
        sleep(service_time).await;
        if fails {
            return refusal_reply(task, FAILED);
        }
        let find_hits = |span: &KeySpan| items_for(*span, snapshot, &task.query);
        let hits: Vec<HitEntry> = spans.iter().flat_map(find_hits).collect();
        TaskReply {
            attempt: task.attempt.clone(),
            refusal: String::new(),
            snapshot: snapshot.0,
            spans: spans
                .iter()
                .flat_map(|span| [span.start(), span.end()])
                .collect(),
            hits,
        }
    }

    fn snapshot_and_spans(
        &self,
        task: &TaskEntry,
    ) -> Result<(SnapshotId, Vec<KeySpan>), &'static str> {
        let settings = &lock(&self.state).settings;
        let newest = settings.snapshots.last().copied();
        let available = match task.snapshot {
            0 => newest,
            requested => settings
                .snapshots
                .iter()
                .copied()
                .find(|id| *id == requested),
        };
        let snapshot = available.ok_or(SNAPSHOT_GONE)?;
        let requested = KeySpan::new(task.start, task.end).map_err(|_| RANGE_GONE)?;
        let spans = settings
            .serves
            .intersection(&requested.into())
            .spans()
            .to_vec();
        if spans.is_empty() {
            return Err(RANGE_GONE);
        }
        Ok((SnapshotId(snapshot), spans))
    }

    fn start_run(&self, group: &str, task: &TaskEntry) {
        let state = &mut *lock(&self.state);
        state.running += 1;
        state.counts.runs += 1;
        let count_body = state.settings.log_bodies;
        self.log
            .record_run(group, &task.query, &task.once_key, count_body);
        let marker = &state.settings.crash_marker;
        if marker.is_empty() || !task.query.contains(marker.as_str()) {
            return;
        }
        state.counts.crashes += 1;
        self.port.close();
        let Some(restart_delay) = state.settings.restart_after else {
            return;
        };
        let port = self.port.clone();
        let shared = Arc::clone(&self.state);
        tokio::spawn(async move {
            sleep(restart_delay).await;
            lock(&shared).started = Instant::now();
            port.open();
        });
    }

    fn sample_outcome(&self) -> (Duration, bool) {
        let state = &mut *lock(&self.state);
        let settings = &state.settings;
        let base = settings.service.sample(&mut state.random);
        let cold = cold_factor(settings, state.started.elapsed());
        let fails = state.random.random_range(0..1_000_000) < settings.failed_ppm;
        (base.mul_f64(settings.slowdown_factor * cold), fails)
    }

    fn load(&self) -> LoadEntry {
        let state = lock(&self.state);
        let settings = &state.settings;
        LoadEntry {
            running: state.running,
            queued: state.counts.outstanding.saturating_sub(state.running),
            slots: settings.slots,
            draining: settings.drain != DrainMode::Off,
            snapshots: settings.snapshots.clone(),
            spans: settings.serves.to_pairs(),
        }
    }
}

// Falls linearly from the cold factor to one over the warm-up.
fn cold_factor(settings: &UpstreamSettings, age: Duration) -> f64 {
    if age >= settings.warm_up {
        return 1.0;
    }
    let progress = age.as_secs_f64() / settings.warm_up.as_secs_f64();
    settings.cold_factor + (1.0 - settings.cold_factor) * progress
}

fn refusal_reply(task: &TaskEntry, refusal: &str) -> TaskReply {
    TaskReply {
        attempt: task.attempt.clone(),
        refusal: refusal.into(),
        ..Default::default()
    }
}

/// Counts a task as outstanding until it is dropped, and as cancelled if it was not finished.
struct OutstandingGuard {
    state: Arc<Mutex<WorkState>>,
    finished: bool,
}

impl OutstandingGuard {
    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        let counts = &mut lock(&self.state).counts;
        counts.outstanding -= 1;
        if !self.finished {
            counts.cancelled += 1;
        }
    }
}

struct RunningGuard(Arc<Mutex<WorkState>>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}

/// The delays from all data centres to `zone`, in the form of [`UpstreamSettings::links`].
pub(crate) fn link_table(
    spec: &schema::DeploymentSpec,
    zone: &schema::ZoneName,
) -> BTreeMap<String, Duration> {
    let delay = |(other, _): &(schema::ZoneName, schema::RegionName)| {
        (other.to_string(), spec.delay(other, zone))
    };
    spec.zones.iter().map(delay).collect()
}
