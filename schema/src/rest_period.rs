//! Rests that replicas ask for.

use std::{
    fmt,
    str::FromStr,
    time::Duration, //
};

use thiserror::Error;

use crate::request_rate::parse_decimal;

/// Time for which a replica wants no requests, from 0 to [`RestPeriod::MAX`].
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RestPeriod(Duration);

/// A text that is no rest.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("expected a decimal number of seconds, from 0 to 86400")]
pub struct RestError;

impl RestPeriod {
    /// The longest rest; more than a day is taken for a mistake.
    pub const MAX: Duration = Duration::from_secs(86_400);

    /// The length of the rest.
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl fmt::Display for RestPeriod {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_secs_f64().fmt(f)
    }
}

impl FromStr for RestPeriod {
    type Err = RestError;

    /// Parses digits with an optional fraction, in seconds. Dates, signs, exponents and names of numbers
    /// are no rests.
    fn from_str(text: &str) -> Result<Self, RestError> {
        let seconds = parse_decimal(text).ok_or(RestError)?;
        let duration = Duration::try_from_secs_f64(seconds).map_err(|_| RestError)?;
        match duration <= Self::MAX {
            true => Ok(Self(duration)),
            false => Err(RestError),
        }
    }
}
