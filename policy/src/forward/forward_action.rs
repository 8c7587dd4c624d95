//! What the forwarding engine asks of the daemon.

use std::net::SocketAddr;

use schema::{
    AttemptId,
    QueryId,
    ReplicaName,
    TimePoint, //
};

use super::{
    ForwardAnswer,
    ForwardNote,
    ReplicaKey, //
};

/// A request to send to one replica.
#[derive(Clone, Debug)]
pub struct ForwardOrder {
    /// The attempt; its reply or failure must be reported unless it is cancelled first.
    pub attempt: AttemptId,
    /// The request it belongs to.
    pub query: QueryId,
    /// The replica's number in this process.
    pub replica: ReplicaKey,
    /// Its identity.
    pub name: ReplicaName,
    /// Where it listens.
    pub address: SocketAddr,
    /// When the replica may stop working on it.
    pub deadline: TimePoint,
    /// Whether the service had the request before.
    pub extra: bool,
    /// Whether another replica of the service is nearer.
    pub far: bool,
}

/// An action for the daemon.
#[derive(Clone, Debug)]
pub enum ForwardAction {
    /// Send a request to a replica.
    Send(ForwardOrder),
    /// Give up an attempt and close its connection.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Close the idle connections to a replica, which has not been heard for long.
    CloseIdle {
        /// The replica.
        replica: ReplicaKey,
    },
    /// Forget a replica and its connections.
    Forget {
        /// The replica.
        replica: ReplicaKey,
    },
    /// Answer a request. The last action of a request.
    Answer {
        /// The request.
        query: QueryId,
        /// The answer.
        answer: ForwardAnswer,
    },
    /// Log a decision.
    Note(ForwardNote),
}
