//! Stand-ins of the platform, the replicas and the callers for the scripts of this review.
//!
//! `standin-3 CASE RECORD` runs one case and writes what happened to the file RECORD. It exits with 1
//! if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.

mod caller_crowd;
mod crash_loop;
mod daemon_process;
mod deadly_query;
mod http_text;
mod limit_share;
mod replica_server;
mod store_server;
mod run_record;

use std::{env, process::exit};

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE RECORD");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = run_record::RunRecord::create(record);
    let result = match case.as_str() {
        "crash-loop" => crash_loop::run(&record, trouble, crash_loop::SAME_REQUEST),
        "crash-forms" => crash_loop::run(&record, trouble, crash_loop::MANY_FORMS),
        "limit-share" => limit_share::run(&record, trouble),
        "deadly-query" => deadly_query::run(&record, trouble),
        "body-crowd" => caller_crowd::run(&record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(true) => {
            record.line("result: the rule held");
            exit(0);
        }
        Ok(false) => {
            record.line("result: the rule was broken");
            exit(1);
        }
        Err(problem) => {
            record.line(&format!("result: the case could not run: {problem}"));
            eprintln!("{problem}");
            exit(2);
        }
    }
}
