//! Cost of queries and replicas in the query engine, and of decoding bundles.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use cpu_time::ThreadTime;
use policy::engine::{
    EngineAction,
    EngineEvent,
    EngineSettings,
    PlacedReplica,
    QueryCall,
    QueryEngine,
    ReplicaLoad,
    ReplicaReply,
    ResultItem,
    SendOrder, //
};
use schema::{
    bundle::{
        BundleBody,
        GroupSpec,
        SignerSpec,
        ZoneSpec, //
    },
    DeploymentSpec,
    QueryId,
    SnapshotId,
    TimePoint, //
};

use crate::{
    heap_use,
    slope_fit::SlopeFit,
    SlopeError, //
};

/// Numbers of shards of a query.
const SHARD_COUNTS: [u32; 5] = [10, 40, 160, 400, 710];
/// Sub-queries measured for each number of shards.
const SUBQUERY_COUNT: u32 = 200_000;
/// Numbers of queries in flight while their heap use is measured.
const IN_FLIGHT_COUNTS: [u64; 4] = [1, 2, 4, 8];
/// Numbers of replicas in the VM list.
const REPLICA_COUNTS: [u32; 5] = [45, 500, 2_000, 5_500, 20_000];
/// Number of shards when the heap use of queries is measured.
const MEMORY_SHARDS: u32 = 710;
/// Virtual time at which the measurement starts.
const START: TimePoint = TimePoint(1_000_000_000_000);

/// Measures CPU time and heap use of queries, replicas, VM lists and bundles.
pub(crate) fn measure() -> Result<Vec<SlopeFit>, SlopeError> {
    Ok(vec![
        query_time()?,
        query_memory()?,
        replica_memory()?,
        placement_time()?,
        body_size()?,
        decode_time()?,
    ])
}

/// A bundle body with one scatter group.
pub(crate) fn wide_body(shards: u32, replicas: u32) -> BundleBody {
    BundleBody {
        deployment: "slopes".into(),
        version: 1,
        signers: vec![SignerSpec {
            name: "ana".into(),
            key: "11".repeat(32),
        }],
        signers_required: 1,
        daemons: 1,
        zones: vec![ZoneSpec {
            name: "zone-1".into(),
            region: "region-1".into(),
        }],
        groups: vec![GroupSpec {
            name: "wide".into(),
            mode: "scatter".into(),
            shard_count: shards,
            replicas,
            slots: 1000,
            connections: 1000,
            ..GroupSpec::default()
        }],
        ..BundleBody::default()
    }
}

/// The upstreams of a body made by [`wide_body`], as entries of the VM list.
pub(crate) fn placed_replicas(
    shards: u32,
    replicas: u32,
) -> Result<Vec<PlacedReplica>, SlopeError> {
    let mut placed = Vec::new();
    for shard in 0..shards {
        for replica in 0..replicas {
            placed.push(PlacedReplica {
                vm: format!("wide-{shard}-{replica}").parse()?,
                address: ([127, 0, 0, 1], 9000).into(),
                zone: "zone-1".parse()?,
                group: "wide".parse()?,
                shard: shard.to_string().parse()?,
                leaving: false,
            });
        }
    }
    Ok(placed)
}

fn new_engine(shards: u32, replicas: u32) -> Result<QueryEngine, SlopeError> {
    let mut engine = QueryEngine::new(EngineSettings {
        zone: "zone-1".parse()?,
        name: "entry-0".parse()?,
        seed: 1,
        max_requests: 10_000,
    });
    let spec = Arc::new(DeploymentSpec::from_body(&wide_body(shards, replicas))?);
    let mut actions = Vec::new();
    engine.apply_bundle(START, spec, &mut actions);
    let replicas = placed_replicas(shards, replicas)?;
    engine.on_event(
        START,
        EngineEvent::PlacementChanged { replicas },
        &mut actions,
    );
    Ok(engine)
}

fn arrival_event(query: u64, now: TimePoint) -> Result<EngineEvent, SlopeError> {
    Ok(EngineEvent::QueryArrived {
        query: QueryId(query),
        call: QueryCall {
            group: "wide".parse()?,
            request: format!("r-{query}").parse()?,
            user: "user-1".parse()?,
            deadline: now + Duration::from_millis(370),
            min_coverage: None,
            once_key: None,
            body: Bytes::from(format!("find {query}")),
        },
    })
}

fn reply_event(order: &SendOrder) -> EngineEvent {
    let item = ResultItem {
        key: order.span.start(),
        id: "item-1".into(),
        body: "text of the result".into(),
    };
    EngineEvent::AttemptReplied {
        attempt: order.attempt,
        reply: ReplicaReply {
            snapshot: SnapshotId(1),
            covered: order.span.into(),
            items: vec![item],
            load: ReplicaLoad {
                slots: 1000,
                snapshots: [SnapshotId(1)].into_iter().collect(),
                serves: order.span.into(),
                ..ReplicaLoad::default()
            },
        },
    }
}

/// Runs one query until it is answered and returns the number of its sub-queries.
fn run_query(engine: &mut QueryEngine, query: u64, now: TimePoint) -> Result<u32, SlopeError> {
    let mut actions = Vec::new();
    engine.on_event(now, arrival_event(query, now)?, &mut actions);
    let mut sent = 0;
    let mut answered = false;
    while !actions.is_empty() {
        for action in std::mem::take(&mut actions) {
            match action {
                EngineAction::Send(order) => {
                    sent += 1;
                    let attempt = order.attempt;
                    engine.on_event(now, EngineEvent::AttemptSent { attempt }, &mut actions);
                    let later = now + Duration::from_millis(2);
                    engine.on_event(later, reply_event(&order), &mut actions);
                }
                EngineAction::Answer { .. } => answered = true,
                _ => {}
            }
        }
    }
    if !answered {
        return Err(SlopeError::NotAnswered);
    }
    Ok(sent)
}

fn query_time() -> Result<SlopeFit, SlopeError> {
    let mut points = Vec::new();
    for shards in SHARD_COUNTS {
        let mut engine = new_engine(shards, 3)?;
        let mut now = START;
        let queries = u64::from(SUBQUERY_COUNT / shards);
        for query in 0..queries / 10 {
            now = now + Duration::from_millis(10);
            run_query(&mut engine, query, now)?;
        }
        let cpu_start = ThreadTime::now();
        let mut sent = 0;
        for query in 0..queries {
            now = now + Duration::from_millis(10);
            sent += run_query(&mut engine, queries + query, now)?;
        }
        if sent < SUBQUERY_COUNT / shards * shards {
            return Err(SlopeError::NotAnswered);
        }
        let micros = cpu_start.elapsed().as_secs_f64() * 1e6 / queries as f64;
        points.push((f64::from(shards), micros));
    }
    Ok(SlopeFit::new(
        "engine: CPU of a query, µs",
        "shards",
        points,
    ))
}

fn query_memory() -> Result<SlopeFit, SlopeError> {
    let mut points = Vec::new();
    for count in IN_FLIGHT_COUNTS {
        let mut engine = new_engine(MEMORY_SHARDS, 3)?;
        let mut actions = Vec::new();
        let heap_before = heap_use();
        for query in 0..count {
            engine.on_event(START, arrival_event(query, START)?, &mut actions);
            actions.clear();
        }
        points.push((count as f64, (heap_use() - heap_before) / 1024.0));
    }
    Ok(SlopeFit::new(
        "engine: heap of queries of 710 shards, KiB",
        "queries",
        points,
    ))
}

fn replica_memory() -> Result<SlopeFit, SlopeError> {
    let mut points = Vec::new();
    for replicas in REPLICA_COUNTS {
        let heap_before = heap_use();
        let engine = new_engine(replicas.div_ceil(8), 8)?;
        points.push((f64::from(replicas), (heap_use() - heap_before) / 1024.0));
        drop(engine);
    }
    Ok(SlopeFit::new(
        "engine: heap of replicas, KiB",
        "replicas",
        points,
    ))
}

fn placement_time() -> Result<SlopeFit, SlopeError> {
    let mut points = Vec::new();
    for replicas in REPLICA_COUNTS {
        let mut engine = new_engine(replicas.div_ceil(8), 8)?;
        let list = placed_replicas(replicas.div_ceil(8), 8)?;
        let cpu_start = ThreadTime::now();
        let mut actions = Vec::new();
        engine.on_event(
            START,
            EngineEvent::PlacementChanged { replicas: list },
            &mut actions,
        );
        points.push((f64::from(replicas), cpu_start.elapsed().as_secs_f64() * 1e3));
    }
    Ok(SlopeFit::new(
        "engine: CPU to apply a VM list, ms",
        "replicas",
        points,
    ))
}

/// A body that lists the key range of each shard, as it does after a repartition.
fn split_body(shards: u32) -> BundleBody {
    let mut body = wide_body(shards, 8);
    let bound = |place: u32| place * schema::KEY_SPACE / shards;
    body.groups[0].shards = (0..shards)
        .map(|place| schema::bundle::ShardSpec {
            name: format!("shard-{place}"),
            start: bound(place),
            end: bound(place + 1),
        })
        .collect();
    body
}

fn body_size() -> Result<SlopeFit, SlopeError> {
    let sizes = SHARD_COUNTS.map(|shards| {
        let bytes = policy::bundle::canonical_bytes(&split_body(shards));
        (f64::from(shards), bytes.len() as f64)
    });
    Ok(SlopeFit::new(
        "bundle: size of the body, bytes",
        "shards",
        sizes.to_vec(),
    ))
}

fn decode_time() -> Result<SlopeFit, SlopeError> {
    let mut points = Vec::new();
    for shards in SHARD_COUNTS {
        let bytes = policy::bundle::canonical_bytes(&split_body(shards));
        let cpu_start = ThreadTime::now();
        for _ in 0..20 {
            let body = policy::bundle::decode_body(&bytes)?;
            DeploymentSpec::from_body(&body)?;
        }
        points.push((
            f64::from(shards),
            cpu_start.elapsed().as_secs_f64() * 1e6 / 20.0,
        ));
    }
    Ok(SlopeFit::new(
        "bundle: CPU to decode and check, µs",
        "shards",
        points,
    ))
}
