//! Actions that the forwarding engine requests from the daemon.

use std::net::SocketAddr;

use schema::{
    AttemptId,
    CrashNotice,
    DaemonName,
    FleetRecord,
    LimitNotice,
    QueryId,
    QueryPrint,
    ReplicaName,
    ServiceName,
    TimePoint, //
};

use super::{
    ForwardAnswer,
    LoggedEvent,
    RelayCommand,
    ReplicaKey, //
};
use crate::rates::RateMessage;

/// A request to be sent to one replica.
#[derive(Clone, Debug)]
pub struct SendCommand {
    /// The attempt. Unless it is cancelled first, the daemon must report its reply or failure.
    pub attempt: AttemptId,
    /// The caller's request to which the attempt belongs.
    pub query: QueryId,
    /// The replica, as numbered by the engine.
    pub replica: ReplicaKey,
    /// The replica's name in the directory.
    pub name: ReplicaName,
    /// Address at which the replica listens.
    pub address: SocketAddr,
    /// Time after which the replica may stop working on the request.
    pub deadline: TimePoint,
    /// Whether this is a hedge or a retry: the service has been sent the request before.
    pub extra: bool,
    /// Whether another replica of the service has a shorter round trip.
    pub far: bool,
}

/// An action for the daemon.
#[derive(Clone, Debug)]
pub enum ForwardAction {
    /// Send a request to a replica.
    Send(SendCommand),
    /// Cancel an attempt or a relay and close its connection.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Open a connection to a replica to find out whether its process has ended.
    Probe {
        /// The replica, which has broken a connection.
        replica: ReplicaKey,
        /// Address of the replica.
        address: SocketAddr,
    },
    /// Ask a replica for its health, on a new connection, to find out whether this daemon reaches it.
    CheckHealth {
        /// The replica.
        replica: ReplicaKey,
        /// Its service, which names the path of the check.
        service: ServiceName,
        /// Its address.
        address: SocketAddr,
    },
    /// Ask another daemon how many requests it takes.
    AskHelper {
        /// The other daemon.
        to: DaemonName,
        /// Number of daemons among which this one divides its requests.
        helpers: u32,
    },
    /// Send a request to another daemon.
    Relay(RelayCommand),
    /// Report crashes of replicas under a request to the other daemons.
    ReportCrash(CrashNotice),
    /// Have the store keep crashes, so that they outlive the daemons, and report whether it does.
    KeepCrashes(CrashNotice),
    /// Remove the crashes under a request from the store.
    DropCrashes(QueryPrint),
    /// Claim a trial of a refused request in the store by [`claim_trial`](super::claim_trial), and report the
    /// outcome.
    ClaimTrial {
        /// The request that waits for it.
        query: QueryId,
        /// What this daemon knows of the crashes.
        notice: CrashNotice,
    },
    /// Tell another daemon about limits of replicas.
    ShareLimits {
        /// The other daemon.
        to: DaemonName,
        /// The limits and what this daemon needs or grants.
        notice: LimitNotice,
    },
    /// Ask another daemon about shared rates, or answer it.
    ShareRates {
        /// The other daemon.
        to: DaemonName,
        /// The question or answer.
        message: RateMessage,
    },
    /// Write the record of the fleet to the store.
    WriteFleet {
        /// The new record.
        record: FleetRecord,
        /// Revision that the item must have; 0 if there must be none.
        expected_revision: u64,
    },
    /// Close the idle connections to a replica that has sent no reply for so long that they may be
    /// dead.
    CloseIdle {
        /// The replica that has sent no reply.
        replica: ReplicaKey,
    },
    /// Close all idle connections to a replica that has left the directory and has no attempt in
    /// flight.
    Forget {
        /// The replica that has left.
        replica: ReplicaKey,
    },
    /// Answer a caller's request. No further action follows for this request.
    Answer {
        /// The request that is answered.
        query: QueryId,
        /// The answer for the caller.
        answer: ForwardAnswer,
    },
    /// Write an event to the log and count it.
    Log(LoggedEvent),
}
