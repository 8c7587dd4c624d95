//! Reconciliation of the charges that were created with those in the store.

use std::collections::BTreeMap;

use schema::{
    DaemonName,
    Incarnation,
    UserName, //
};

use super::UserTotal;

/// Charges that one instance of a daemon created and that were found neither in the store nor on a
/// running daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostCharges {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Incarnation that created the charges.
    pub incarnation: Incarnation,
    /// Sequence numbers of missing segments that are followed by a segment in the store.
    pub gaps: Vec<u64>,
    /// Number of charges that are lost, as far as the segments in the store show.
    pub charges: u64,
    /// Whether the daemon is gone and its closing segment is not in the store: charges after the
    /// last segment found may be lost as well.
    pub open_end: bool,
}

/// Totals over all daemons: `answered + surplus = charged + repeated + waiting + lost`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ChargeReport {
    /// Charges created, according to the segments found and the running daemons.
    pub answered: u64,
    /// Charges in the store, with each token counted once.
    pub charged: u64,
    /// Charges in the store that repeat a token already counted.
    pub repeated: u64,
    /// Records in the store beyond the charges created: written by peers for a daemon that they
    /// wrongly considered dead.
    pub surplus: u64,
    /// Charges that running daemons have not written to the store yet.
    pub waiting: u64,
    /// Lost charges by daemon instance.
    pub lost: Vec<LostCharges>,
    /// Charges and units of each end user.
    pub users: BTreeMap<UserName, UserTotal>,
}

impl ChargeReport {
    /// Number of charges known to be lost; charges after an `open_end` are not included.
    pub fn lost_count(&self) -> u64 {
        self.lost.iter().map(|lost| lost.charges).sum()
    }
}
