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

/// Reads a frame. Memory is allocated as bytes arrive, not by the announced length, which the
/// sender could choose at will before it is authenticated.
///
/// # Errors
///
/// [`PeerError`]; the connection cannot be used any more.
pub(super) async fn read_frame(
    stream: &mut (impl AsyncRead + Unpin),
    key: &[u8; 32],
) -> Result<StreamBody, PeerError> {
    let length = stream.read_u32().await? as usize;
    check_size(length)?;
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
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
        let capacity = (2 * bytes.len()).max(STEP_BYTES_MIN).min(length);
        if !slot.take((capacity - bytes.len()) * FRAME_COPIES).await {
            return Err(PeerError::NoRoom);
        }
        bytes.reserve_exact(capacity - bytes.len());
        while bytes.len() < capacity {
            let rest = (capacity - bytes.len()) as u64;
            let count = (&mut *stream).take(rest).read_buf(&mut bytes).await?;
            if count == 0 {
                return Err(PeerError::ConnectionFailed(UnexpectedEof.into()));
            }
            slot.on_received(count);
        }
    }
    slot.end_body();
    Ok(open_stream(key, &bytes)?)
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
