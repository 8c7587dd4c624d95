//! Frames of a TCP connection: a length of four bytes, then an authenticated body.

use std::io::ErrorKind::UnexpectedEof;

use policy::peers::{
    open_stream,
    seal_stream, //
};
use schema::peer::StreamBody;
use tokio::io::{
    AsyncRead,
    AsyncReadExt,
    AsyncWrite,
    AsyncWriteExt, //
};

use super::PeerError;
use crate::intake::IntakeSlot;

/// Largest frame, in bytes: a bundle of the largest size and its head.
const FRAME_MAX_BYTES: usize = 20 * 1024 * 1024;

/// Smallest room that a frame asks for.
const STEP_BYTES_MIN: usize = 16 * 1024;
/// How often a frame is in memory while it is decoded.
const FRAME_COPIES: usize = 2;

/// Writes a frame.
///
/// # Errors
///
/// [`PeerError::FrameTooLarge`] or [`PeerError::ConnectionFailed`].
pub(super) async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    key: &[u8; 32],
    body: &StreamBody,
) -> Result<(), PeerError> {
    let bytes = seal_stream(key, body);
    check_size(bytes.len())?;
    let length = (bytes.len() as u32).to_be_bytes();
    stream.write_all(&length).await?;
    stream.write_all(&bytes).await?;
    stream.flush().await?;
    Ok(())
}

/// Reads a frame with an answer. Memory is allocated as bytes arrive, not by the announced length, which the
/// sender could choose at will before it is authenticated. `may_hold` is asked for the bytes of each step.
/// The copy that is decoded from them takes their place at once.
///
/// # Errors
///
/// [`PeerError`]; the connection cannot be used any more.
pub(super) async fn read_answer(
    stream: &mut (impl AsyncRead + Unpin),
    key: &[u8; 32],
    mut may_hold: impl FnMut(usize) -> bool,
) -> Result<StreamBody, PeerError> {
    let length = stream.read_u32().await? as usize;
    check_size(length)?;
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let step = next_step(bytes.len(), length);
        if !may_hold(step) {
            return Err(PeerError::NoRoom);
        }
        read_step(stream, &mut bytes, step, |_| ()).await?;
    }
    Ok(open_stream(key, &bytes)?)
}

/// Reads a frame of a peer that calls. Room for it and for the copy that is decoded from it is reserved
/// as bytes arrive.
///
/// # Errors
///
/// [`PeerError`]; the connection cannot be used any more.
pub(super) async fn read_call(
    stream: &mut (impl AsyncRead + Unpin),
    slot: &IntakeSlot,
    key: &[u8; 32],
) -> Result<StreamBody, PeerError> {
    let length = stream.read_u32().await? as usize;
    check_size(length)?;
    slot.start_body();
    let mut bytes = Vec::new();
    while bytes.len() < length {
        let step = next_step(bytes.len(), length);
        if !slot.take(step * FRAME_COPIES).await {
            return Err(PeerError::NoRoom);
        }
        read_step(stream, &mut bytes, step, |count| slot.on_received(count)).await?;
    }
    slot.end_body();
    Ok(open_stream(key, &bytes)?)
}

/// How many bytes are read next of a frame of `length` bytes, of which `read` have been read.
fn next_step(read: usize, length: usize) -> usize {
    (2 * read).max(STEP_BYTES_MIN).min(length) - read
}

/// Reads `step` further bytes; `on_received` is told of each piece.
async fn read_step(
    stream: &mut (impl AsyncRead + Unpin),
    bytes: &mut Vec<u8>,
    step: usize,
    on_received: impl Fn(usize),
) -> Result<(), PeerError> {
    let end = bytes.len() + step;
    bytes.reserve_exact(step);
    while bytes.len() < end {
        let rest = (end - bytes.len()) as u64;
        let count = (&mut *stream).take(rest).read_buf(bytes).await?;
        if count == 0 {
            return Err(PeerError::ConnectionFailed(UnexpectedEof.into()));
        }
        on_received(count);
    }
    Ok(())
}

fn check_size(bytes: usize) -> Result<(), PeerError> {
    if bytes > FRAME_MAX_BYTES {
        return Err(PeerError::FrameTooLarge {
            bytes,
            max: FRAME_MAX_BYTES,
        });
    }
    Ok(())
}
