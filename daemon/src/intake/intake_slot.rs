//! The place of one connection in the budget of its port.

use std::{
    io,
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
};

use policy::intake::{
    IntakeId,
    IntakeStage,
    RoomAnswer, //
};
use tokio::sync::Notify;

use super::intake_gate::IntakeGate;
use crate::counted_stream::ReadCounter;

/// Bytes of a head that the HTTP library's first buffer holds, which counts as a part of the
/// connection.
const FIRST_BUFFER_BYTES: usize = 8_192;
/// Memory for each further byte of a head: the library's buffer doubles when it is full.
const HEAD_FACTOR: usize = 2;

/// Tells a connection that it is to close.
#[derive(Debug, Default)]
pub(super) struct DropSignal {
    raised: AtomicBool,
    notify: Notify,
}

impl DropSignal {
    pub(super) fn raise(&self) {
        self.raised.store(true, Ordering::Relaxed);
        self.notify.notify_waiters();
    }
}

/// A connection's place in the budget. Clones share it; when the last is dropped, the connection is
/// taken to be closed.
#[derive(Clone, Debug)]
pub(crate) struct IntakeSlot(Arc<SlotState>);

#[derive(Debug)]
struct SlotState {
    gate: IntakeGate,
    id: IntakeId,
    signal: Arc<DropSignal>,
    /// Bytes of the head that is being read.
    head_bytes: AtomicUsize,
    /// Whether a request has begun and its reply is not ready yet.
    in_request: AtomicBool,
    /// Whether a handler reads a body, which answers when the connection is dropped.
    reading_body: AtomicBool,
}

impl Drop for SlotState {
    fn drop(&mut self) {
        self.gate.close(self.id);
    }
}

impl IntakeSlot {
    pub(super) fn new(gate: IntakeGate, id: IntakeId, signal: Arc<DropSignal>) -> Self {
        Self(Arc::new(SlotState {
            gate,
            id,
            signal,
            head_bytes: AtomicUsize::new(0),
            in_request: AtomicBool::new(false),
            reading_body: AtomicBool::new(false),
        }))
    }

    /// Waits until the connection is to close, to make room for others.
    pub(crate) async fn dropped(&self) {
        // Registered before the check, so that no signal in between is missed.
        let notified = self.0.signal.notify.notified();
        if !self.0.signal.raised.load(Ordering::Relaxed) {
            notified.await;
        }
    }

    /// Whether a handler reads a body.
    pub(crate) fn is_reading_body(&self) -> bool {
        self.0.reading_body.load(Ordering::Relaxed)
    }

    /// Records that the head of a request has been read.
    pub(crate) fn start_request(&self) {
        self.0.in_request.store(true, Ordering::Relaxed);
        self.0.gate.set_stage(self.0.id, IntakeStage::Serving);
    }

    /// Records that a body is being read.
    pub(crate) fn start_body(&self) {
        self.0.reading_body.store(true, Ordering::Relaxed);
        self.0.gate.set_stage(self.0.id, IntakeStage::Reading);
    }

    /// Records that the whole body has been read.
    pub(crate) fn end_body(&self) {
        self.0.reading_body.store(false, Ordering::Relaxed);
        self.0.gate.set_stage(self.0.id, IntakeStage::Serving);
    }

    /// Records that nothing of the request is held any longer.
    pub(crate) fn end_request(&self) {
        self.0.in_request.store(false, Ordering::Relaxed);
        self.0.reading_body.store(false, Ordering::Relaxed);
        self.0.head_bytes.store(0, Ordering::Relaxed);
        self.0.gate.release(self.0.id);
        self.0.gate.set_stage(self.0.id, IntakeStage::Idle);
    }

    /// Waits for room for `bytes` more; returns false if there is none in time.
    pub(crate) async fn take(&self, bytes: usize) -> bool {
        self.0.gate.take(self.0.id, bytes).await
    }

    /// Records that `bytes` of a body have been received.
    pub(crate) fn on_received(&self, bytes: usize) {
        self.0.gate.on_received(self.0.id, bytes);
    }

    /// Counts bytes of a head, unless a request has begun. Returns false if there is no room for them.
    fn count_head(&self, bytes: usize) -> bool {
        if self.0.in_request.load(Ordering::Relaxed) {
            return true;
        }
        let before = self.0.head_bytes.fetch_add(bytes, Ordering::Relaxed);
        let beyond = |bytes: usize| bytes.saturating_sub(FIRST_BUFFER_BYTES);
        let added = beyond(before + bytes) - beyond(before);
        if added == 0 {
            return true;
        }
        let answer = self.0.gate.try_take(self.0.id, added * HEAD_FACTOR);
        if answer != RoomAnswer::Taken {
            self.0.gate.count_refused();
        }
        answer == RoomAnswer::Taken
    }
}

impl ReadCounter for IntakeSlot {
    /// Less than the HTTP library's first buffer, because the library doubles its buffer after a read
    /// that fills it.
    const READ_MAX: usize = FIRST_BUFFER_BYTES - 1;

    fn count(&self, bytes: usize) -> io::Result<()> {
        match self.count_head(bytes) {
            true => Ok(()),
            false => Err(io::ErrorKind::OutOfMemory.into()),
        }
    }
}
