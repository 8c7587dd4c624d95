//! `pollentally explain`.

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
        EXIT_CODES, //
    },
    output::print_line,
};

const HELP: &str = "Tell the story of one request from the daemons' logs";
const NOTE: &str =
    "Lines of all files are put in order of time. Lines that are no line of a log are skipped \
    and counted.";

/// Fields that are told elsewhere in a line of the story, or not at all.
const TOLD: [&str; 6] = ["time_us", "event", "message", "level", "request", "query"];

/// Arguments of `explain`.
#[derive(Clone, Debug)]
pub(crate) struct ExplainArgs {
    id: String,
    logs: Vec<PathBuf>,
}

/// The parser of `explain`.
pub(crate) fn parser() -> OptionParser<ExplainArgs> {
    let id = positional("ID").help("The caller's id of the request");
    let logs = positional("FILE")
        .help("Logs in JSON")
        .some("name at least one log");
    construct!(ExplainArgs { id, logs })
        .to_options()
        .descr(HELP)
        .header(NOTE)
        .footer(EXIT_CODES)
}

/// Prints the lines of one request, and the news of the replicas that it met.
pub(crate) fn run(args: &ExplainArgs) -> Result<(), CliError> {
    let mut lines: Vec<LogLine> = Vec::new();
    let mut skipped = 0;
    for path in &args.logs {
        let file = File::open(path).map_err(|error| CliError::file(path, error))?;
        for text in BufReader::new(file).lines() {
            let text = text.map_err(|error| CliError::file(path, error))?;
            match LogLine::parse(path, &text) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
        }
    }
    lines.sort_by_key(|line| line.time_us);
    let story = story_of(&lines, &args.id);
    for line in &story {
        print_line(&line.to_text(story[0].time_us))?;
    }
    if story.is_empty() {
        print_line(&format!("no line of request {} in these logs", args.id))?;
    }
    if skipped > 0 {
        print_line(&format!(
            "{skipped} lines skipped that are no line of a log"
        ))?;
    }
    Ok(())
}

/// A line of a daemon's log.
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

    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    fn to_text(&self, start_us: u64) -> String {
        let after = self.time_us.saturating_sub(start_us) as f64 / 1000.0;
        let (event, message) = (self.text("event"), self.text("message"));
        let mut text = format!("{after:>9.1} ms  {}  {event} {message}", self.source);
        let ordered: BTreeMap<&String, &Value> = self.fields.iter().collect();
        for (name, value) in ordered {
            if TOLD.contains(&name.as_str()) || value.is_null() {
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

/// The lines of a request, and what the same daemon said of its replicas meanwhile.
fn story_of<'a>(lines: &'a [LogLine], id: &str) -> Vec<&'a LogLine> {
    let own = |line: &&LogLine| line.text("request") == id;
    let Some(first) = lines.iter().find(own) else {
        return Vec::new();
    };
    let last = lines
        .iter()
        .rfind(own)
        .map_or(first.time_us, |line| line.time_us);
    let met: Vec<(&str, &str)> = lines
        .iter()
        .filter(own)
        .map(|line| (line.source.as_str(), line.text("replica")))
        .filter(|(_, replica)| !replica.is_empty())
        .collect();
    let belongs = |line: &&LogLine| {
        let during = (first.time_us..=last).contains(&line.time_us);
        let replica = (line.source.as_str(), line.text("replica"));
        own(line) || (during && line.text("request").is_empty() && met.contains(&replica))
    };
    lines.iter().filter(belongs).collect()
}
