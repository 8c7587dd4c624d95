//! Frames of a TCP connection: a length of four bytes, then an authenticated body.

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

/// Largest frame, in bytes: a bundle of the largest size and its head.
const FRAME_MAX_BYTES: usize = 20 * 1024 * 1024;

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

fn check_size(bytes: usize) -> Result<(), PeerError> {
    if bytes > FRAME_MAX_BYTES {
        return Err(PeerError::FrameTooLarge {
            bytes,
            max: FRAME_MAX_BYTES,
        });
    }
    Ok(())
}
