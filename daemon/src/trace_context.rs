//! W3C trace context.

use std::{
    fmt,
    str::FromStr, //
};

use rand::Rng;
use thiserror::Error;

/// Length of a `traceparent` header of version 00.
const HEADER_BYTES: usize = 55;

/// The text is not a valid `traceparent` header.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
#[error("not a W3C traceparent")]
pub struct TraceError;

/// Trace id, span id and sampling decision, as the `traceparent` header carries them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TraceContext {
    /// Id of the trace, never 0.
    pub trace_id: u128,
    /// Id of the span, never 0.
    pub span_id: u64,
    /// Whether the trace is recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Starts a new trace.
    pub fn new_trace(rng: &mut impl Rng, sampled: bool) -> Self {
        Self {
            trace_id: rng.random_range(1..=u128::MAX),
            span_id: rng.random_range(1..=u64::MAX),
            sampled,
        }
    }

    /// Encodes the `traceparent` header.
    pub fn to_bytes(&self) -> [u8; HEADER_BYTES] {
        let mut text = [b'-'; HEADER_BYTES];
        text[..2].copy_from_slice(b"00");
        // Encoding cannot fail, as each target has twice the size of its source.
        let _ = hex::encode_to_slice(self.trace_id.to_be_bytes(), &mut text[3..35]);
        let _ = hex::encode_to_slice(self.span_id.to_be_bytes(), &mut text[36..52]);
        let _ = hex::encode_to_slice([u8::from(self.sampled)], &mut text[53..]);
        text
    }

    /// Starts a new span of the same trace.
    pub fn child(&self, rng: &mut impl Rng) -> Self {
        Self {
            span_id: rng.random_range(1..=u64::MAX),
            ..*self
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&String::from_utf8_lossy(&self.to_bytes()))
    }
}

impl FromStr for TraceContext {
    type Err = TraceError;

    fn from_str(text: &str) -> Result<Self, TraceError> {
        let mut parts = text.split('-');
        let mut part = |size: usize| {
            let part = parts.next().filter(|part| part.len() == size);
            part.filter(|part| part.bytes().all(is_lower_hex))
                .ok_or(TraceError)
        };
        let version = part(2)?;
        let trace_id = u128::from_str_radix(part(32)?, 16).map_err(|_| TraceError)?;
        let span_id = u64::from_str_radix(part(16)?, 16).map_err(|_| TraceError)?;
        let flags = u8::from_str_radix(part(2)?, 16).map_err(|_| TraceError)?;
        let has_more = parts.next().is_some();
        if version == "ff" || (version == "00" && has_more) || trace_id == 0 || span_id == 0 {
            return Err(TraceError);
        }
        Ok(Self {
            trace_id,
            span_id,
            sampled: flags & 1 == 1,
        })
    }
}

fn is_lower_hex(byte: u8) -> bool {
    byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte)
}
