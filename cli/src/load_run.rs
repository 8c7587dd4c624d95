//! Open-loop load generator: requests are sent at scheduled times, even if earlier ones are still
//! unanswered, so that slow answers do not lower the rate.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use tokio::{
    select,
    task::JoinSet,
    time::{
        sleep_until,
        Instant, //
    },
};

use crate::{
    http_client::HttpClient,
    load_report::{
        LoadResult,
        LoadStats, //
    },
    query_request::{
        QueryReply,
        QueryRequest, //
    },
};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub(crate) struct LoadPlan {
    /// Caller addresses of the daemons, used round-robin.
    pub(crate) daemons: Vec<SocketAddr>,
    /// Mean rate, in requests per second.
    pub(crate) rate: f64,
    /// Time at the start of the run whose results are not recorded.
    pub(crate) warm_up: Duration,
    /// Length of the measured part of the run, after the warm-up.
    pub(crate) duration: Duration,
    /// Number of end users, used round-robin.
    pub(crate) user_count: u64,
    /// Most requests in flight; further ones are skipped.
    pub(crate) max_in_flight: usize,
    /// Template of the requests; user, request id, idempotency key and a suffix of the body are set
    /// for each request.
    pub(crate) request_template: QueryRequest,
    /// Whether each request gets an idempotency key of its own.
    pub(crate) idempotency_keys: bool,
    /// Number of distinct queries, used round-robin.
    pub(crate) distinct_queries: u64,
    /// Seed of the random intervals between requests.
    pub(crate) seed: u64,
}

/// Runs the load and waits for all replies; `progress` is called with the elapsed time.
pub(crate) async fn run_load(
    plan: &LoadPlan,
    stats: &mut LoadStats,
    mut progress: impl FnMut(Duration),
) {
    let client = HttpClient::new(REQUEST_TIMEOUT);
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut in_flight = JoinSet::new();
    let start = Instant::now();
    let end = start + plan.warm_up + plan.duration;
    let mut scheduled = start;
    let mut number = 0;
    while scheduled < end {
        select! {
            biased;
            () = sleep_until(scheduled) => {
                let measured = scheduled >= start + plan.warm_up;
                if in_flight.len() < plan.max_in_flight {
                    in_flight.spawn(send_request(
                        client.clone(), plan.clone(), number, scheduled, measured
                    ));
                } else if measured {
                    stats.skipped += 1;
                }
                number += 1;
                scheduled += next_interval(&mut rng, plan.rate);
                progress(start.elapsed());
            }
            Some(joined) = in_flight.join_next() => record_result(stats, joined),
        }
    }
    while let Some(joined) = in_flight.join_next().await {
        record_result(stats, joined);
    }
}

// Intervals are exponentially distributed, as for the arrivals of many independent callers.
fn next_interval(rng: &mut Pcg64Mcg, rate: f64) -> Duration {
    let uniform: f64 = 1.0 - rng.random::<f64>();
    Duration::from_secs_f64(-uniform.ln() / rate)
}

async fn send_request(
    client: HttpClient,
    plan: LoadPlan,
    number: u64,
    scheduled: Instant,
    measured: bool,
) -> Option<LoadResult> {
    let daemon = plan.daemons[number as usize % plan.daemons.len()];
    let id = format!("load-{}-{number}", plan.seed);
    let request = QueryRequest {
        user: format!("user-{}", number % plan.user_count),
        body: format!(
            "{} {}",
            plan.request_template.body,
            number % plan.distinct_queries
        ),
        idempotency_key: plan.idempotency_keys.then(|| id.clone()),
        request_id: id,
        ..plan.request_template
    };
    let reply = match request.to_http(daemon) {
        Ok(http) => client.send(http).await.ok(),
        Err(_) => None,
    };
    let reply = reply.map(|(status, body)| QueryReply::parse(status, &body));
    measured.then(|| LoadResult {
        latency: scheduled.elapsed(),
        reply,
    })
}

fn record_result(
    stats: &mut LoadStats,
    joined: Result<Option<LoadResult>, tokio::task::JoinError>,
) {
    if let Ok(Some(result)) = joined {
        stats.add(&result);
    }
}
