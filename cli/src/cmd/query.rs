//! `pollentally query`: sends one query.

use std::{
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
use rand::Rng;
use schema::caller::{
    AnswerBody,
    ErrorBody, //
};

use crate::{
    cli_error::{
        CliError,
        EXIT_CODES_HELP, //
    },
    http_client::HttpClient,
    output::{
        format_percent,
        print_json,
        print_line, //
    },
    query_request::{
        QueryReply,
        QueryRequest, //
    },
    runtime::block_on,
};

const HELP: &str = "Send one query to a daemon and print the answer";

/// Timeout of the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Parsed arguments of `query`.
#[derive(Clone, Debug)]
pub(crate) struct QueryArgs {
    daemon: SocketAddr,
    user: String,
    request_id: Option<String>,
    deadline_ms: Option<u64>,
    min_coverage: Option<u32>,
    idempotency_key: Option<String>,
    max_items: usize,
    json: bool,
    group: String,
    body: String,
}

/// Builds the argument parser of `query`.
pub(crate) fn parser() -> OptionParser<QueryArgs> {
    let daemon = long("daemon")
        .help("Caller address of the daemon")
        .argument("ADDRESS");
    let user = long("user")
        .help("End user that the answer is charged to")
        .argument("NAME")
        .fallback("operator".into())
        .display_fallback();
    let request_id = long("request")
        .help("Request id; pass the id of an earlier request to repeat it")
        .argument("ID")
        .optional();
    let deadline_ms = long("deadline-ms")
        .help("Deadline in milliseconds; default: the bundle's")
        .argument("MS")
        .optional();
    let min_coverage = long("min-coverage")
        .help("Lowest useful coverage of the answer, in per cent")
        .argument("PCT")
        .optional();
    let idempotency_key = long("once-key")
        .help("Idempotency key; the request runs at most once for each key")
        .argument("KEY")
        .optional();
    let max_items = long("items")
        .help("Largest number of items printed")
        .argument("COUNT")
        .fallback(5)
        .display_fallback();
    let json = long("json").help("Print the answer as JSON").switch();
    let group = positional("GROUP").help("Service group");
    let body = positional("QUERY").help("Text of the query");
    construct!(QueryArgs {
        daemon,
        user,
        request_id,
        deadline_ms,
        min_coverage,
        idempotency_key,
        max_items,
        json,
        group,
        body
    })
    .to_options()
    .descr(HELP)
    .footer(EXIT_CODES_HELP)
}

/// Sends the query and prints the answer; fails unless the answer is complete.
pub(crate) fn run(args: &QueryArgs) -> Result<(), CliError> {
    let request = QueryRequest {
        group: args.group.clone(),
        body: args.body.clone(),
        user: args.user.clone(),
        request_id: args.request_id.clone().unwrap_or_else(random_request_id),
        deadline_ms: args.deadline_ms,
        min_coverage: args.min_coverage,
        idempotency_key: args.idempotency_key.clone(),
    };
    match block_on(send_query(args.daemon, &request))?? {
        QueryReply::Answer(answer) => print_answer(args, &answer),
        QueryReply::Error(error) => print_error(args, &error),
        QueryReply::Unrecognized(status) => Err(CliError::Daemon {
            address: args.daemon,
            problem: format!("HTTP status {status} without a valid answer"),
        }),
    }
}

async fn send_query(daemon: SocketAddr, request: &QueryRequest) -> Result<QueryReply, CliError> {
    let daemon_error = |error: crate::http_client::HttpError| CliError::Daemon {
        address: daemon,
        problem: error.to_string(),
    };
    let http_request = request.to_http(daemon).map_err(daemon_error)?;
    let client = HttpClient::new(REQUEST_TIMEOUT);
    let (status, body) = client.send(http_request).await.map_err(daemon_error)?;
    Ok(QueryReply::parse(status, &body))
}

fn random_request_id() -> String {
    format!("cli-{:016x}", rand::rng().random::<u64>())
}

fn print_answer(args: &QueryArgs, answer: &AnswerBody) -> Result<(), CliError> {
    if args.json {
        print_json(answer)?;
    } else {
        print_answer_text(args, answer)?;
    }
    if answer.outcome == "complete" {
        return Ok(());
    }
    Err(CliError::Incomplete {
        outcome: answer.outcome.clone(),
        reason: answer.reason.clone(),
    })
}

fn print_answer_text(args: &QueryArgs, answer: &AnswerBody) -> Result<(), CliError> {
    let coverage = answer.coverage.clone().unwrap_or_default();
    let charge = answer.charge.clone().unwrap_or_default();
    print_line(&format!("request   {}", answer.request))?;
    print_line(&format!("outcome   {}", answer.outcome))?;
    print_line(&format!("coverage  {}", format_percent(coverage.share_ppm)))?;
    for missing_range in &coverage.missing {
        print_line(&format!(
            "missing   {}..{} ({})",
            missing_range.start, missing_range.end, missing_range.reason
        ))?;
    }
    print_line(&format!("snapshot  {}", answer.snapshot))?;
    print_line(&format!("bundle    {}", answer.bundle_version))?;
    print_line(&format!(
        "charge    {} units to {} ({})",
        charge.units, charge.user, charge.state
    ))?;
    print_line(&format!("items     {}", answer.items.len()))?;
    for item in answer.items.iter().take(args.max_items) {
        print_line(&format!("  {:>5}  {}  {}", item.key, item.id, item.body))?;
    }
    Ok(())
}

fn print_error(args: &QueryArgs, error: &ErrorBody) -> Result<(), CliError> {
    if args.json {
        print_json(error)?;
    }
    Err(CliError::Incomplete {
        outcome: error.outcome.clone(),
        reason: format!("{} ({})", error.message, error.code),
    })
}
