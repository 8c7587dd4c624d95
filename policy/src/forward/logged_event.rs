//! Events of the forwarding engine that are written to the log.

use std::time::Duration;

use compact_str::CompactString;
use schema::{
    DaemonName,
    QueryId,
    QueryPrint,
    RegionName,
    ReplicaName,
    RequestRate,
    ServiceName,
    TimePoint,
    ZoneName, //
};
use smallvec::SmallVec;

use super::{
    CrashScope,
    LossEvidence,
    RelayOutcome,
    RelayRefusal,
    UnreadableStatement, //
};
use crate::rates::RateEvent;

/// An event for the log. Some of them are counted in metrics too.
#[derive(Clone, Debug, PartialEq)]
pub enum LoggedEvent {
    /// A hedge or a retry is sent to another replica.
    ExtraAttemptSent {
        /// The request that is sent again.
        query: QueryId,
        /// The service that receives it again.
        service: ServiceName,
        /// The replica that receives it.
        replica: ReplicaName,
        /// `late` for a hedge, `failed` for a retry.
        cause: &'static str,
        /// Time since the request arrived.
        age: Duration,
        /// Hedges and retries that the retry budget of the service still allows.
        budget_left: u32,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The request to which the attempt belongs.
        query: QueryId,
        /// The service to which it was sent.
        service: ServiceName,
        /// The replica to which it was sent.
        replica: ReplicaName,
        /// The kind of failure, as named in metrics.
        cause: &'static str,
        /// HTTP status of the reply; `None` if there was none.
        status: Option<u16>,
        /// Time since the attempt was sent.
        age: Duration,
        /// Fingerprint of the request and its caller.
        print: QueryPrint,
    },
    /// A replica crashed while requests ran on it.
    ReplicaCrashed {
        /// The replica that crashed.
        replica: ReplicaName,
        /// The service to which the replica belongs.
        service: ServiceName,
        /// Number of requests of this daemon that ran on it.
        requests: usize,
    },
    /// A crash was counted against a request that ran on the replica.
    CrashCounted {
        /// The request.
        query: QueryId,
        /// The service to which the replica belongs.
        service: ServiceName,
        /// The replica that crashed.
        replica: ReplicaName,
        /// Fingerprint of the request, with or without its caller.
        print: QueryPrint,
        /// What the fingerprint stands for.
        scope: CrashScope,
        /// Crashes that count against the request.
        crashes: u32,
        /// Time for which the request is refused from now on, if it is.
        refused_for: Option<Duration>,
    },
    /// A request succeeded, so that crashes no longer count against it.
    CrashesRefuted {
        /// The request.
        query: QueryId,
        /// The service of the replica on which it succeeded.
        service: ServiceName,
        /// Fingerprint of the request, with or without its caller.
        print: QueryPrint,
        /// Crashes that counted against it until now.
        crashes: u32,
    },
    /// A request under which replicas have crashed was sent to a replica.
    SuspectSent {
        /// The request.
        query: QueryId,
        /// The service to which it was sent.
        service: ServiceName,
        /// The replica to which it was sent.
        replica: ReplicaName,
        /// Fingerprint of the request, with or without its caller.
        print: QueryPrint,
        /// Replicas known to have ended under it, up to those that make it refused.
        ended: usize,
        /// `suspect`, `trial`, or `unclaimed` if it counts against the trials without being one.
        cause: &'static str,
        /// Trials that are left.
        left: u32,
    },
    /// The store has answered the claim of a trial of a refused request, or could not be asked.
    TrialClaimed {
        /// The request.
        query: QueryId,
        /// Fingerprint of the request, with or without its caller.
        print: QueryPrint,
        /// `granted`, `denied` or `unavailable`.
        outcome: &'static str,
        /// Trials that are left.
        left: u32,
    },
    /// A replica has run a trial of a refused request to its end.
    TrialPassed {
        /// The request.
        query: QueryId,
        /// Fingerprint of the request, with or without its caller.
        print: QueryPrint,
    },
    /// A trial of a refused request has reached no replica, and is given back.
    TrialReturned {
        /// The request.
        query: QueryId,
        /// Fingerprint of the request.
        print: QueryPrint,
    },
    /// Another daemon reported crashes under a request.
    CrashReported {
        /// Fingerprint of the request, with or without its caller.
        print: QueryPrint,
        /// Crashes that count against the request.
        crashes: u32,
        /// The replicas that crashed last.
        replicas: SmallVec<[ReplicaName; 3]>,
    },
    /// A request is not sent to a replica, or not to another one, because it crashed several.
    RequestStopped {
        /// The request.
        query: QueryId,
        /// The service to which it is not sent.
        service: ServiceName,
        /// The fingerprint that is refused.
        print: QueryPrint,
        /// What the fingerprint stands for.
        scope: CrashScope,
        /// Crashes that count against it.
        crashes: u32,
        /// The replicas that crashed last.
        replicas: SmallVec<[ReplicaName; 3]>,
        /// When a request with the fingerprint may run again.
        until: TimePoint,
    },
    /// The limit that a replica names has changed.
    LimitChanged {
        /// The replica.
        replica: ReplicaName,
        /// The service to which the replica belongs.
        service: ServiceName,
        /// Requests a second that it takes from all daemons; `None` if it names no limit any more.
        limit: Option<RequestRate>,
        /// The limit until now.
        before: Option<RequestRate>,
        /// The daemon that reported it; `None` if this one had a reply that said so.
        from: Option<DaemonName>,
    },
    /// A reply names a limit that is no rate of requests.
    LimitUnreadable {
        /// The replica.
        replica: ReplicaName,
        /// The service to which the replica belongs.
        service: ServiceName,
        /// The value, shortened.
        value: CompactString,
    },
    /// A request is not sent to a replica now because of the replica's limit.
    RequestHeldBack {
        /// The request.
        query: QueryId,
        /// The service to which it goes.
        service: ServiceName,
        /// The replica, the first to have room again if all have reached their limits.
        replica: ReplicaName,
        /// Requests a second that the replica takes from all daemons.
        limit: RequestRate,
        /// This daemon's share of it, in requests a second.
        share: f64,
        /// `elsewhere`, `waits`, `left_out` or `refused`.
        outcome: &'static str,
        /// Time until this daemon may send the replica a further request.
        wait: Duration,
    },
    /// A replica said in a reply that it leaves.
    ReplicaLeaving {
        /// The replica.
        replica: ReplicaName,
        /// The service to which the replica belongs.
        service: ServiceName,
        /// Whether the directory lists it as draining already.
        listed_as_draining: bool,
    },
    /// A replica turned a request away and wants a rest from this daemon.
    ReplicaRests {
        /// The replica.
        replica: ReplicaName,
        /// The service to which the replica belongs.
        service: ServiceName,
        /// Time until this daemon sends it a request again.
        period: Duration,
    },
    /// A replica made a statement about itself that can't be read.
    StatementUnreadable {
        /// The replica.
        replica: ReplicaName,
        /// The service to which the replica belongs.
        service: ServiceName,
        /// The statement.
        statement: UnreadableStatement,
    },
    /// A replica was added to the directory, was listed again, or started or stopped draining.
    ReplicaListed {
        /// The replica's name in the directory.
        replica: ReplicaName,
        /// The service to which the replica belongs.
        service: ServiceName,
        /// Whether the replica is draining: it finishes its requests and gets no new ones.
        draining: bool,
    },
    /// A replica was removed from the directory.
    ReplicaUnlisted {
        /// The replica that was removed.
        replica: ReplicaName,
    },
    /// The evacuation of a data centre began or ended.
    ZoneEvacuated {
        /// The data centre.
        zone: ZoneName,
        /// Whether it is evacuated now.
        evacuated: bool,
    },
    /// Routes or client accounts name a home region that the deployment does not have.
    HomeUnknown {
        /// The region.
        region: RegionName,
        /// Routes that name it.
        routes: usize,
        /// Client accounts that name it.
        accounts: usize,
    },
    /// The operator has evacuated a data centre that the deployment does not have.
    ZoneUnknown {
        /// The data centre.
        zone: ZoneName,
    },
    /// A replica replied for the first time since its last failed connection.
    ReplicaRecovered {
        /// The replica that replied.
        replica: ReplicaName,
        /// The service to which the replica belongs.
        service: ServiceName,
    },
    /// A replica gets no requests for a backoff period because a connection to it failed.
    ReplicaAvoided {
        /// The replica that is avoided.
        replica: ReplicaName,
        /// The service to which the replica belongs.
        service: ServiceName,
        /// Length of the backoff period.
        period: Duration,
    },
    /// This daemon has lost its links to all replicas.
    LinksLost {
        /// By what it was noticed.
        evidence: LossEvidence,
    },
    /// The links are back.
    LinksRegained {
        /// Time for which they were known to be lost.
        period: Duration,
    },
    /// Another daemon does not forward requests for this one.
    HelperRefused {
        /// The other daemon.
        daemon: DaemonName,
        /// Why it does not.
        refusal: RelayRefusal,
    },
    /// A request was sent to another daemon, which forwards it.
    RequestRelayed {
        /// The request.
        query: QueryId,
        /// The other daemon.
        helper: DaemonName,
        /// Replicas of one service on which the other daemon may run it.
        attempts: u32,
        /// Time since the request arrived.
        age: Duration,
    },
    /// Another daemon did not gather for this one.
    DelegateAvoided {
        /// The request.
        query: QueryId,
        /// The other daemon.
        delegate: DaemonName,
        /// What went wrong: `silent`, `broken` or the reason why it did not take the request.
        cause: &'static str,
        /// Time for which it gets no more gathers.
        period: Duration,
    },
    /// Something has changed in the sharing of rates.
    RatesChanged(RateEvent),
    /// The relay of a request ended.
    RelayEnded {
        /// The request.
        query: QueryId,
        /// The other daemon.
        helper: DaemonName,
        /// How it ended.
        outcome: RelayOutcome,
        /// Time since it was sent.
        age: Duration,
    },
}
