//! The load that a replica reports.

use std::str::FromStr;

use thiserror::Error;

use crate::request_rate::parse_decimal;

/// Requests at a replica when it sent a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplicaLoad {
    /// Requests that run.
    pub running: f64,
    /// Requests that wait for a slot.
    pub waiting: f64,
    /// Requests that it runs at once.
    pub slots: f64,
    /// How long work takes there at present, in proportion to the usual time; `None` if it does not say.
    pub slowness: Option<f64>,
}

/// A text that is no load.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("expected three or four decimal numbers, separated by commas")]
pub struct LoadError;

/// The largest number of requests that is believed.
const COUNT_MAX: f64 = 1e6;
/// Bounds within which a stated slowness is used.
const SLOWNESS_BOUNDS: [f64; 2] = [0.1, 100.0];

impl FromStr for ReplicaLoad {
    type Err = LoadError;

    /// Parses `RUNNING,WAITING,SLOTS,SLOWNESS`, where the last number may be missing and is 100 for the
    /// usual time.
    fn from_str(text: &str) -> Result<Self, LoadError> {
        let mut fields = text.split(',').map(str::trim);
        let mut count = || {
            let number = fields.next().and_then(parse_decimal).ok_or(LoadError)?;
            (number <= COUNT_MAX).then_some(number).ok_or(LoadError)
        };
        let [running, waiting, slots] = [count()?, count()?, count()?];
        let slowness = match fields.next() {
            None | Some("") => None,
            Some(percent) => {
                let [least, most] = SLOWNESS_BOUNDS;
                let slowness = parse_decimal(percent).ok_or(LoadError)? / 100.0;
                Some(slowness.clamp(least, most))
            }
        };
        match fields.next() {
            None => Ok(Self {
                running,
                waiting,
                slots,
                slowness,
            }),
            Some(_) => Err(LoadError),
        }
    }
}
