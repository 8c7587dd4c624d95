//! Events of the table of rates that are written to the log.

use schema::DaemonName;

/// An event for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RateEvent {
    /// This daemon asks another authority for tokens than before.
    AuthorityChosen {
        /// The authority, which may be this daemon.
        authority: DaemonName,
        /// The one until now.
        before: Option<DaemonName>,
        /// `members` if the members have changed, `silent` if the one until now does not answer.
        cause: &'static str,
    },
    /// The record of the fleet that is in force has changed.
    FleetChanged {
        /// Its version.
        version: u64,
        /// Number of its daemons.
        daemons: usize,
        /// Whether this daemon is one of them.
        listed: bool,
    },
    /// This daemon writes the record of the fleet to the store.
    FleetWritten {
        /// Version that it writes.
        version: u64,
        /// Number of daemons in it.
        daemons: usize,
        /// Daemons that are new in it.
        added: usize,
        /// Daemons that are no longer in it.
        removed: usize,
    },
    /// The machine was suspended; tokens and pledges were dropped.
    Suspended {
        /// For how long, in milliseconds.
        period_ms: u64,
    },
}
