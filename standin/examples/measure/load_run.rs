//! Open-loop load: requests are sent at their due times, whether or not earlier ones were answered.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    caller::AnswerBody,
    DeploymentSpec,
    GroupMode,
    GroupSpec, //
};

use crate::{
    answer_check::find_fault,
    caller_client::{
        CallerClient,
        CallerRequest, //
    },
};

/// Share of run-once requests that are sent a second time through another daemon, in per cent.
const REPEAT_PCT: u32 = 20;
/// Longest delay before such a request is sent the second time.
const MAX_REPEAT_DELAY: Duration = Duration::from_millis(200);
/// Requests per second to each run-once group: receipts and orders are rare compared to searches.
const ONCE_RATE: f64 = 10.0;
/// Number of end users that the load is distributed over.
const USERS: u32 = 50;

/// One request with its result.
#[derive(Clone, Debug)]
pub(crate) struct LoadSample {
    pub(crate) group: String,
    pub(crate) query: String,
    pub(crate) user: String,
    pub(crate) scatter: bool,
    /// Number of shards of the group.
    pub(crate) shards: u32,
    /// Time from when the request was due until its answer or timeout.
    pub(crate) latency: Duration,
    /// Outcome of the answer; `lost` if no answer arrived.
    pub(crate) outcome: String,
    pub(crate) reason: String,
    /// Coverage of the answer, in millionths.
    pub(crate) share_ppm: u32,
    /// What is wrong with the answer, if anything.
    pub(crate) fault: Option<&'static str>,
}

/// Settings of a load run.
#[derive(Clone, Debug)]
pub(crate) struct LoadSettings {
    pub(crate) seed: u64,
    pub(crate) length: Duration,
    /// Requests per second for each group.
    pub(crate) rates: Vec<(GroupSpec, f64)>,
    pub(crate) deadline: Duration,
    /// Prefix of the request ids and queries, which distinguishes the runs.
    pub(crate) request_prefix: String,
    /// A query that is also sent ten times per second, through the daemons in rotation.
    pub(crate) crash_query: Option<String>,
}

/// Addresses of the daemons or naive frontends; they may change during a run.
pub(crate) type FrontendList = Arc<Mutex<Vec<SocketAddr>>>;

/// Requests per second for each group that occupy the share `load` of its slots, where a sub-query
/// takes `mean_service_time`.
pub(crate) fn rates(
    spec: &DeploymentSpec,
    mean_service_time: Duration,
    load: f64,
) -> Vec<(GroupSpec, f64)> {
    let rate = |group: &GroupSpec| {
        if group.once {
            return ONCE_RATE;
        }
        f64::from(group.replicas * group.slots) / mean_service_time.as_secs_f64() * load
    };
    spec.groups
        .iter()
        .map(|group| (group.clone(), rate(group)))
        .collect()
}

/// Sends the load and collects the result of each request.
pub(crate) async fn run(settings: LoadSettings, frontends: FrontendList) -> Vec<LoadSample> {
    let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
    let client = CallerClient::new();
    let started = Instant::now();
    let total_rate: f64 = settings.rates.iter().map(|(_, rate)| rate).sum();
    let mut due = Duration::ZERO;
    let mut next_crash_query = Duration::ZERO;
    let mut tasks = tokio::task::JoinSet::new();
    let request_count = AtomicU64::new(0);
    while due < settings.length {
        // Exponential intervals model the arrivals of many independent end users.
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / total_rate);
        tokio::time::sleep_until((started + due).into()).await;
        let index = request_count.fetch_add(1, Ordering::Relaxed);
        let group = sample_group(&settings.rates, random.random_range(0.0..total_rate));
        let request = build_request(&settings, group, index, random.random_range(0..USERS));
        let frontend_index = random.random_range(0..usize::MAX);
        let repeat = request.once_key.is_some() && random.random_range(0..100) < REPEAT_PCT;
        let repeat_delay = random.random_range(Duration::ZERO..MAX_REPEAT_DELAY);
        for repeat_index in 0..=usize::from(repeat) {
            let due = due + repeat_delay * repeat_index as u32;
            let scheduled = ScheduledRequest {
                client: client.clone(),
                frontends: frontends.clone(),
                frontend_index: frontend_index.wrapping_add(repeat_index),
                started,
                due,
                request: request.clone(),
                scatter: group.mode == GroupMode::Scatter,
                shards: group.shards.len() as u32,
            };
            tasks.spawn(scheduled.send());
        }
        if let Some(body) = settings
            .crash_query
            .as_ref()
            .filter(|_| due >= next_crash_query)
        {
            next_crash_query = due + Duration::from_millis(100);
            let mut request = request.clone();
            request.group = settings.rates[0].0.name.to_string();
            request.once_key = None;
            request.query.clone_from(body);
            let frontend_index = index as usize;
            let frontends = frontends.clone();
            let client = client.clone();
            tokio::spawn(async move {
                let frontend = frontend_at(&frontends, frontend_index);
                client.send(frontend, started + due, &request).await
            });
        }
    }
    let mut samples = Vec::new();
    while let Some(done) = tasks.join_next().await {
        samples.extend(done.ok());
    }
    samples
}

struct ScheduledRequest {
    client: CallerClient,
    frontends: FrontendList,
    frontend_index: usize,
    started: Instant,
    due: Duration,
    request: CallerRequest,
    scatter: bool,
    shards: u32,
}

impl ScheduledRequest {
    async fn send(self) -> LoadSample {
        tokio::time::sleep_until((self.started + self.due).into()).await;
        let frontend = frontend_at(&self.frontends, self.frontend_index);
        let (latency, answer) = self
            .client
            .send(frontend, self.started + self.due, &self.request)
            .await;
        let answer = answer.unwrap_or_else(|| AnswerBody {
            outcome: "lost".into(),
            ..AnswerBody::default()
        });
        let answered = matches!(answer.outcome.as_str(), "complete" | "partial");
        let fault = if answered {
            find_fault(&answer, &self.request.query)
        } else {
            None
        };
        LoadSample {
            group: self.request.group,
            query: self.request.query,
            user: self.request.user,
            scatter: self.scatter,
            shards: self.shards,
            latency,
            outcome: answer.outcome,
            reason: answer.reason,
            share_ppm: answer.coverage.map_or(0, |coverage| coverage.share_ppm),
            fault,
        }
    }
}

fn frontend_at(frontends: &FrontendList, index: usize) -> SocketAddr {
    let frontends = frontends
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    frontends[index % frontends.len()]
}

fn sample_group(rates: &[(GroupSpec, f64)], mut point: f64) -> &GroupSpec {
    for (group, rate) in rates {
        if point < *rate {
            return group;
        }
        point -= rate;
    }
    &rates[0].0
}

fn build_request(
    settings: &LoadSettings,
    group: &GroupSpec,
    index: u64,
    user: u32,
) -> CallerRequest {
    let request_id = format!("{}-{index}", settings.request_prefix);
    CallerRequest {
        group: group.name.to_string(),
        request_id: request_id.clone(),
        user: format!("user-{user}"),
        deadline: settings.deadline,
        query: format!("find {request_id}"),
        once_key: group.once.then_some(request_id),
    }
}
