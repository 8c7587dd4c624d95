//! Processor capacity of a daemon's VM.

use std::{
    fmt,
    str::FromStr, //
};

use thiserror::Error;

/// Processor capacity in thousandths of a core. As text, such as `500m`, daemons of the users' platform
/// name it in place of a cell, which that platform has not. One that names none does not gather for
/// others.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct CpuCapacity(pub u32);

/// A text that is no capacity.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("expected thousandths of a core and the letter m, such as 500m")]
pub struct CapacityError;

impl fmt::Display for CpuCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl FromStr for CpuCapacity {
    type Err = CapacityError;

    fn from_str(text: &str) -> Result<Self, CapacityError> {
        let digits = text.strip_suffix('m').ok_or(CapacityError)?;
        let thousandths = digits.parse().map_err(|_| CapacityError)?;
        Ok(Self(thousandths))
    }
}
