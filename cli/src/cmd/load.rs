//! `pollentally load`: generates load and reports latencies.

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
        EXIT_CODES_HELP, //
    },
    load_report::{
        LoadReport,
        LoadStats, //
    },
    load_run::{
        run_load,
        LoadPlan, //
    },
    output::{
        format_millis,
        format_percent,
        new_table,
        print_json,
        print_line,
        print_table, //
    },
    query_request::QueryRequest,
    runtime::block_on,
};

const HELP: &str = "Send load to daemons on loopback and report latency and coverage";
const HELP_NOTE: &str =
    "Requests are sent at scheduled times, whether or not earlier ones are answered, and \
    latency is measured from the scheduled time.";

/// Error code of a request that lacks a required idempotency key.
const KEY_MISSING: &str = "key_missing";
/// Largest value of `--in-flight`.
const IN_FLIGHT_MAX: usize = 16_384;
/// Largest value of `--rate`, in requests per second.
const RATE_MAX: f64 = 100_000.0;
/// Largest value of `--seconds` and of `--warm-up`.
const SECONDS_MAX: f64 = 3600.0;

/// Parsed arguments of `load`.
#[derive(Clone, Debug)]
pub(crate) struct LoadArgs {
    daemons: Vec<SocketAddr>,
    rate: f64,
    seconds: f64,
    warm_up: f64,
    user_count: u64,
    max_in_flight: usize,
    deadline_ms: Option<u64>,
    min_coverage: Option<u32>,
    idempotency_keys: bool,
    distinct_queries: u64,
    seed: u64,
    json: bool,
    group: String,
    query_prefix: String,
}

/// Builds the argument parser of `load`.
pub(crate) fn parser() -> OptionParser<LoadArgs> {
    let daemons = long("daemon")
        .help("Caller address of a daemon on loopback; may be given several times")
        .argument("ADDRESS")
        .some("give at least one daemon");
    let rate = long("rate")
        .help("Mean rate of requests per second")
        .argument("RATE")
        .fallback(100.0)
        .display_fallback();
    let seconds = long("seconds")
        .help("Length of the measurement, in seconds")
        .argument("SECONDS")
        .fallback(10.0)
        .display_fallback();
    let warm_up = long("warm-up")
        .help("Time before the measurement whose results are not counted, in seconds")
        .argument("SECONDS")
        .fallback(1.0)
        .display_fallback();
    let user_count = long("users")
        .help("Number of end users, used in turn")
        .argument("COUNT")
        .fallback(50)
        .display_fallback();
    let max_in_flight = long("in-flight")
        .help("Most requests in flight; requests beyond it are not sent and are counted as skipped")
        .argument("COUNT")
        .fallback(2048)
        .display_fallback();
    let deadline_ms = long("deadline-ms")
        .help("Deadline of each request in milliseconds; default: the bundle's")
        .argument("MS")
        .optional();
    let min_coverage = long("min-coverage")
        .help("Lowest useful coverage of an answer, in per cent")
        .argument("PCT")
        .optional();
    let idempotency_keys = long("once")
        .help("Send a new idempotency key with each request")
        .switch();
    let distinct_queries = long("distinct")
        .help("Number of distinct queries, used in turn")
        .argument("COUNT")
        .fallback(1000)
        .display_fallback();
    let seed = long("seed")
        .help("Seed of the random intervals between requests")
        .argument("SEED")
        .fallback(1)
        .display_fallback();
    let json = long("json").help("Print JSON").switch();
    let group = positional("GROUP").help("Service group");
    let query_prefix = positional("QUERY")
        .help("Prefix of each query; a number is appended")
        .fallback("query".into())
        .display_fallback();
    construct!(LoadArgs {
        daemons,
        rate,
        seconds,
        warm_up,
        user_count,
        max_in_flight,
        deadline_ms,
        min_coverage,
        idempotency_keys,
        distinct_queries,
        seed,
        json,
        group,
        query_prefix
    })
    .to_options()
    .descr(HELP)
    .header(HELP_NOTE)
    .footer(EXIT_CODES_HELP)
}

/// Runs the load and prints the report.
pub(crate) fn run(args: &LoadArgs) -> Result<(), CliError> {
    validate_bounds(args)?;
    let plan = load_plan(args);
    let mut stats = LoadStats::new().map_err(std::io::Error::other)?;
    let progress_bar = new_progress_bar(&plan);
    block_on(run_load(&plan, &mut stats, |elapsed| {
        progress_bar.set_position(elapsed.as_millis() as u64);
    }))?;
    progress_bar.finish_and_clear();
    let report = stats.report(args.rate, plan.duration);
    if args.json {
        return print_json(&report);
    }
    print_report(&report)
}

fn validate_bounds(args: &LoadArgs) -> Result<(), CliError> {
    for daemon in &args.daemons {
        if !daemon.ip().is_loopback() {
            return Err(invalid_argument(
                "--daemon",
                daemon,
                "an address on loopback",
            ));
        }
    }
    if !(args.rate > 0.0 && args.rate <= RATE_MAX) {
        return Err(invalid_argument(
            "--rate",
            args.rate,
            "more than 0, at most 100000",
        ));
    }
    if !(args.seconds > 0.0 && args.seconds <= SECONDS_MAX) {
        return Err(invalid_argument(
            "--seconds",
            args.seconds,
            "more than 0, at most 3600",
        ));
    }
    if !(args.warm_up >= 0.0 && args.warm_up <= SECONDS_MAX) {
        return Err(invalid_argument("--warm-up", args.warm_up, "0 to 3600"));
    }
    if args.user_count == 0 {
        return Err(invalid_argument("--users", args.user_count, "at least 1"));
    }
    if args.distinct_queries == 0 {
        return Err(invalid_argument(
            "--distinct",
            args.distinct_queries,
            "at least 1",
        ));
    }
    if args.max_in_flight == 0 || args.max_in_flight > IN_FLIGHT_MAX {
        return Err(invalid_argument(
            "--in-flight",
            args.max_in_flight,
            "1 to 16384",
        ));
    }
    Ok(())
}

fn invalid_argument(
    option: &'static str,
    value: impl ToString,
    expected: &'static str,
) -> CliError {
    CliError::BadArgument {
        option,
        value: value.to_string(),
        expected,
    }
}

fn load_plan(args: &LoadArgs) -> LoadPlan {
    LoadPlan {
        daemons: args.daemons.clone(),
        rate: args.rate,
        warm_up: Duration::from_secs_f64(args.warm_up),
        duration: Duration::from_secs_f64(args.seconds),
        user_count: args.user_count,
        max_in_flight: args.max_in_flight,
        request_template: QueryRequest {
            group: args.group.clone(),
            body: args.query_prefix.clone(),
            deadline_ms: args.deadline_ms,
            min_coverage: args.min_coverage,
            ..QueryRequest::default()
        },
        idempotency_keys: args.idempotency_keys,
        distinct_queries: args.distinct_queries,
        seed: args.seed,
    }
}

fn new_progress_bar(plan: &LoadPlan) -> ProgressBar {
    if !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    ProgressBar::new((plan.warm_up + plan.duration).as_millis() as u64)
}

fn print_report(report: &LoadReport) -> Result<(), CliError> {
    let mut table = new_table(&["outcome", "requests"]);
    for (outcome, count) in &report.outcomes {
        table.add_row([outcome.clone(), count.to_string()]);
    }
    if report.skipped > 0 {
        table.add_row(["skipped".into(), report.skipped.to_string()]);
    }
    print_table(&table)?;
    print_line("")?;
    print_latency(report)?;
    print_line("")?;
    print_line(&format!(
        "{:.1} answers/s of {:.1} requests/s scheduled, coverage {}, {} units charged",
        report.answers_per_second,
        report.rate,
        format_percent(report.coverage_ppm),
        report.charged
    ))
}

fn print_latency(report: &LoadReport) -> Result<(), CliError> {
    if report.latency_us.is_empty() {
        print_line("no latencies: no request was answered")?;
        let key_missing = report
            .outcomes
            .keys()
            .any(|outcome| outcome.contains(KEY_MISSING));
        if key_missing {
            print_line("this group requires idempotency keys: pass --once")?;
        }
        return Ok(());
    }
    let mut table = new_table(&["p50", "p90", "p99", "p99.9", "max"]);
    let cell = |name| {
        report
            .latency_us
            .get(name)
            .copied()
            .map_or("-".into(), format_millis)
    };
    table.add_row(["p50", "p90", "p99", "p99.9", "max"].map(cell));
    print_table(&table)
}
