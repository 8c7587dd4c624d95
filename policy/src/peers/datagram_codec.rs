//! Encoding of datagrams and stream frames: a format version, a message authentication code (MAC),
//! and a body in postcard encoding.

use schema::peer::{
    DatagramBody,
    StreamBody, //
};
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use thiserror::Error;

/// Maximum size of an encoded datagram, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;
const FORMAT_VERSION: u8 = 1;
const MAC_BYTES: usize = 16;
const HEADER_BYTES: usize = 1 + MAC_BYTES;
/// Part of the MAC input, so that a datagram is not accepted as a stream frame or the reverse.
const DATAGRAM_KIND: u8 = 1;
const STREAM_KIND: u8 = 2;

/// Reason why a received datagram or frame is dropped.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum CodecError {
    /// The message is shorter than the header.
    #[error("peer message is shorter than its header")]
    TooShort,
    /// The sender uses another version of the format.
    #[error("peer message has unsupported format version {found}")]
    UnsupportedVersion {
        /// Version in the header of the message.
        found: u8,
    },
    /// The MAC does not match: the sender has the key of another deployment, or the message was
    /// changed in transit.
    #[error("peer message failed authentication")]
    NotAuthentic,
    /// The MAC matches, but the body does not decode.
    #[error("peer message body is malformed")]
    Malformed,
}

/// Encodes and authenticates a datagram; the result is empty if encoding fails.
pub fn seal_datagram(key: &[u8; 32], body: &DatagramBody) -> Vec<u8> {
    seal(key, DATAGRAM_KIND, body)
}

/// Authenticates and decodes a datagram.
///
/// # Errors
///
/// Returns [`CodecError`] if any part is invalid; the caller must drop the whole datagram.
pub fn open_datagram(key: &[u8; 32], bytes: &[u8]) -> Result<DatagramBody, CodecError> {
    open(key, DATAGRAM_KIND, bytes)
}

/// Encodes and authenticates a stream frame, without the length prefix; the result is empty if
/// encoding fails.
pub fn seal_stream(key: &[u8; 32], body: &StreamBody) -> Vec<u8> {
    seal(key, STREAM_KIND, body)
}

/// Authenticates and decodes a stream frame.
///
/// # Errors
///
/// Returns [`CodecError`] if any part is invalid; the caller must drop the whole frame.
pub fn open_stream(key: &[u8; 32], bytes: &[u8]) -> Result<StreamBody, CodecError> {
    open(key, STREAM_KIND, bytes)
}

fn seal(key: &[u8; 32], kind: u8, body: &impl Serialize) -> Vec<u8> {
    let Ok(mut bytes) = postcard::to_extend(body, vec![0; HEADER_BYTES]) else {
        return Vec::new();
    };
    let mac = message_mac(key, kind, &bytes[HEADER_BYTES..]);
    bytes[0] = FORMAT_VERSION;
    bytes[1..HEADER_BYTES].copy_from_slice(&mac);
    bytes
}

fn open<T: DeserializeOwned>(key: &[u8; 32], kind: u8, bytes: &[u8]) -> Result<T, CodecError> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(CodecError::TooShort);
    };
    if header[0] != FORMAT_VERSION {
        return Err(CodecError::UnsupportedVersion { found: header[0] });
    }
    let mac = message_mac(key, kind, body);
    // The comparison takes constant time, so that its duration reveals nothing about the MAC.
    let difference = mac
        .iter()
        .zip(&header[1..])
        .fold(0, |bits, (a, b)| bits | (a ^ b));
    if difference != 0 {
        return Err(CodecError::NotAuthentic);
    }
    match postcard::take_from_bytes(body) {
        Ok((body, [])) => Ok(body),
        _ => Err(CodecError::Malformed),
    }
}

fn message_mac(key: &[u8; 32], kind: u8, body: &[u8]) -> [u8; MAC_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&[FORMAT_VERSION, kind]);
    hasher.update(body);
    let mut mac = [0; MAC_BYTES];
    mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
    mac
}
