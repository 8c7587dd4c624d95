//! Open-loop searches: each is sent when it is due, whether or not earlier ones were answered.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use hdrhistogram::Histogram;
use schema::{
    caller::AnswerBody,
    KeySpan,
    SnapshotId, //
};
use standin::items_for;
use tokio::{
    task::JoinSet,
    time::{
        sleep_until,
        Instant, //
    },
};

use crate::{
    caller::{
        send_query,
        CallerClient,
        QueryRequest, //
    },
    demo_cluster::DemoCluster,
    demo_error::DemoError,
};

/// Query and rate of the searches.
pub(crate) struct SearchPlan {
    group: String,
    query: String,
    count: u64,
    interval: Duration,
}

impl SearchPlan {
    pub(crate) fn new(group: &str, query: &str) -> Self {
        Self {
            group: group.into(),
            query: query.into(),
            count: 300,
            interval: Duration::from_millis(8),
        }
    }
}

/// Results of the searches.
pub(crate) struct SearchTally {
    pub(crate) latencies: Histogram<u64>,
    pub(crate) sent: u64,
    pub(crate) complete: u64,
    pub(crate) partial: u64,
    pub(crate) other: u64,
    pub(crate) extra_pct: f64,
    coverage_ppm: u64,
}

impl SearchTally {
    /// Mean coverage of the answers, in millionths.
    pub(crate) fn mean_coverage_ppm(&self) -> u64 {
        let answers = self.complete + self.partial;
        self.coverage_ppm.checked_div(answers).unwrap_or(0)
    }

    fn add(&mut self, latency: Duration, answer: &AnswerBody) -> Result<(), DemoError> {
        match answer.outcome.as_str() {
            "complete" => self.complete += 1,
            "partial" => self.partial += 1,
            _ => {
                self.other += 1;
                return Ok(());
            }
        }
        check_items(answer)?;
        let coverage = answer.coverage.as_ref();
        self.coverage_ppm += u64::from(coverage.map_or(0, |part| part.share_ppm));
        self.latencies.saturating_record(latency.as_micros() as u64);
        Ok(())
    }
}

/// Sends the searches to the daemons in rotation and sums up the results.
pub(crate) fn run_searches(
    cluster: &DemoCluster,
    client: &CallerClient,
    plan: &SearchPlan,
) -> Result<SearchTally, DemoError> {
    let before = cluster.fleet.counts().tasks;
    let daemons: Vec<SocketAddr> = cluster.daemons.iter().map(|daemon| daemon.caller).collect();
    let results = client.runtime.block_on(send_all(client, &daemons, plan));
    let latencies = Histogram::new_with_max(60_000_000, 3).map_err(std::io::Error::other)?;
    let mut tally = SearchTally {
        latencies,
        sent: plan.count,
        complete: 0,
        partial: 0,
        other: 0,
        extra_pct: 0.0,
        coverage_ppm: 0,
    };
    for (latency, answer) in results {
        let answer = answer?;
        client.record_charge(&answer);
        tally.add(latency, &answer)?;
    }
    let group = cluster.spec.group(&plan.group.parse()?);
    let shards = group.map_or(1, |group| group.shards.len()) as u64;
    let tasks = cluster.fleet.counts().tasks - before;
    tally.extra_pct = (tasks as f64 / (plan.count * shards) as f64 - 1.0) * 100.0;
    if tally.other * 100 > tally.sent {
        return Err(DemoError::Unanswered {
            other: tally.other,
            sent: tally.sent,
        });
    }
    Ok(tally)
}

async fn send_all(
    client: &CallerClient,
    daemons: &[SocketAddr],
    plan: &SearchPlan,
) -> Vec<(Duration, Result<AnswerBody, DemoError>)> {
    let mut pending = JoinSet::new();
    let start = Instant::now();
    for number in 0..plan.count {
        let due = start + plan.interval * number as u32;
        sleep_until(due).await;
        let mut request = QueryRequest::new(&plan.group, &plan.query, &format!("demo-{number}"));
        request.query = format!("{} {number}", plan.query);
        request.user = format!("demo-user-{}", number % 10);
        let daemon = daemons[number as usize % daemons.len()];
        let http_client = client.http_client.clone();
        pending.spawn(async move {
            let answer = send_query(http_client, daemon, request).await;
            (due.elapsed(), answer)
        });
    }
    let mut results = Vec::new();
    while let Some(done) = pending.join_next().await {
        results.extend(done.ok());
    }
    results
}

// The items must be exactly those that the answer's snapshot has in the covered ranges.
fn check_items(answer: &AnswerBody) -> Result<(), DemoError> {
    let coverage = answer.coverage.clone().unwrap_or_default();
    let text = answer.items.first().map_or("", |item| &item.body);
    let query = text.rsplit_once(" at ").map_or("", |(query, _)| query);
    let mut expected = Vec::new();
    for part in &coverage.heard {
        let span = KeySpan::new(part.start, part.end)?;
        expected.extend(items_for(span, SnapshotId(answer.snapshot), query));
    }
    let items_match = expected.len() == answer.items.len()
        && expected
            .iter()
            .zip(&answer.items)
            .all(|(expected_item, item)| {
                expected_item.key == item.key
                    && expected_item.id == item.id
                    && expected_item.body == item.body
            });
    if !items_match {
        return Err(DemoError::WrongItems);
    }
    Ok(())
}
