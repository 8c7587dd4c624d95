//! The naive baseline: it queries each shard at a random replica, retries once at a random replica
//! after a failure, and answers when all shards have replied or the deadline has passed.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use axum::{
    body::Bytes,
    extract::{
        Path,
        State, //
    },
    http::{
        HeaderMap,
        Request, //
    },
    routing::post,
    Json,
    Router, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::{
        connect::HttpConnector,
        Client, //
    },
    rt::TokioExecutor, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    caller::{
        AnswerBody,
        CoverageEntry,
        ItemEntry,
        MissingEntry,
        SpanEntry, //
    },
    platform::VmEntry,
    upstream::{
        RunCall,
        RunReply,
        TaskEntry,
        TaskReply, //
    },
    DeploymentSpec,
    GroupName,
    KeySpan,
    ShardPlan,
    SpanSet, //
};

/// Largest number of attempts for a shard.
const MAX_ATTEMPTS: usize = 2;

/// A naive frontend, which callers use in place of a daemon.
pub(crate) struct NaiveFrontend {
    /// The deployment served.
    pub(crate) spec: Arc<DeploymentSpec>,
    /// Upstreams of the deployment, as entries of the VM list.
    pub(crate) vms: Vec<VmEntry>,
    /// Data centre of the frontend.
    pub(crate) zone: String,
    /// Seed of the random choice of replicas.
    pub(crate) seed: u64,
}

/// State that the request handlers share.
struct FrontendState {
    frontend: NaiveFrontend,
    client: Client<HttpConnector, Full<Bytes>>,
    random: Mutex<Pcg64Mcg>,
}

impl NaiveFrontend {
    /// Serves requests on the current runtime, on a port assigned by the kernel, and returns its
    /// address.
    pub(crate) async fn serve(self) -> std::io::Result<SocketAddr> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = FrontendState {
            random: Mutex::new(Pcg64Mcg::seed_from_u64(self.seed)),
            client: Client::builder(TokioExecutor::new()).build_http(),
            frontend: self,
        };
        let app = Router::new()
            .route("/v1/query/{group}", post(answer))
            .with_state(Arc::new(state));
        tokio::spawn(async move { axum::serve(listener, app).await });
        Ok(address)
    }
}

async fn answer(
    State(state): State<Arc<FrontendState>>,
    Path(group): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Json<AnswerBody> {
    let header_text = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
    };
    let deadline = Duration::from_millis(header_text("x-deadline-ms").parse().unwrap_or(1000));
    let query = String::from_utf8_lossy(&body).into_owned();
    let shards = match group
        .parse::<GroupName>()
        .ok()
        .and_then(|name| state.frontend.spec.group(&name))
    {
        Some(group) => group.shards.clone(),
        None => Vec::new(),
    };
    let mut tasks = tokio::task::JoinSet::new();
    for shard in shards {
        let state = state.clone();
        let group = group.clone();
        let query = query.clone();
        tasks.spawn(async move {
            let reply = query_shard(&state, &group, &shard, &query, deadline);
            tokio::time::timeout(deadline, reply).await.ok().flatten()
        });
    }
    let mut replies = Vec::new();
    while let Some(done) = tasks.join_next().await {
        replies.extend(done.ok().flatten());
    }
    Json(merge_replies(header_text("x-request-id"), &group, replies))
}

async fn query_shard(
    state: &FrontendState,
    group: &str,
    shard: &ShardPlan,
    query: &str,
    deadline: Duration,
) -> Option<TaskReply> {
    for _ in 0..MAX_ATTEMPTS {
        let reply = query_replica(state, group, shard, query, deadline).await;
        if let Some(reply) = reply.filter(|reply| reply.refusal.is_empty()) {
            return Some(reply);
        }
    }
    None
}

async fn query_replica(
    state: &FrontendState,
    group: &str,
    shard: &ShardPlan,
    query: &str,
    deadline: Duration,
) -> Option<TaskReply> {
    let serves_shard = |vm: &&VmEntry| vm.group == group && vm.shard == shard.name.as_str();
    let replicas: Vec<&VmEntry> = state.frontend.vms.iter().filter(serves_shard).collect();
    let (index, attempt) = {
        let mut random = state.random.lock().ok()?;
        (
            random.random_range(0..replicas.len().max(1)),
            random.random::<u64>(),
        )
    };
    let replica = replicas.get(index)?;
    let call = RunCall {
        group: group.into(),
        zone: state.frontend.zone.clone(),
        cell: String::new(),
        tasks: vec![TaskEntry {
            attempt: attempt.to_string(),
            shard: shard.name.to_string(),
            start: shard.span.start(),
            end: shard.span.end(),
            snapshot: 0,
            deadline_ms: deadline.as_millis() as u64,
            query: query.into(),
            once_key: String::new(),
        }],
    };
    let request = Request::post(format!("http://{}/v1/run", replica.address))
        .header("content-type", "application/json")
        .body(Full::from(serde_json::to_vec(&call).ok()?))
        .ok()?;
    let reply = state.client.request(request).await.ok()?;
    let bytes = reply.into_body().collect().await.ok()?.to_bytes();
    let reply: RunReply = serde_json::from_slice(&bytes).ok()?;
    reply.replies.into_iter().next()
}

fn merge_replies(request: &str, group: &str, replies: Vec<TaskReply>) -> AnswerBody {
    let mut heard = SpanSet::default();
    let mut items = Vec::new();
    let mut snapshot = 0;
    for reply in replies {
        snapshot = snapshot.max(reply.snapshot);
        if let Ok(spans) = SpanSet::from_pairs(&reply.spans) {
            heard.union(&spans);
        }
        for hit in reply.hits {
            items.push(ItemEntry {
                key: hit.key,
                id: hit.id,
                body: hit.body,
            });
        }
    }
    items.sort_by(|left, right| (left.key, &left.id).cmp(&(right.key, &right.id)));
    let missing = heard.complement();
    let entry = |span: &KeySpan| SpanEntry {
        start: span.start(),
        end: span.end(),
    };
    let outcome = if missing.is_empty() {
        "complete"
    } else {
        "partial"
    };
    AnswerBody {
        request: request.into(),
        group: group.into(),
        outcome: outcome.into(),
        snapshot,
        coverage: Some(CoverageEntry {
            heard: heard.spans().iter().map(entry).collect(),
            missing: missing
                .spans()
                .iter()
                .map(|span| MissingEntry {
                    start: span.start(),
                    end: span.end(),
                    reason: "straggler".into(),
                })
                .collect(),
            share_ppm: heard.share().0,
        }),
        items,
        ..AnswerBody::default()
    }
}
