//! `pollentally load`.

use std::{
    io::{
        stderr,
        IsTerminal, //
    },
    net::SocketAddr,
    time::Duration, //
};

use bpaf::{
    construct,
    long,
    positional,
    OptionParser,
    Parser, //
};
use indicatif::ProgressBar;

use crate::{
    cli_error::{
        CliError,
        EXIT_CODES, //
    },
    load_report::{
        LoadReport,
        LoadTally, //
    },
    load_run::{
        send_load,
        LoadPlan, //
    },
    output::{
        millis,
        percent,
        print_json,
        print_line,
        print_table,
        table, //
    },
    query_call::QueryRequest,
    runtime::block_on,
};

const HELP: &str = "Send a load to daemons on loopback and report latency and coverage";
const NOTE: &str = "Requests leave when they are due, however late earlier answers are, and \
    latency counts from then.";

/// Reason of a refusal for want of an idempotency key.
const KEY_MISSING: &str = "key_missing";
/// Most requests in flight that may be asked for.
const IN_FLIGHT_MAX: usize = 16_384;
/// Highest rate that may be asked for, in requests a second.
const RATE_MAX: f64 = 100_000.0;
/// Longest run, in seconds.
const SECONDS_MAX: f64 = 3600.0;

/// Arguments of `load`.
#[derive(Clone, Debug)]
pub(crate) struct LoadArgs {
    daemons: Vec<SocketAddr>,
    rate: f64,
    seconds: f64,
    warm_up: f64,
    users: u64,
    in_flight: usize,
    deadline_ms: Option<u64>,
    min_coverage: Option<u32>,
    once: bool,
    distinct: u64,
    seed: u64,
    json: bool,
    group: String,
    body: String,
}

/// The parser of `load`.
pub(crate) fn parser() -> OptionParser<LoadArgs> {
    let daemons = long("daemon")
        .help("Caller address of a daemon on loopback; may be given several times")
        .argument("ADDRESS")
        .some("name at least one daemon");
    let rate = long("rate")
        .help("Requests a second")
        .argument("RATE")
        .fallback(100.0)
        .display_fallback();
    let seconds = long("seconds")
        .help("Measured time")
        .argument("SECONDS")
        .fallback(10.0)
        .display_fallback();
    let warm_up = long("warm-up")
        .help("Time before the measured time, in seconds")
        .argument("SECONDS")
        .fallback(1.0)
        .display_fallback();
    let users = long("users")
        .help("End users, used in turn")
        .argument("COUNT")
        .fallback(50)
        .display_fallback();
    let in_flight = long("in-flight")
        .help("Most requests in flight; what is due above it is not sent and counted as skipped")
        .argument("COUNT")
        .fallback(2048)
        .display_fallback();
    let deadline_ms = long("deadline-ms")
        .help("Milliseconds left of each request; without it, the bundle's")
        .argument("MS")
        .optional();
    let min_coverage = long("min-coverage")
        .help("Coverage in per cent below which an answer is of no use")
        .argument("PCT")
        .optional();
    let once = long("once")
        .help("Give each request an idempotency key of its own")
        .switch();
    let distinct = long("distinct")
        .help("Different queries, used in turn")
        .argument("COUNT")
        .fallback(1000)
        .display_fallback();
    let seed = long("seed")
        .help("Seed of the times between requests")
        .argument("SEED")
        .fallback(1)
        .display_fallback();
    let json = long("json").help("Print JSON").switch();
    let group = positional("GROUP").help("Service group");
    let body = positional("QUERY")
        .help("Start of every query")
        .fallback("query".into())
        .display_fallback();
    construct!(LoadArgs {
        daemons,
        rate,
        seconds,
        warm_up,
        users,
        in_flight,
        deadline_ms,
        min_coverage,
        once,
        distinct,
        seed,
        json,
        group,
        body
    })
    .to_options()
    .descr(HELP)
    .header(NOTE)
    .footer(EXIT_CODES)
}

/// Sends the load and prints the report.
pub(crate) fn run(args: &LoadArgs) -> Result<(), CliError> {
    check_bounds(args)?;
    let plan = plan_of(args);
    let mut tally = LoadTally::new().map_err(std::io::Error::other)?;
    let bar = progress_bar(&plan);
    block_on(send_load(&plan, &mut tally, |passed| {
        bar.set_position(passed.as_millis() as u64);
    }))?;
    bar.finish_and_clear();
    let report = tally.report(args.rate, plan.duration);
    if args.json {
        return print_json(&report);
    }
    print_report(&report)
}

fn check_bounds(args: &LoadArgs) -> Result<(), CliError> {
    for daemon in &args.daemons {
        if !daemon.ip().is_loopback() {
            return Err(bad("--daemon", daemon, "an address on loopback"));
        }
    }
    if !(args.rate > 0.0 && args.rate <= RATE_MAX) {
        return Err(bad("--rate", args.rate, "more than 0, at most 100000"));
    }
    if !(args.seconds > 0.0 && args.seconds <= SECONDS_MAX) {
        return Err(bad("--seconds", args.seconds, "more than 0, at most 3600"));
    }
    if !(args.warm_up >= 0.0 && args.warm_up <= SECONDS_MAX) {
        return Err(bad("--warm-up", args.warm_up, "0 to 3600"));
    }
    if args.users == 0 {
        return Err(bad("--users", args.users, "at least 1"));
    }
    if args.distinct == 0 {
        return Err(bad("--distinct", args.distinct, "at least 1"));
    }
    if args.in_flight == 0 || args.in_flight > IN_FLIGHT_MAX {
        return Err(bad("--in-flight", args.in_flight, "1 to 16384"));
    }
    Ok(())
}

fn bad(option: &'static str, value: impl ToString, expected: &'static str) -> CliError {
    CliError::BadOption {
        option,
        value: value.to_string(),
        expected,
    }
}

fn plan_of(args: &LoadArgs) -> LoadPlan {
    LoadPlan {
        daemons: args.daemons.clone(),
        rate: args.rate,
        warm_up: Duration::from_secs_f64(args.warm_up),
        duration: Duration::from_secs_f64(args.seconds),
        users: args.users,
        in_flight: args.in_flight,
        request: QueryRequest {
            group: args.group.clone(),
            body: args.body.clone(),
            deadline_ms: args.deadline_ms,
            min_coverage: args.min_coverage,
            ..QueryRequest::default()
        },
        once: args.once,
        distinct: args.distinct,
        seed: args.seed,
    }
}

fn progress_bar(plan: &LoadPlan) -> ProgressBar {
    if !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    ProgressBar::new((plan.warm_up + plan.duration).as_millis() as u64)
}

fn print_report(report: &LoadReport) -> Result<(), CliError> {
    let mut outcomes = table(&["outcome", "requests"]);
    for (outcome, count) in &report.outcomes {
        outcomes.add_row([outcome.clone(), count.to_string()]);
    }
    if report.skipped > 0 {
        outcomes.add_row(["skipped".into(), report.skipped.to_string()]);
    }
    print_table(&outcomes)?;
    print_line("")?;
    print_latency(report)?;
    print_line("")?;
    print_line(&format!(
        "{:.1} answers/s of {:.1} due, coverage {}, {} units charged",
        report.answers_per_second,
        report.rate,
        percent(report.coverage_ppm),
        report.charged
    ))
}

fn print_latency(report: &LoadReport) -> Result<(), CliError> {
    if report.latency_us.is_empty() {
        print_line("no latencies: nothing was answered")?;
        let keyless = report
            .outcomes
            .keys()
            .any(|outcome| outcome.contains(KEY_MISSING));
        if keyless {
            print_line("requests of this group run once and need keys: give --once")?;
        }
        return Ok(());
    }
    let mut latency = table(&["p50", "p90", "p99", "p99.9", "max"]);
    let value = |name| {
        report
            .latency_us
            .get(name)
            .copied()
            .map_or("-".into(), millis)
    };
    latency.add_row(["p50", "p90", "p99", "p99.9", "max"].map(value));
    print_table(&latency)
}
