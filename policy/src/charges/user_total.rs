//! Totals by end user.

use schema::ChargeUnits;

/// Total charges of one end user.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UserTotal {
    /// Number of charges, with each token counted once.
    pub charges: u64,
    /// Sum of the units of these charges.
    pub units: ChargeUnits,
}
