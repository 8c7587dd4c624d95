//! What the table of rates asks its daemon to do.

use schema::{
    DaemonName,
    FleetRecord,
    QueryId, //
};

use super::{
    RateAdmission,
    RateEvent,
    RateMessage, //
};

/// An action that the daemon carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum RateAction {
    /// Sends a message to another daemon.
    Send {
        /// The other daemon.
        to: DaemonName,
        /// The message.
        message: RateMessage,
    },
    /// A request that waited is decided.
    Decided {
        /// The request.
        query: QueryId,
        /// The decision, which is not [`RateAdmission::Pending`].
        admission: RateAdmission,
    },
    /// Writes the record of the fleet to the store.
    WriteFleet {
        /// The new record.
        record: FleetRecord,
        /// Revision that the item must have; 0 if there must be none.
        expected_revision: u64,
    },
    /// Writes an event to the log.
    Log(RateEvent),
}
