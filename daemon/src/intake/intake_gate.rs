//! Shares an intake budget between the connections of a port.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use policy::intake::{
    IntakeBudget,
    IntakeId,
    IntakeSettings,
    IntakeStage,
    RoomAnswer, //
};
use schema::TimePoint;
use slog::Logger;
use tokio::{
    sync::Notify,
    time::{
        sleep,
        timeout,
        Instant, //
    },
};

use super::{
    intake_metrics::IntakeMetrics,
    intake_slot::{
        DropSignal,
        IntakeSlot, //
    },
};
use crate::{
    clock::DaemonClock,
    discard_logger,
    events,
    log_event, //
};

/// Longest wait for room for bytes. Callers retry after a third of their time, which is seldom longer.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which room is asked for again, because others may have stopped making progress.
const ROOM_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Shortest time between two log lines on the same shortage.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// Budget of a port. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct IntakeGate {
    clock: DaemonClock,
    port: &'static str,
    log: Logger,
    metrics: IntakeMetrics,
    state: Arc<Mutex<GateState>>,
    room: Arc<Notify>,
}

#[derive(Debug)]
struct GateState {
    budget: IntakeBudget,
    signals: BTreeMap<IntakeId, Arc<DropSignal>>,
    /// When a lack of connections and of bytes may be logged again.
    next_report_at: [TimePoint; 2],
    /// Connections dropped and requests refused since the last report of each kind.
    unreported: [u64; 2],
}

/// What has run out.
#[derive(Clone, Copy, Debug)]
enum Shortage {
    Connections = 0,
    Bytes = 1,
}

impl IntakeGate {
    /// Creates the gate of the port that `port` names in metrics and log lines.
    pub(crate) fn new(
        port: &'static str,
        settings: IntakeSettings,
        log: Logger,
        metrics: IntakeMetrics,
    ) -> Self {
        let state = GateState {
            budget: IntakeBudget::new(settings),
            signals: BTreeMap::new(),
            next_report_at: [TimePoint::default(); 2],
            unreported: [0; 2],
        };
        Self {
            clock: DaemonClock::start(),
            port,
            log,
            metrics,
            state: Arc::new(Mutex::new(state)),
            room: Arc::default(),
        }
    }

    /// The gate of a port for operators, which shows nothing in logs and metrics.
    pub(crate) fn for_operators(connections_max: usize) -> Self {
        let settings = IntakeSettings {
            connections_max,
            bytes_max: 1024 * 1024,
            ..IntakeSettings::default()
        };
        Self::unreported(settings)
    }

    /// A gate that shows nothing in logs and metrics.
    pub(crate) fn unreported(settings: IntakeSettings) -> Self {
        Self::new(
            "other",
            settings,
            discard_logger(),
            IntakeMetrics::default(),
        )
    }

    /// Whether a further connection can be opened.
    pub(crate) fn can_open(&self) -> bool {
        self.lock().budget.can_open()
    }

    /// Opens a connection; `None` if all are being served.
    pub(crate) fn open(&self, address: IpAddr) -> Option<IntakeSlot> {
        let mut state = self.lock();
        let mut dropped = Vec::new();
        let now = self.clock.now();
        let opened = state.budget.open(now, address, &mut dropped);
        self.drop_connections(&mut state, Shortage::Connections, &dropped);
        let id = opened?;
        let signal = Arc::new(DropSignal::default());
        state.signals.insert(id, Arc::clone(&signal));
        self.publish(&state);
        drop(state);
        Some(IntakeSlot::new(self.clone(), id, signal))
    }

    /// Waits for room for `bytes` more; returns false if there is none in time.
    pub(super) async fn take(&self, id: IntakeId, bytes: usize) -> bool {
        let start = Instant::now();
        loop {
            // Registered before the check, so that no release in between is missed.
            let released = self.room.notified();
            match self.try_take(id, bytes) {
                RoomAnswer::Taken => return true,
                RoomAnswer::Short if start.elapsed() < ROOM_TIMEOUT => {}
                _ => {
                    self.count_refused();
                    return false;
                }
            }
            let _ = timeout(ROOM_CHECK_PERIOD, released).await;
        }
    }

    /// Asks for room for `bytes` more.
    pub(super) fn try_take(&self, id: IntakeId, bytes: usize) -> RoomAnswer {
        let mut state = self.lock();
        let mut dropped = Vec::new();
        let answer = state.budget.take(self.clock.now(), id, bytes, &mut dropped);
        self.drop_connections(&mut state, Shortage::Bytes, &dropped);
        self.publish(&state);
        answer
    }

    /// Records that a request was refused for lack of room.
    pub(super) fn count_refused(&self) {
        let refused = &self.metrics.refused;
        refused.get_or_create(&[("port", self.port)]).inc();
        self.report(&mut self.lock(), Shortage::Bytes, 1);
    }

    pub(super) fn set_stage(&self, id: IntakeId, stage: IntakeStage) {
        self.lock().budget.set_stage(self.clock.now(), id, stage);
    }

    pub(super) fn on_received(&self, id: IntakeId, bytes: usize) {
        self.lock().budget.on_received(self.clock.now(), id, bytes);
    }

    /// Frees the bytes of a connection.
    pub(super) fn release(&self, id: IntakeId) {
        let mut state = self.lock();
        state.budget.release(id);
        self.publish(&state);
        drop(state);
        self.room.notify_waiters();
    }

    pub(super) fn close(&self, id: IntakeId) {
        let mut state = self.lock();
        state.budget.close(id);
        state.signals.remove(&id);
        self.publish(&state);
        drop(state);
        self.room.notify_waiters();
    }

    /// Waits a while for connections that may be closed.
    pub(crate) async fn wait_for_connections(&self) {
        sleep(ROOM_CHECK_PERIOD).await;
    }

    fn drop_connections(&self, state: &mut GateState, shortage: Shortage, dropped: &[IntakeId]) {
        for id in dropped {
            if let Some(signal) = state.signals.get(id) {
                signal.raise();
            }
        }
        if !dropped.is_empty() {
            let count = dropped.len() as u64;
            let counter = self.metrics.dropped.get_or_create(&[("port", self.port)]);
            counter.inc_by(count);
            self.report(state, shortage, count);
        }
    }

    fn report(&self, state: &mut GateState, shortage: Shortage, count: u64) {
        let now = self.clock.now();
        let kind = shortage as usize;
        state.unreported[kind] += count;
        if now < state.next_report_at[kind] {
            return;
        }
        state.next_report_at[kind] = now + REPORT_PERIOD;
        let count = std::mem::take(&mut state.unreported[kind]);
        let budget = &state.budget;
        match shortage {
            Shortage::Connections => log_event!(
                self.log, events::CONNECTIONS_SHORT,
                "port" => self.port, "closed" => count, "connections" => budget.connections(),
                "max" => budget.settings().connections_max,
            ),
            Shortage::Bytes => log_event!(
                self.log, events::REQUEST_BYTES_SHORT,
                "port" => self.port, "refused" => count, "bytes" => budget.bytes(),
                "max" => budget.settings().bytes_max,
            ),
        }
    }

    fn publish(&self, state: &GateState) {
        let label = [("port", self.port)];
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let connections = self.metrics.connections.get_or_create(&label);
        connections.set(gauge(state.budget.connections()));
        let bytes = self.metrics.bytes.get_or_create(&label);
        bytes.set(gauge(state.budget.bytes()));
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
