//! Tests requests that wait for the rate of their account. They make the decisions of the rate table themselves.

#![allow(clippy::unwrap_used)]

use std::{
    sync::Arc,
    time::Duration, //
};

use schema::{
    AccountQuota,
    AccountSpec,
    QueryId,
    ReplicaEntry,
    RouteSpec,
    RouteTable,
    RouteTarget,
    TimePoint, //
};

use super::{
    ForwardAction,
    ForwardAnswer,
    ForwardCall,
    ForwardEngine,
    ForwardEvent,
    ForwardFailure,
    ForwardReply,
    ForwardSettings,
    RefusalReason,
    RequestIdentity,
    RouteIndex, //
};
use crate::rates::RateAdmission;

const QUERY: QueryId = QueryId(1);
const TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// What ends a request, and the refusals that it is answered with.
type EndOfRequest<'a> = (&'a dyn Fn(&mut AdmissionKit), &'a [RefusalReason]);

struct AdmissionKit {
    now: TimePoint,
    engine: ForwardEngine,
    actions: Vec<ForwardAction>,
}

impl AdmissionKit {
    /// An engine with a replica, at which a request of an account with a quota has arrived; `first` is the first
    /// answer of the rate table.
    fn with_request(first: RateAdmission) -> Self {
        let route = RouteSpec {
            name: "r".parse().unwrap(),
            host: "h".into(),
            prefix: "/".into(),
            target: RouteTarget::Single("s".parse().unwrap()),
            idempotent: true,
            timeout: TIMEOUT,
            goal: Duration::ZERO,
            attempts: 1,
            priority: 1,
            public: false,
            homes: Default::default(),
        };
        let account = AccountSpec {
            name: "acme".parse().unwrap(),
            keys: Default::default(),
            priority: None,
            quota: Some(AccountQuota {
                per_second: 1.0,
                burst: 1.0,
            }),
            homes: Default::default(),
        };
        let table = RouteTable {
            routes: vec![route],
            services: vec![("s".parse().unwrap(), 10)],
            accounts: vec![account.clone()],
            needs_keys: true,
            ..RouteTable::default()
        };
        let index = Arc::new(RouteIndex::new(table));
        let mut kit = Self {
            now: TimePoint(1_000_000_000),
            engine: ForwardEngine::new(ForwardSettings {
                daemon: "d".parse().unwrap(),
                zone: "z".parse().unwrap(),
                ..ForwardSettings::default()
            }),
            actions: Vec::new(),
        };
        kit.notify(ForwardEvent::TableApplied(Arc::clone(&index)));
        kit.notify(ForwardEvent::ReplicaListed(ReplicaEntry {
            name: "i".parse().unwrap(),
            service: "s".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z".parse().unwrap(),
            slots: 4,
            draining: false,
            cold_left: Duration::ZERO,
            born_ms: 1,
        }));
        let call = ForwardCall {
            index,
            route: 0,
            time_left: Some(TIMEOUT),
            identity: RequestIdentity::default(),
            shards: Vec::new(),
            account: Some(Arc::new(account)),
            terms: None,
        };
        let engine = &mut kit.engine;
        let request = engine.accept_request(kit.now, QUERY, call, &mut kit.actions);
        engine.follow_admission(kit.now, request.unwrap(), first, &mut kit.actions);
        kit
    }

    fn notify(&mut self, event: ForwardEvent) {
        self.engine.on_event(self.now, event, &mut self.actions);
    }

    fn decide(&mut self, admission: RateAdmission) {
        let engine = &mut self.engine;
        engine.on_rate_decided(self.now, QUERY, admission, &mut self.actions);
    }

    /// Number of sends so far.
    fn sends(&self) -> usize {
        let send = |action: &&ForwardAction| matches!(action, ForwardAction::Send(_));
        self.actions.iter().filter(send).count()
    }

    /// Fires the timers for `period`.
    fn advance(&mut self, period: Duration) {
        let end = self.now + period;
        while self.engine.next_wakeup() <= end {
            self.now = self.now.max(self.engine.next_wakeup());
            self.notify(ForwardEvent::TimerFired);
        }
        self.now = end;
    }

    fn answers(&self) -> Vec<&ForwardAnswer> {
        let answers = self.actions.iter().filter_map(|action| match action {
            ForwardAction::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        answers.collect()
    }

    fn refusals(&self) -> Vec<RefusalReason> {
        let answers = self.answers();
        let reasons = answers.into_iter().map(|answer| match answer {
            ForwardAnswer::NotRun { reason, .. } => *reason,
            answer => panic!("{answer:?}"),
        });
        reasons.collect()
    }

    fn given_back(&self) -> u64 {
        self.engine.admissions.given_back
    }
}

/// Guards against a request that is sent before its account's rate has admitted it, or twice after that.
#[test]
fn a_pending_request_is_sent_once_it_is_admitted() {
    let mut kit = AdmissionKit::with_request(RateAdmission::Pending);
    kit.advance(TIMEOUT / 2);
    assert_eq!((kit.sends(), kit.answers().len()), (0, 0));
    kit.decide(RateAdmission::Admitted);
    kit.decide(RateAdmission::Admitted);
    assert_eq!((kit.sends(), kit.answers().len()), (1, 0));
    assert_eq!(kit.given_back(), 0);
}

/// Guards against a refusal that keeps the request, or that returns an admission which was never given.
#[test]
fn a_refused_request_is_answered_at_once() {
    let refused = RateAdmission::Refused {
        retry_after: RETRY_AFTER,
    };
    let mut late = AdmissionKit::with_request(RateAdmission::Pending);
    late.decide(refused);
    for kit in [AdmissionKit::with_request(refused), late] {
        let expected = ForwardAnswer::NotRun {
            reason: RefusalReason::Quota,
            retry_after: RETRY_AFTER,
        };
        assert_eq!(kit.answers(), [&expected]);
        assert_eq!((kit.sends(), kit.given_back()), (0, 0));
        assert_eq!(kit.engine.in_flight(), 0);
        assert_eq!(kit.engine.next_wakeup(), TimePoint::NEVER);
    }
}

/// Guards against lost admissions: of requests whose caller has left, whose deadline has passed, or whose key
/// was revoked before the decision came.
#[test]
fn an_admission_that_comes_too_late_is_given_back() {
    let gone = |kit: &mut AdmissionKit| kit.notify(ForwardEvent::CallerGone { query: QUERY });
    let expired = |kit: &mut AdmissionKit| kit.advance(TIMEOUT * 2);
    let revoked = |kit: &mut AdmissionKit| {
        let queries = vec![QUERY];
        kit.notify(ForwardEvent::KeysRevoked { queries });
    };
    let unserved = |kit: &mut AdmissionKit| {
        let replica = "i".parse().unwrap();
        kit.notify(ForwardEvent::ReplicaUnlisted(replica));
    };
    let ends: [EndOfRequest<'_>; 4] = [
        (&gone, &[]),
        (&expired, &[RefusalReason::Overload]),
        (&revoked, &[RefusalReason::KeyRevoked]),
        (&unserved, &[RefusalReason::NoReplica]),
    ];
    for (end, refusals) in ends {
        let mut kit = AdmissionKit::with_request(RateAdmission::Pending);
        end(&mut kit);
        kit.decide(RateAdmission::Admitted);
        kit.decide(RateAdmission::Admitted);
        assert_eq!(kit.refusals(), refusals);
        assert_eq!((kit.sends(), kit.given_back()), (0, 1), "{refusals:?}");
        assert_eq!(kit.engine.in_flight(), 0);
    }
}

/// Guards against an admission that is kept although no replica ran the request, and against one that is given
/// back although one did.
#[test]
fn only_requests_that_did_not_run_give_their_admission_back() {
    let reply = |not_run: bool| ForwardReply {
        status: if not_run { 503 } else { 200 },
        not_run,
        stamp: Some("s".into()),
        ..ForwardReply::default()
    };
    let run = ForwardEvent::Replied {
        attempt: schema::AttemptId(1),
        reply: reply(false),
    };
    let not_run = ForwardEvent::Replied {
        attempt: schema::AttemptId(1),
        reply: reply(true),
    };
    let unconnected = ForwardEvent::Failed {
        attempt: schema::AttemptId(1),
        failure: ForwardFailure::Unconnected,
    };
    let gone = ForwardEvent::CallerGone { query: QUERY };
    for (event, given_back) in [(run, 0), (not_run, 1), (unconnected, 1), (gone, 0)] {
        let mut kit = AdmissionKit::with_request(RateAdmission::Admitted);
        assert_eq!(kit.sends(), 1);
        let shown = format!("{event:?}");
        kit.notify(event);
        kit.advance(TIMEOUT * 3);
        assert_eq!(kit.engine.in_flight(), 0, "{shown}");
        assert_eq!(kit.given_back(), given_back, "{shown}");
    }
}

/// Guards against a promise that is broken: a request at a replica may run, whatever becomes of its key.
#[test]
fn a_request_at_a_replica_goes_on_after_its_key_is_revoked() {
    let mut kit = AdmissionKit::with_request(RateAdmission::Admitted);
    let queries = vec![QUERY, QueryId(2)];
    kit.notify(ForwardEvent::KeysRevoked { queries });
    assert_eq!((kit.answers().len(), kit.engine.in_flight()), (0, 1));
}
