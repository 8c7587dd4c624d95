//! Events that the daemon reports to the forwarding engine.

use std::{
    sync::Arc,
    time::Duration, //
};

use schema::{
    AttemptId,
    CrashNotice,
    DaemonName,
    FleetEntry,
    LimitNotice,
    QueryId,
    QueryPrint,
    ReplicaEntry,
    ReplicaName,
    TimePoint,
    ZoneName, //
};

use super::{
    BranchAnswer,
    ClaimOutcome,
    ForwardCall,
    ForwardFailure,
    ForwardReply,
    ProbeOutcome,
    RelayOffer,
    RelayOutcome,
    RelayPeer,
    ReplicaKey,
    RouteIndex, //
};
use crate::rates::RateMessage;

/// An event for the forwarding engine.
#[derive(Clone, Debug)]
pub enum ForwardEvent {
    /// A caller's request arrived.
    Arrived {
        /// Identifier that the daemon assigned to the request.
        query: QueryId,
        /// The properties of the request that the engine needs.
        call: ForwardCall,
    },
    /// The caller closed its connection before the answer.
    CallerGone {
        /// The request that is no longer wanted.
        query: QueryId,
    },
    /// A complete reply to an attempt arrived.
    Replied {
        /// The attempt that was replied to.
        attempt: AttemptId,
        /// The replica's reply.
        reply: ForwardReply,
    },
    /// An attempt ended without a reply.
    Failed {
        /// The attempt that failed.
        attempt: AttemptId,
        /// How the attempt failed.
        failure: ForwardFailure,
    },
    /// A probe of a replica ended.
    Probed {
        /// The replica that was probed.
        replica: ReplicaKey,
        /// What the probe has shown.
        outcome: ProbeOutcome,
    },
    /// Another daemon reported crashes of replicas under a request.
    CrashReported(CrashNotice),
    /// The store has kept crashes of replicas under a request.
    CrashesRead(CrashNotice),
    /// The store was told to keep crashes.
    CrashesKept {
        /// Fingerprint of the request.
        print: QueryPrint,
        /// Whether it has them now.
        kept: bool,
    },
    /// The store has answered the claim of a trial, or could not be asked.
    TrialClaimed {
        /// The request that waits.
        query: QueryId,
        /// The fingerprint for which a trial was claimed.
        print: QueryPrint,
        /// Whether it may be sent on.
        outcome: ClaimOutcome,
    },
    /// A replica was added to the directory, or its entry changed.
    ReplicaListed(ReplicaEntry),
    /// A replica was removed from the directory.
    ReplicaUnlisted(ReplicaName),
    /// The evacuation of a data centre began or ended: while it lasts, its replicas get no requests.
    ZoneEvacuated {
        /// The data centre.
        zone: ZoneName,
        /// Whether it is evacuated now.
        evacuated: bool,
    },
    /// A new route table came into force.
    TableApplied(Arc<RouteIndex>),
    /// The API keys of these requests have been revoked.
    KeysRevoked {
        /// The requests.
        queries: Vec<QueryId>,
    },
    /// The number of daemons that share retry budgets and connections changed.
    DaemonsCounted {
        /// Number of daemons that may be running, including this one.
        daemons: u32,
        /// The other daemons that are alive.
        others: Vec<DaemonName>,
    },
    /// Another daemon reported limits of replicas.
    LimitsReported {
        /// The other daemon.
        from: DaemonName,
        /// The limits and what it needs or grants.
        notice: LimitNotice,
    },
    /// A connection to a replica was opened and carried a reply, or could not be opened.
    Connected {
        /// The replica.
        replica: ReplicaKey,
        /// Whether it was opened.
        opened: bool,
    },
    /// A health check of a replica ended.
    HealthChecked {
        /// The replica.
        replica: ReplicaKey,
        /// Whether a complete reply came, whatever it says.
        answered: bool,
    },
    /// A replica has said in its reply to a health check for how long it is cold.
    ColdReported {
        /// The replica.
        replica: ReplicaKey,
        /// The time; zero if it is warm.
        left: Duration,
    },
    /// Another daemon, which answered a relayed request, named replicas that leave.
    LeavingNamed {
        /// The replicas, see [`schema::ReplicaEntry::instance`].
        instances: Vec<u64>,
    },
    /// The other live daemons changed, which may forward requests for this one.
    RelayPeersListed(Vec<RelayPeer>),
    /// Another daemon was asked how many requests it takes, and answered or did not.
    OfferReceived {
        /// The other daemon.
        from: DaemonName,
        /// Its answer.
        offer: RelayOffer,
    },
    /// The relay of a request ended.
    RelayEnded {
        /// The relay.
        attempt: AttemptId,
        /// How it ended.
        outcome: RelayOutcome,
    },
    /// Another daemon has gathered the shards of a branch.
    BranchGathered {
        /// The relay.
        attempt: AttemptId,
        /// The shards that it has got.
        answer: BranchAnswer,
    },
    /// Another daemon asked about shared rates, or answered.
    RatesReceived {
        /// The other daemon.
        from: DaemonName,
        /// The question or answer.
        message: RateMessage,
    },
    /// The record of the fleet changed.
    FleetListed(FleetEntry),
    /// The copy of the directory contains all that the store had acknowledged before.
    DirectoryKnown {
        /// Until when.
        at: TimePoint,
    },
    /// The machine was suspended, so that the clock stood still.
    Suspended {
        /// For how long.
        period: Duration,
    },
    /// The time returned by `next_wakeup` has come.
    TimerFired,
}
