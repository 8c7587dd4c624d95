//! Input events and output actions of the membership protocol.

use std::net::SocketAddr;

use schema::{
    peer::SyncBody,
    BundleVersion,
    CrashNotice,
    DaemonName,
    Incarnation,
    LimitNotice,
    QueryPrint,
    TimePoint,
    VmName, //
};

use crate::rates::RateMessage;

/// Input for `PeerCore::on_event`.
#[derive(Clone, Debug)]
pub enum PeerEvent {
    /// A datagram was received.
    Datagram {
        /// Encoded datagram.
        bytes: Vec<u8>,
    },
    /// The platform's VM list was read. It may be out of date.
    VmListRead {
        /// Peer addresses of the daemons in the list.
        addresses: Vec<SocketAddr>,
    },
    /// The settings name other seeds.
    SeedsChanged {
        /// Peer addresses of the seeds, which take the place of those before.
        addresses: Vec<SocketAddr>,
    },
    /// The record of contacts in the store was read. Some addresses may be out of date.
    ContactsRead {
        /// Peer addresses of the daemons in it.
        addresses: Vec<SocketAddr>,
    },
    /// A bundle version came into force on this daemon.
    BundleApplied {
        /// Version of the bundle.
        version: BundleVersion,
        /// First eight bytes of the bundle's digest.
        digest: u64,
    },
    /// This daemon found that an upstream is draining; the mark is passed on to other daemons.
    DrainObserved {
        /// Upstream that is draining.
        vm: VmName,
        /// When the drain mark expires.
        until: TimePoint,
    },
    /// This daemon saw upstreams crash while they ran a query; it notifies the other daemons.
    QuarantineObserved {
        /// Fingerprint of the query.
        print: QueryPrint,
        /// Upstreams that crashed.
        deaths: Vec<VmName>,
        /// When the quarantine expires.
        until: TimePoint,
    },
    /// This daemon has counted a crash against a request, or taken over a peer's count; it passes
    /// the notice on. The caller keeps the notices and adds them to syncs.
    CrashObserved {
        /// The crashes and the request.
        notice: CrashNotice,
    },
    /// This daemon shares limits of replicas with one other daemon, if that is a member.
    LimitsShared {
        /// The other daemon.
        to: DaemonName,
        /// The limits and what this daemon needs or grants.
        notice: LimitNotice,
    },
    /// This daemon asks another one about shared rates, or answers it, if that is a member of a build that
    /// shares rates.
    RatesShared {
        /// The other daemon.
        to: DaemonName,
        /// The question or answer.
        message: RateMessage,
    },
    /// A peer requested a sync by stream and sent its own state. The action `ReplySync` answers it.
    SyncRequested {
        /// Identifies the request; chosen by the caller of `on_event`.
        reply_to: u64,
        /// All notes that the peer knows.
        body: SyncBody,
    },
    /// A peer answered `RequestSync`.
    SyncReplied {
        /// All notes that the peer knows.
        body: SyncBody,
    },
    /// The sync started by `RequestSync` failed.
    SyncFailed,
    /// This daemon is about to stop and announces it to the others.
    LeaveRequested,
    /// The time returned by `next_wakeup` has come.
    TimerFired,
}

/// Action that the caller of `PeerCore::on_event` carries out.
#[derive(Clone, Debug)]
pub enum PeerAction {
    /// Sends a datagram.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// Encoded datagram.
        bytes: Vec<u8>,
    },
    /// Exchanges full state with a peer by stream; answered by `SyncReplied` or `SyncFailed`.
    RequestSync {
        /// Peer address of the other daemon.
        to: SocketAddr,
        /// All notes that this daemon knows.
        body: SyncBody,
    },
    /// Answers the sync request of a peer.
    ReplySync {
        /// Identifies the request, as in `SyncRequested`.
        reply_to: u64,
        /// All notes that this daemon knows.
        body: SyncBody,
    },
    /// A member was added or its entry changed; `PeerCore::members` returns the new list.
    MembersChanged,
    /// An incarnation of a daemon, and all its earlier ones, are dead or leaving.
    MemberGone {
        /// Name of the daemon.
        daemon: DaemonName,
        /// Latest incarnation that is dead or leaving.
        incarnation: Incarnation,
    },
    /// Fetches a newer bundle from a peer by stream.
    FetchBundle {
        /// Peer address of the daemon that has it.
        from: SocketAddr,
        /// Version in force on the peer.
        version: BundleVersion,
    },
    /// A peer reported that an upstream is draining.
    DrainReceived {
        /// Upstream that is draining.
        vm: VmName,
        /// When the drain mark expires.
        until: TimePoint,
    },
    /// A peer reported replicas that crashed while they ran a request.
    CrashReceived {
        /// The crashes and the request.
        notice: CrashNotice,
    },
    /// A peer reported limits of replicas.
    LimitsReceived {
        /// The peer.
        from: DaemonName,
        /// The limits and what the peer needs or grants.
        notice: LimitNotice,
    },
    /// A peer asked about shared rates, or answered.
    RatesReceived {
        /// The peer.
        from: DaemonName,
        /// The question or answer.
        message: RateMessage,
    },
    /// A peer reported that upstreams crashed while they ran a query.
    QuarantineReceived {
        /// Fingerprint of the query.
        print: QueryPrint,
        /// Upstreams that crashed.
        deaths: Vec<VmName>,
        /// When the quarantine expires.
        until: TimePoint,
    },
}
