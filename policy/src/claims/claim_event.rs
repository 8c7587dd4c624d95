//! Events and actions of the claim manager.

use schema::{
    GroupName,
    IdempotencyKey,
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

/// An event for the claim manager.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// The engine needs a claim before it may send a request.
    Take {
        /// Request that the claim is for.
        query: QueryId,
        /// Service group of the request.
        group: GroupName,
        /// End user of the request; keys are separate for each user.
        user: UserName,
        /// Idempotency key.
        key: IdempotencyKey,
    },
    /// The engine releases a claim: nothing was sent under it.
    Release {
        /// Request that held the claim.
        query: QueryId,
    },
    /// The engine reports the outcome of a request with a claim.
    Record {
        /// Request that held the claim.
        query: QueryId,
        /// Answer to record.
        answer: QueryAnswer,
    },
    /// A call to the store has ended.
    StoreReplied {
        /// Number of the call in `ClaimAction::Store`.
        call: u64,
        /// Result of the call.
        reply: StoreReply,
    },
    /// The time returned by `next_wakeup` has come.
    TimerFired,
}

/// An action for the daemon.
#[derive(Clone, Debug)]
pub enum ClaimAction {
    /// Call the store; `StoreReplied` answers with the same number.
    Store {
        /// Number that identifies the call.
        call: u64,
        /// What to do in the store.
        request: StoreCall,
    },
    /// Report to the engine whether the claim was granted.
    Resolved {
        /// Request that asked for the claim.
        query: QueryId,
        /// Result of the claim.
        verdict: ClaimVerdict,
    },
}
