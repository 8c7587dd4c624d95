//! Reads the bodies of requests within the budget.

use std::time::Duration;

use axum::body::{
    Body,
    HttpBody as _, //
};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::{
    task::spawn_local,
    time::{
        timeout,
        timeout_at,
        Instant, //
    },
};

use super::intake_slot::IntakeSlot;

/// Smallest room that a body of unknown length asks for.
const STEP_BYTES_MIN: usize = 1_024;
/// Time for which the rest of a refused body is read, so that its caller can read the refusal before
/// the connection is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFailure {
    /// It is larger than allowed.
    TooLarge,
    /// The connection ended, or the body is malformed.
    Broken,
    /// It did not arrive in time.
    Late,
    /// There is no room for it, or the room was needed for others while it made no progress.
    NoRoom,
}

/// Reads a body of at most `max_bytes`. Room is reserved for its announced length before anything is
/// read, or as it grows if none is announced. Its bytes are copied into one buffer, so that a chunk
/// takes no more memory than its bytes. The rest of a body that is refused is drained in a task.
pub(crate) async fn read_body(
    slot: Option<&IntakeSlot>,
    mut body: Body,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, BodyFailure> {
    let result = read_within_slot(slot, &mut body, max_bytes, deadline).await;
    if let Err(BodyFailure::NoRoom | BodyFailure::TooLarge) = result {
        spawn_local(drain_body(body, max_bytes));
    }
    result
}

async fn read_within_slot(
    slot: Option<&IntakeSlot>,
    body: &mut Body,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, BodyFailure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let Some(slot) = slot else {
        return collect_body(None, body, max_bytes, deadline).await;
    };
    slot.start_body();
    let bytes = tokio::select! {
        biased;
        bytes = collect_body(Some(slot), body, max_bytes, deadline) => bytes?,
        () = slot.dropped() => return Err(BodyFailure::NoRoom),
    };
    slot.end_body();
    Ok(bytes)
}

async fn collect_body(
    slot: Option<&IntakeSlot>,
    body: &mut Body,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, BodyFailure> {
    let announced = body.size_hint().lower();
    if announced > max_bytes as u64 {
        return Err(BodyFailure::TooLarge);
    }
    let mut bytes = Vec::new();
    reserve(slot, &mut bytes, announced as usize, max_bytes).await?;
    loop {
        let frame = timeout_at(deadline, body.frame()).await;
        let frame = match frame.map_err(|_| BodyFailure::Late)? {
            None => return Ok(bytes.into()),
            Some(frame) => frame.map_err(|_| BodyFailure::Broken)?,
        };
        // Trailers are not passed on.
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(BodyFailure::TooLarge);
        }
        if let Some(slot) = slot {
            slot.on_received(data.len());
        }
        reserve(slot, &mut bytes, data.len(), max_bytes).await?;
        bytes.extend_from_slice(data);
    }
}

/// Makes room for `added` bytes more. A buffer that has to grow doubles, up to `max_bytes`.
async fn reserve(
    slot: Option<&IntakeSlot>,
    bytes: &mut Vec<u8>,
    added: usize,
    max_bytes: usize,
) -> Result<(), BodyFailure> {
    let capacity = bytes.capacity();
    let needed = bytes.len() + added;
    if needed <= capacity {
        return Ok(());
    }
    let new_capacity = match capacity {
        0 => needed.max(STEP_BYTES_MIN),
        _ => needed.max((2 * capacity).min(max_bytes)),
    };
    if let Some(slot) = slot {
        if !slot.take(new_capacity - capacity).await {
            return Err(BodyFailure::NoRoom);
        }
    }
    bytes.reserve_exact(new_capacity - bytes.len());
    Ok(())
}

/// Reads the rest of a refused body without keeping it, for a limited time and up to `max_bytes`.
async fn drain_body(mut body: Body, max_bytes: usize) {
    let drain = async {
        let mut left = max_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else {
                return;
            };
            left = rest;
        }
    };
    let _ = timeout(DRAIN_TIMEOUT, drain).await;
}
