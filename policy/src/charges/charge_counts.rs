//! Counters of the charge ledger.

/// Counters of the charge ledger since the daemon started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChargeCounts {
    /// Charges created.
    pub answered: u64,
    /// Charges whose answers were delivered after peers held a copy or the store had the segment.
    pub copied: u64,
    /// Charges whose answers were delivered before that.
    pub uncopied: u64,
    /// Charges of this ledger that are in the store.
    pub stored: u64,
    /// Segments written on behalf of daemons that are gone.
    pub segments_taken_over: u64,
    /// Copies rejected because the memory limit for copies was reached.
    pub copies_refused: u64,
    /// Segment writes that the store rejected as invalid. They are tried again after the maximum
    /// retry delay.
    pub segments_refused: u64,
}
