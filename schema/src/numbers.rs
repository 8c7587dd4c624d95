//! Newtypes for ids, versions and quantities.

use std::{
    fmt,
    num::ParseIntError,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

macro_rules! define_number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    };
}

define_number!(
    /// Id of a request in progress, unique within one daemon process.
    QueryId, u64
);
define_number!(
    /// Id of one attempt to send a sub-query, unique within one daemon process.
    AttemptId, u64
);
define_number!(
    /// Version of an index. Higher versions are newer; 0 means none.
    SnapshotId, u64
);
define_number!(
    /// Version of a bundle. Higher versions are newer; 0 means none.
    BundleVersion, u64
);
define_number!(
    /// Distinguishes the starts of a daemon: the time of the start, in microseconds of Unix time.
    Incarnation, u64
);
define_number!(
    /// Amount that an end user is charged, in units.
    ChargeUnits, u64
);
define_number!(
    /// Share of the key space that an answer covers, in parts per million.
    CoverageShare, u32
);

impl CoverageShare {
    /// The whole key space.
    pub const FULL: Self = Self(1_000_000);

    /// Converts a percentage to a share. Values above 100 are treated as 100.
    pub fn from_pct(pct: u32) -> Self {
        Self(pct.min(100) * 10_000)
    }
}
