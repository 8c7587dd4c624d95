//! Runs both deployments at a small scale on one machine: stand-ins for the platform and the
//! upstreams, three daemons each, a signed bundle, searches and a run-once request.
//!
//! Prints the measurements and fails if a result is not the expected one.

mod caller;
mod demo_cluster;
mod demo_error;
mod searches;

use std::{
    fs,
    process::ExitCode,
    time::Instant, //
};

use schema::{
    bundle::BundleBody,
    parse_yaml,
    KeySpan,
    SnapshotId, //
};
use standin::items_for;

use caller::{
    CallerClient,
    QueryRequest, //
};
use demo_cluster::DemoCluster;
use demo_error::DemoError;
use searches::{
    run_searches,
    SearchPlan,
    SearchTally, //
};

/// Each deployment's folder, first search group, a query for it, and group of run-once requests.
const DEPLOYMENTS: [(&str, &str, &str, &str); 2] = [
    (
        "trust",
        "plank-finder",
        "oak plank of A. Thomas",
        "receipt-desk",
    ),
    (
        "hajtas",
        "archivum",
        "crane lantern, washi 30 g",
        "rendeles",
    ),
];

fn main() -> ExitCode {
    let start = Instant::now();
    for (folder, group, query, once_group) in DEPLOYMENTS {
        if let Err(error) = run_deployment(folder, group, query, once_group) {
            eprintln!("{folder}: {error}");
            return ExitCode::FAILURE;
        }
    }
    println!("done in {:.1} s", start.elapsed().as_secs_f64());
    ExitCode::SUCCESS
}

fn run_deployment(
    folder: &str,
    group: &str,
    query: &str,
    once_group: &str,
) -> Result<(), DemoError> {
    let cluster = DemoCluster::start(read_bundle(folder)?)?;
    println!("== {} ==", cluster.spec.deployment);
    println!(
        "{} upstreams, {} daemons, bundle version {} in force after {} ms",
        cluster.fleet.upstreams().count(),
        cluster.daemons.len(),
        cluster.spec.version,
        cluster.activation_time.as_millis()
    );
    let client = CallerClient::new()?;
    run_first_search(&cluster, &client, group, query)?;
    let tally = run_searches(&cluster, &client, &SearchPlan::new(group, query))?;
    print_searches(&cluster, group, &tally);
    run_once_request(&cluster, &client, once_group)?;
    let stored = cluster.stop()?;
    println!(
        "charges: {} units in answers, {} units in the store after the daemons' stop\n",
        client.charged(),
        stored
    );
    if stored != client.charged() {
        return Err(DemoError::ChargesDiffer {
            answered: client.charged(),
            stored,
        });
    }
    Ok(())
}

fn read_bundle(folder: &str) -> Result<BundleBody, DemoError> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy");
    let path = format!("{root}/{folder}/bundle.yaml");
    let text = fs::read_to_string(&path)?;
    Ok(parse_yaml(&path, &text)?)
}

fn run_first_search(
    cluster: &DemoCluster,
    client: &CallerClient,
    group: &str,
    query: &str,
) -> Result<(), DemoError> {
    let request = QueryRequest::new(group, query, "demo-first");
    let answer = client.send_and_record(cluster.daemons[0].caller, &request)?;
    let expected = items_for(KeySpan::ALL, SnapshotId(answer.snapshot), query);
    if answer.outcome != "complete" || answer.items.len() != expected.len() {
        return Err(DemoError::NotComplete {
            group: group.into(),
            outcome: answer.outcome,
            reason: answer.reason,
        });
    }
    let coverage = answer.coverage.unwrap_or_default();
    let charge = answer.charge.unwrap_or_default();
    println!(
        "{group} \"{query}\": {} of {} items, coverage {:.2} %, snapshot {}, {} units charged",
        answer.items.len(),
        expected.len(),
        f64::from(coverage.share_ppm) / 1e4,
        answer.snapshot,
        charge.units
    );
    for item in answer.items.iter().take(2) {
        println!("  {:>5}  {}  {}", item.key, item.id, item.body);
    }
    Ok(())
}

fn print_searches(cluster: &DemoCluster, group: &str, tally: &SearchTally) {
    let millis = |quantile: f64| tally.latencies.value_at_quantile(quantile) as f64 / 1000.0;
    println!(
        "{group}, {} open-loop searches through {} daemons, 2 % of sub-queries 10 times slower:",
        tally.sent,
        cluster.daemons.len()
    );
    println!(
        "  {} complete, {} partial, {} other; mean coverage {:.3} %",
        tally.complete,
        tally.partial,
        tally.other,
        tally.mean_coverage_ppm() as f64 / 1e4
    );
    println!(
        "  latency p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms; extra sub-queries {:.2} %",
        millis(0.5),
        millis(0.99),
        millis(1.0),
        tally.extra_pct
    );
}

fn run_once_request(
    cluster: &DemoCluster,
    client: &CallerClient,
    group: &str,
) -> Result<(), DemoError> {
    let mut request = QueryRequest::new(group, "one more of the same", "demo-once");
    request.once_key = Some(cluster.once_key());
    let first = client.send_and_record(cluster.daemons[0].caller, &request)?;
    request.request_id = "demo-once-again".into();
    // The repeated request returns the receipt of the first one, so its charge must not be recorded
    // again.
    let second = client.send(cluster.daemons[1].caller, &request)?;
    let key = request.once_key.unwrap_or_default();
    let runs = cluster.fleet.log().of_key(group, &key);
    println!(
        "{group} run-once request: {}; the same key through another daemon: {}; runs: {runs}",
        first.outcome,
        outcome_text(&second.outcome, &second.reason)
    );
    if runs != 1 || first.outcome != "complete" {
        return Err(DemoError::NotOnce {
            outcome: first.outcome,
            runs,
        });
    }
    Ok(())
}

fn outcome_text(outcome: &str, reason: &str) -> String {
    if reason.is_empty() {
        return outcome.into();
    }
    format!("{outcome} ({reason})")
}
