//! Pools of replicas over small deployments, for tests.
#![allow(clippy::unwrap_used, dead_code)]

use std::{
    sync::Arc,
    time::Duration, //
};

use policy::{
    engine::{
        AttemptFailure,
        EngineNote,
        PlacedReplica,
        ReplicaLoad, //
    },
    replicas::{
        AttemptOutcome,
        PickCriteria,
        PickResult,
        PickedReplica,
        PoolSettings,
        ReplicaPool, //
    },
};
use schema::{
    bundle::{
        BundleBody,
        GroupSpec,
        LinkSpec,
        SignerSpec,
        ZoneSpec, //
    },
    DeploymentSpec,
    GroupName,
    KeySpan,
    SnapshotId,
    TimePoint,
    VmName, //
};

/// Size of the service group `g`, the only group of the deployment.
#[derive(Clone, Copy)]
pub(crate) struct PoolShape {
    pub(crate) shards: u32,
    pub(crate) replicas: u32,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) daemons: u32,
}

impl Default for PoolShape {
    fn default() -> Self {
        Self {
            shards: 2,
            replicas: 3,
            slots: 2,
            connections: 25,
            daemons: 8,
        }
    }
}

pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
pub(crate) const START: TimePoint = TimePoint(1_000_000_000);
/// A time after the joining period of a pool that was started at [`START`].
pub(crate) const JOINED: TimePoint = TimePoint(1_010_000_000);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn body(shape: PoolShape) -> BundleBody {
    let zone = |name: &&str| ZoneSpec {
        name: name.to_string(),
        region: "r".into(),
    };
    let link = |(from, to): (&str, &str)| LinkSpec {
        from: from.into(),
        to: to.into(),
        delay_us: 10_000,
    };
    BundleBody {
        deployment: "d".into(),
        version: 1,
        signers: vec![SignerSpec {
            name: "s".into(),
            key: "11".repeat(32),
        }],
        signers_required: 1,
        daemons: shape.daemons,
        zones: ZONES.iter().map(zone).collect(),
        links: [("a", "b"), ("a", "c"), ("b", "c")].map(link).into(),
        groups: vec![GroupSpec {
            name: "g".into(),
            mode: "scatter".into(),
            shard_count: shape.shards,
            replicas: shape.replicas,
            slots: shape.slots,
            connections: shape.connections,
            ..Default::default()
        }],
        ..Default::default()
    }
}

pub(crate) fn spec(body: &BundleBody) -> Arc<DeploymentSpec> {
    Arc::new(DeploymentSpec::from_body(body).unwrap())
}

/// VM `r<shard>-<replica>`, in the data centre with the number `replica` modulo `zones`.
pub(crate) fn placed(shard: u32, replica: u32, zones: u32) -> PlacedReplica {
    PlacedReplica {
        vm: vm(shard, replica),
        address: format!("127.0.0.1:{}", 1000 + shard * 20 + replica)
            .parse()
            .unwrap(),
        zone: ZONES[(replica % zones) as usize].parse().unwrap(),
        group: group(),
        shard: shard.to_string().parse().unwrap(),
        leaving: false,
    }
}

pub(crate) fn placement(shape: PoolShape, zones: u32) -> Vec<PlacedReplica> {
    let shards = 0..shape.shards;
    shards
        .flat_map(|shard| (0..shape.replicas).map(move |replica| placed(shard, replica, zones)))
        .collect()
}

pub(crate) fn vm(shard: u32, replica: u32) -> VmName {
    format!("r{shard}-{replica}").parse().unwrap()
}

pub(crate) fn group() -> GroupName {
    "g".parse().unwrap()
}

/// The pool of a daemon in data centre `a`.
pub(crate) struct PoolHarness {
    pub(crate) pool: ReplicaPool,
    pub(crate) notes: Vec<EngineNote>,
    pub(crate) shape: PoolShape,
}

impl PoolHarness {
    pub(crate) fn new(name: &str, shape: PoolShape, zones: u32) -> Self {
        Self::start(name, shape, zones, START)
    }

    pub(crate) fn start(name: &str, shape: PoolShape, zones: u32, now: TimePoint) -> Self {
        let mut pool = ReplicaPool::new(PoolSettings {
            zone: "a".parse().unwrap(),
            name: name.parse().unwrap(),
            seed: 7,
        });
        let mut notes = Vec::new();
        pool.apply_spec(now, &spec(&body(shape)));
        pool.apply_placement(now, &placement(shape, zones), &mut notes);
        pool.set_daemons(now, shape.daemons);
        Self { pool, notes, shape }
    }

    pub(crate) fn pick_span(
        &mut self,
        now: TimePoint,
        span: KeySpan,
        avoid: &[VmName],
    ) -> PickResult {
        self.pool.pick(
            now,
            &PickCriteria {
                group: &group(),
                span,
                snapshot: SnapshotId(0),
                avoid,
                deadline: now + ms(1000),
                unproven: None,
            },
        )
    }

    /// Picks a replica for shard 0.
    pub(crate) fn pick(&mut self, now: TimePoint) -> Option<PickedReplica> {
        let span = KeySpan::new(0, 65536 / self.shape.shards).unwrap();
        match self.pick_span(now, span, &[]) {
            PickResult::Picked(picked) => Some(picked),
            _ => None,
        }
    }

    /// Picks a replica, sends one attempt to it and finishes the attempt with the outcome for that
    /// replica.
    pub(crate) fn run_attempt(
        &mut self,
        now: TimePoint,
        outcome: impl Fn(&VmName) -> AttemptOutcome,
    ) -> Option<VmName> {
        let vm = self.pick(now)?.vm;
        self.pool.begin_attempt(now, &vm);
        self.finish(now, &vm, outcome(&vm));
        Some(vm)
    }

    pub(crate) fn finish(&mut self, now: TimePoint, vm: &VmName, outcome: AttemptOutcome) {
        self.pool
            .finish_attempt(now, vm, outcome, None, &mut self.notes);
    }

    /// Lets `vm` reply after 10 ms and report `load`.
    pub(crate) fn reply(&mut self, now: TimePoint, vm: &VmName, load: &ReplicaLoad) {
        self.pool.begin_attempt(now, vm);
        self.pool
            .finish_attempt(now, vm, replied(10), Some(load), &mut self.notes);
    }

    /// How often each replica of shard 0 is picked in `count` picks, each of which is answered
    /// after 10 ms.
    pub(crate) fn count_picks(&mut self, now: TimePoint, count: usize) -> Vec<(VmName, usize)> {
        let mut counts = vec![];
        for replica in 0..self.shape.replicas {
            counts.push((vm(0, replica), 0));
        }
        for _ in 0..count {
            let Some(vm) = self.run_attempt(now, |_| replied(10)) else {
                continue;
            };
            let entry = counts.iter_mut().find(|(name, _)| *name == vm);
            entry.unwrap().1 += 1;
        }
        counts
    }

    /// Gives the group a median latency of 10 ms.
    pub(crate) fn set_median(&mut self) {
        for _ in 0..40 {
            self.run_attempt(JOINED, |_| replied(10));
        }
    }
}

pub(crate) fn replied(millis: u64) -> AttemptOutcome {
    AttemptOutcome::Replied {
        latency: ms(millis),
    }
}

pub(crate) fn failed(failure: AttemptFailure) -> AttemptOutcome {
    AttemptOutcome::Failed {
        failure,
        latency: ms(1),
    }
}
