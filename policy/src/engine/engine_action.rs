//! Actions that the query engine requests from the daemon.

use schema::{
    AttemptId,
    GroupName,
    IdempotencyKey,
    QueryId,
    QueryPrint,
    TimePoint,
    UserName,
    VmName, //
};

use super::{
    EngineNote,
    QueryAnswer,
    SendOrder, //
};

/// An action for the daemon to carry out.
#[derive(Clone, Debug)]
pub enum EngineAction {
    /// Send a sub-query.
    Send(SendOrder),
    /// Cancel an attempt and close its connection.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Close the idle connections to an upstream, because attempts on connections to it had no
    /// reply while their hedges did.
    CloseIdle {
        /// The upstream.
        vm: VmName,
    },
    /// Claim an idempotency key in the store; `ClaimResolved` reports the result.
    AcquireClaim {
        /// The request.
        query: QueryId,
        /// Its group.
        group: GroupName,
        /// Its end user.
        user: UserName,
        /// The key.
        key: IdempotencyKey,
    },
    /// Release a claim under which nothing has run.
    ReleaseClaim {
        /// The request.
        query: QueryId,
    },
    /// Record the outcome of a claimed request.
    RecordClaim {
        /// The request.
        query: QueryId,
        /// Its answer.
        answer: QueryAnswer,
    },
    /// Charge the answer and send it to the caller. This is the last action of a request.
    Answer {
        /// The request.
        query: QueryId,
        /// The answer.
        answer: QueryAnswer,
    },
    /// Notify the other daemons that an upstream is draining.
    BroadcastDrain {
        /// The upstream.
        vm: VmName,
        /// When the drain mark expires.
        until: TimePoint,
    },
    /// Notify the other daemons of upstreams that crashed while they ran a query.
    BroadcastQuarantine {
        /// Fingerprint of the query.
        print: QueryPrint,
        /// Upstreams that crashed while they ran it.
        deaths: Vec<VmName>,
        /// When the notice expires.
        until: TimePoint,
    },
    /// Log an event.
    Note(EngineNote),
}
