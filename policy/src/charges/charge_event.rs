//! What the charge ledger is told and what it asks for.

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

/// An event for the charge ledger.
#[derive(Clone, Debug)]
pub enum ChargeEvent {
    /// An answer is ready to be handed over and costs something.
    Charge {
        /// The request.
        query: QueryId,
        /// Token of the request.
        token: ChargeToken,
        /// Who pays.
        user: UserName,
        /// How much.
        units: ChargeUnits,
    },
    /// The daemons that are alive now, this one left out.
    PeersChanged {
        /// The daemons.
        peers: Vec<CopyPeer>,
    },
    /// A daemon is dead or leaving, in this and all earlier starts.
    PeerGone {
        /// Its name.
        daemon: DaemonName,
        /// Its last start that is gone.
        incarnation: Incarnation,
    },
    /// A peer confirms a copy.
    CopyHeld {
        /// The peer.
        peer: DaemonName,
        /// What it holds.
        reply: CopyReply,
    },
    /// A peer could not be reached.
    CopyFailed {
        /// The peer.
        peer: DaemonName,
    },
    /// A peer asks to hold a copy; answered by `ReplyCopy`.
    CopyAsked {
        /// Number given by the daemon.
        reply_to: u64,
        /// The copy.
        call: CopyCall,
    },
    /// A segment that may be held here is in the store.
    StoredHeard {
        /// The segment.
        call: StoredCall,
    },
    /// The store answered.
    StoreReplied {
        /// Number of the call.
        call: u64,
        /// What came of it.
        reply: StoreReply,
    },
    /// The daemon stops: no further charge comes.
    StopAsked,
    /// The time given by `next_wakeup` has come.
    TimerFired,
}

/// An action for the daemon.
#[derive(Clone, Debug)]
pub enum ChargeAction {
    /// Hand the answer over.
    HandOver {
        /// The request.
        query: QueryId,
        /// What became of its charge.
        state: CopyState,
    },
    /// Send a copy to a peer; answered by `CopyHeld` or `CopyFailed`.
    SendCopy {
        /// The peer.
        peer: DaemonName,
        /// The copy.
        call: CopyCall,
    },
    /// Answer a peer that asked to hold a copy.
    ReplyCopy {
        /// Number of the event.
        reply_to: u64,
        /// What is held.
        reply: CopyReply,
    },
    /// Tell a peer that a segment is in the store. No answer is needed.
    TellStored {
        /// The peer.
        peer: DaemonName,
        /// The segment.
        call: StoredCall,
    },
    /// Call the store; answered by `StoreReplied` with the same number.
    Store {
        /// Number of the call.
        call: u64,
        /// The call.
        request: StoreCall,
    },
}
