//! Rates of requests.

use std::{
    fmt,
    str::FromStr, //
};

use thiserror::Error;

/// Requests a second, from 0 to [`RequestRate::MAX`].
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// A text or number that is no rate of requests.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("expected a decimal number of requests a second, from 0 to 1000000000")]
pub struct RateError;

impl RequestRate {
    /// The largest rate; no replica takes that many.
    pub const MAX: f64 = 1e9;

    /// Creates a rate.
    ///
    /// # Errors
    ///
    /// [`RateError`] if the number is negative, too large or not a number.
    pub fn new(per_second: f64) -> Result<Self, RateError> {
        match (0.0..=Self::MAX).contains(&per_second) {
            true => Ok(Self(per_second)),
            false => Err(RateError),
        }
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    /// Parses digits with an optional fraction. Signs, exponents and names of numbers are no rates.
    fn from_str(text: &str) -> Result<Self, RateError> {
        parse_decimal(text).ok_or(RateError).and_then(Self::new)
    }
}

/// Parses digits with an optional fraction. `f64` would accept signs, exponents and names of numbers,
/// too.
pub(crate) fn parse_decimal(text: &str) -> Option<f64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_decimal = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !is_decimal(whole) || !is_decimal(fraction) {
        return None;
    }
    text.parse().ok()
}
