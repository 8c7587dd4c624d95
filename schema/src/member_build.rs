//! What a member's build understands, as its membership entry tells.

use crate::CpuCapacity;

/// Sign before the capacity of a member that understands accounts, homes and shared rates. Older builds read
/// the same number.
const SIGN: char = '+';

/// What a member's build understands.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MemberBuild {
    /// It names no processor capacity.
    Basic,
    /// It names its capacity, and gathers for others.
    Gathers,
    /// It knows client accounts, homes and shared rates, too.
    SharesRates,
}

impl MemberBuild {
    /// Reads the cell of a membership entry, where members name their capacity.
    pub fn of_cell(cell: &str) -> Self {
        match cell.parse::<CpuCapacity>() {
            Ok(_) if cell.starts_with(SIGN) => Self::SharesRates,
            Ok(_) => Self::Gathers,
            Err(_) => Self::Basic,
        }
    }

    /// The cell of a member of this build with the given capacity.
    pub fn text_of(capacity: CpuCapacity) -> String {
        format!("{SIGN}{capacity}")
    }
}
