//! `pollentally explain`: prints the log lines of one request.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{
        BufRead,
        BufReader, //
    },
    path::PathBuf, //
};

use bpaf::{
    construct,
    positional,
    OptionParser,
    Parser, //
};
use serde_json::{
    Map,
    Value, //
};

use crate::{
    cli_error::{
        CliError,
        EXIT_CODES_HELP, //
    },
    output::print_line,
};

const HELP: &str = "Show what happened to one request, from the logs of the daemons";
const HELP_NOTE: &str =
    "The lines of all files are sorted by time. For a request that was stopped because it crashed \
    replicas, the lines about these crashes are shown too, and for one that came to a daemon without \
    links to the replicas, since when they were lost. Lines that are not JSON log lines are \
    skipped and counted.";

/// Fields that are not printed as `name=value`: shown elsewhere in the line, or redundant.
const OMITTED_FIELDS: [&str; 6] = ["time_us", "event", "message", "level", "request", "query"];

/// Event of a request that is not sent to a replica because it crashed several.
const REQUEST_STOPPED: &str = "E7017";
/// Events that are the evidence for it: a crash was counted, the request was quarantined, another
/// daemon reported crashes, or a success refuted them.
const CRASH_EVENTS: [&str; 4] = ["E7014", "E7015", "E7016", "E7018"];

/// A request was sent to another daemon because the links to the replicas were lost, and the two events
/// that tell since when and until when they were.
const REQUEST_RELAYED: &str = "E7026";
const LINK_EVENTS: [&str; 2] = ["E7023", "E7024"];
/// Result of a request that was refused because the links were lost.
const STRANDED: &str = "stranded";

/// Parsed arguments of `explain`.
#[derive(Clone, Debug)]
pub(crate) struct ExplainArgs {
    id: String,
    logs: Vec<PathBuf>,
}

/// Builds the argument parser of `explain`.
pub(crate) fn parser() -> OptionParser<ExplainArgs> {
    let id = positional("ID").help("Request id that the caller sent");
    let logs = positional("FILE")
        .help("Daemon log in JSON")
        .some("give at least one log file");
    construct!(ExplainArgs { id, logs })
        .to_options()
        .descr(HELP)
        .header(HELP_NOTE)
        .footer(EXIT_CODES_HELP)
}

/// Prints the log lines of one request, lines about its replicas from the same time, and the crashes
/// for which it was stopped.
pub(crate) fn run(args: &ExplainArgs) -> Result<(), CliError> {
    let mut lines: Vec<LogLine> = Vec::new();
    let mut skipped = 0;
    for path in &args.logs {
        let file = File::open(path).map_err(|error| CliError::file_error(path, error))?;
        for text in BufReader::new(file).lines() {
            let text = text.map_err(|error| CliError::file_error(path, error))?;
            match LogLine::parse(path, &text) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
        }
    }
    lines.sort_by_key(|line| line.time_us);
    let request_lines = lines_of_request(&lines, &args.id);
    let of_request = |line: &&&LogLine| line.text_field("request") == args.id;
    let start_us = request_lines
        .iter()
        .find(of_request)
        .map_or(0, |line| line.time_us);
    for line in &request_lines {
        print_line(&line.format_line(start_us))?;
    }
    if request_lines.is_empty() {
        print_line(&format!(
            "no log line of request {} in these files",
            args.id
        ))?;
    }
    if skipped > 0 {
        print_line(&format!(
            "{skipped} lines skipped that are not JSON log lines"
        ))?;
    }
    Ok(())
}

/// A parsed line of a daemon's log; `source` is the name of the file without extension.
#[derive(Clone, Debug)]
struct LogLine {
    source: String,
    time_us: u64,
    fields: Map<String, Value>,
}

impl LogLine {
    fn parse(path: &std::path::Path, text: &str) -> Option<Self> {
        let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        let source = path.file_stem()?.to_string_lossy().into_owned();
        Some(Self {
            source,
            time_us: fields.get("time_us")?.as_u64()?,
            fields,
        })
    }

    fn text_field(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    fn format_line(&self, start_us: u64) -> String {
        // Crashes of earlier requests come before the start.
        let elapsed_ms = (self.time_us as f64 - start_us as f64) / 1000.0;
        let (event, message) = (self.text_field("event"), self.text_field("message"));
        let mut text = format!("{elapsed_ms:>9.1} ms  {}  {event} {message}", self.source);
        let sorted_fields: BTreeMap<&String, &Value> = self.fields.iter().collect();
        for (name, value) in sorted_fields {
            if OMITTED_FIELDS.contains(&name.as_str()) || value.is_null() {
                continue;
            }
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), String::from);
            text.push_str(&format!("  {name}={value}"));
        }
        text
    }
}

/// Returns the lines of a request, those without a request id that the same daemon logged about its
/// replicas between the first and the last of them, those of all daemons about the crashes for
/// which it was stopped, and those about the loss of links for which it was relayed.
fn lines_of_request<'a>(lines: &'a [LogLine], id: &str) -> Vec<&'a LogLine> {
    let of_request = |line: &&LogLine| line.text_field("request") == id;
    let Some(first) = lines.iter().find(of_request) else {
        return Vec::new();
    };
    let last_us = lines
        .iter()
        .rfind(of_request)
        .map_or(first.time_us, |line| line.time_us);
    let replicas: Vec<(&str, &str)> = lines
        .iter()
        .filter(of_request)
        .map(|line| (line.source.as_str(), line.text_field("replica")))
        .filter(|(_, replica)| !replica.is_empty())
        .collect();
    let stopped = lines
        .iter()
        .filter(of_request)
        .filter(|line| line.text_field("event") == REQUEST_STOPPED);
    let prints: Vec<&str> = stopped.map(|line| line.text_field("print")).collect();
    let relaying: Vec<&str> = lines
        .iter()
        .filter(of_request)
        .filter(|line| {
            line.text_field("event") == REQUEST_RELAYED || line.text_field("result") == STRANDED
        })
        .map(|line| line.source.as_str())
        .collect();
    let lost_at = |source: &str| {
        let mut events = lines.iter().filter(|line| line.source == source);
        let lost = |line: &&LogLine| {
            line.time_us <= first.time_us.max(last_us) && LINK_EVENTS[0] == line.text_field("event")
        };
        events.rfind(lost).map(|line| line.time_us)
    };
    let related = |line: &&LogLine| {
        let source = line.source.as_str();
        let is_loss = LINK_EVENTS.contains(&line.text_field("event"))
            && relaying.contains(&source)
            && lost_at(source).is_some_and(|at| (at..=last_us).contains(&line.time_us));
        let in_period = (first.time_us..=last_us).contains(&line.time_us);
        let replica = (line.source.as_str(), line.text_field("replica"));
        let is_crash = CRASH_EVENTS.contains(&line.text_field("event"));
        of_request(line)
            || is_loss
            || (is_crash && prints.contains(&line.text_field("print")))
            || (in_period && line.text_field("request").is_empty() && replicas.contains(&replica))
    };
    lines.iter().filter(related).collect()
}
