//! Command-line tool for operators of a pollentally deployment.

mod bundle_file;
mod charge_history;
mod cli_error;
mod cmd;
mod http_client;
mod key_file;
mod load_report;
mod load_run;
mod operator_store;
mod output;
mod query_request;
mod runtime;

use std::{
    ffi::OsStr,
    process::ExitCode, //
};

use bpaf::{
    construct,
    Args,
    OptionParser,
    ParseFailure,
    Parser, //
};

use crate::{
    cli_error::{
        CliError,
        EXIT_CODES_HELP,
        EXIT_USAGE, //
    },
    cmd::{
        accept,
        check,
        completion,
        diff,
        drain,
        explain,
        history,
        keygen,
        load,
        query,
        sign,
        status, //
    },
};

const HELP: &str = "Operate a pollentally deployment";
const NAME: &str = "pollentally";
/// Width at which help and usage errors are wrapped, in columns.
const HELP_COLUMNS: usize = 100;

#[derive(Clone, Debug)]
enum Command {
    Check(check::CheckArgs),
    Diff(diff::DiffArgs),
    Keygen(keygen::KeygenArgs),
    Sign(sign::SignArgs),
    Accept(accept::AcceptArgs),
    History(history::HistoryArgs),
    Status(status::StatusArgs),
    Drain(drain::DrainArgs),
    Query(query::QueryArgs),
    Load(load::LoadArgs),
    Explain(explain::ExplainArgs),
    Completion(completion::CompletionArgs),
}

fn parser() -> OptionParser<Command> {
    let check = check::parser().command("check").map(Command::Check);
    let diff = diff::parser().command("diff").map(Command::Diff);
    let keygen = keygen::parser().command("keygen").map(Command::Keygen);
    let sign = sign::parser().command("sign").map(Command::Sign);
    let accept = accept::parser().command("accept").map(Command::Accept);
    let history = history::parser().command("history").map(Command::History);
    let status = status::parser().command("status").map(Command::Status);
    let drain = drain::parser().command("drain").map(Command::Drain);
    let query = query::parser().command("query").map(Command::Query);
    let load = load::parser().command("load").map(Command::Load);
    let explain = explain::parser().command("explain").map(Command::Explain);
    let completion = completion::parser().command("completion");
    let completion = completion.map(Command::Completion);
    construct!([
        check, diff, keygen, sign, accept, history, status, drain, query, load, explain, completion
    ])
    .to_options()
    .descr(HELP)
    .version(env!("CARGO_PKG_VERSION"))
    .footer(EXIT_CODES_HELP)
}

fn main() -> ExitCode {
    let command = match parser().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_failure(&failure),
    };
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if error.is_broken_pipe() => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.code();
            eprintln!("error: {}", eyre::Report::new(error));
            ExitCode::from(code)
        }
    }
}

fn run(command: Command) -> Result<(), CliError> {
    match command {
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args),
        Command::Keygen(args) => keygen::run(&args),
        Command::Sign(args) => sign::run(&args),
        Command::Accept(args) => accept::run(&args),
        Command::History(args) => history::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Drain(args) => drain::run(&args),
        Command::Query(args) => query::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Completion(args) => print_completion(&completion::run(&args)?),
    }
}

fn print_completion(flag: &str) -> Result<(), CliError> {
    let flags = [OsStr::new(flag)];
    let args = Args::from(&flags[..]).set_name(NAME);
    if let Err(failure) = parser().run_inner(args) {
        print_failure(&failure);
    }
    Ok(())
}

fn print_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_COLUMNS);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(EXIT_USAGE),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}
