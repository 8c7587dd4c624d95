//! What the claim desk is told and what it asks for.

use schema::{
    GroupName,
    OnceKey,
    QueryId,
    UserName, //
};

use crate::{
    engine::{
        ClaimVerdict,
        QueryAnswer, //
    },
    store::{
        StoreCall,
        StoreReply, //
    },
};

/// An event for the claim desk.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// The engine asks for a claim.
    Take {
        /// The request.
        query: QueryId,
        /// Its group.
        group: GroupName,
        /// Its end user.
        user: UserName,
        /// The key.
        key: OnceKey,
    },
    /// The engine gives a claim back: nothing was sent under it.
    Release {
        /// The request.
        query: QueryId,
    },
    /// The engine hands in the outcome of a claimed request.
    Record {
        /// The request.
        query: QueryId,
        /// Its answer.
        answer: QueryAnswer,
    },
    /// The store answered.
    StoreReplied {
        /// Number of the call.
        call: u64,
        /// What came of it.
        reply: StoreReply,
    },
    /// The time given by `next_wakeup` has come.
    TimerFired,
}

/// An action for the daemon.
#[derive(Clone, Debug)]
pub enum ClaimAction {
    /// Call the store; answered by `StoreReplied` with the same number.
    Store {
        /// Number of the call.
        call: u64,
        /// The call.
        request: StoreCall,
    },
    /// Tell the engine the verdict.
    Settled {
        /// The request.
        query: QueryId,
        /// The verdict.
        verdict: ClaimVerdict,
    },
}
