//! Events and actions of the charge ledger.

use schema::{
    peer::{
        CopyCall,
        CopyReply,
        StoredCall, //
    },
    ChargeUnits,
    DaemonName,
    Incarnation,
    QueryId,
    UserName, //
};

use super::{
    ChargeToken,
    CopyPeer,
    CopyState, //
};
use crate::store::{
    StoreCall,
    StoreReply, //
};

/// An input of the charge ledger.
#[derive(Clone, Debug)]
pub enum ChargeEvent {
    /// An answer that has a price is ready to be delivered.
    Charge {
        /// The query that is answered.
        query: QueryId,
        /// Idempotency token of the request.
        token: ChargeToken,
        /// End user who is charged.
        user: UserName,
        /// Price of the answer.
        units: ChargeUnits,
    },
    /// The set of running peers has changed.
    PeersChanged {
        /// All running daemons except this one.
        peers: Vec<CopyPeer>,
    },
    /// A daemon is dead or leaving. Its earlier incarnations are gone as well.
    PeerGone {
        /// Name of the daemon.
        daemon: DaemonName,
        /// Its latest incarnation that is gone.
        incarnation: Incarnation,
    },
    /// A peer replied to a copy.
    CopyReplied {
        /// The peer.
        peer: DaemonName,
        /// What the peer holds now.
        reply: CopyReply,
    },
    /// A copy could not be sent, or the peer did not reply.
    CopyFailed {
        /// The peer.
        peer: DaemonName,
    },
    /// A peer asks this daemon to hold a copy; answered by [`ChargeAction::ReplyCopy`].
    CopyRequested {
        /// Identifies the request in the reply.
        reply_to: u64,
        /// The copy.
        call: CopyCall,
    },
    /// A peer announced that a segment of its own is in the store; a copy held here is obsolete.
    SegmentStored {
        /// The segment.
        call: StoredCall,
    },
    /// A store call has completed.
    StoreReplied {
        /// Id of the call.
        call: u64,
        /// Outcome of the call.
        reply: StoreReply,
    },
    /// The daemon is stopping; no further charges follow.
    StopRequested,
    /// The time returned by `next_wakeup` has been reached.
    TimerFired,
}

/// An output of the charge ledger that the daemon must carry out.
#[derive(Clone, Debug)]
pub enum ChargeAction {
    /// Deliver an answer to its caller.
    DeliverAnswer {
        /// The query that is answered.
        query: QueryId,
        /// Whether its charge was copied.
        state: CopyState,
    },
    /// Send a copy to a peer; answered by [`ChargeEvent::CopyReplied`] or
    /// [`ChargeEvent::CopyFailed`].
    SendCopy {
        /// The peer.
        peer: DaemonName,
        /// The copy.
        call: CopyCall,
    },
    /// Reply to a peer that asked this daemon to hold a copy.
    ReplyCopy {
        /// Value from [`ChargeEvent::CopyRequested`].
        reply_to: u64,
        /// What this daemon holds now.
        reply: CopyReply,
    },
    /// Notify a peer that a segment is in the store. No reply is expected.
    NotifyStored {
        /// The peer.
        peer: DaemonName,
        /// The segment.
        call: StoredCall,
    },
    /// Call the store; answered by [`ChargeEvent::StoreReplied`] with the same id.
    Store {
        /// Id of the call.
        call: u64,
        /// The request to the store.
        request: StoreCall,
    },
}
