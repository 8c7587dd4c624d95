//! The logger.

use std::{
    io,
    sync::Mutex, //
};

use slog::{
    o,
    Discard,
    Drain,
    FnValue,
    Logger,
    PushFnValue,
    Record, //
};

use crate::{
    clock::DaemonClock,
    config::LogConfig, //
};

/// Lines that may wait for standard output.
const LINES_QUEUED: usize = 512;

/// A logger to standard error as `config` says. The mutex is what the logging library asks of a
/// drain; it has a single holder.
pub fn open_log(config: &LogConfig) -> Logger {
    let level = config.level;
    if config.json {
        let drain = Mutex::new(json_drain(io::stderr())).filter_level(level);
        return Logger::root(drain.ignore_res(), o!());
    }
    let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
    let drain = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build();
    Logger::root(drain.filter_level(level).ignore_res(), o!())
}

/// A logger of JSON lines to standard output that never blocks: a thread of its own writes them, and
/// lines beyond its queue are dropped and counted in a line.
pub fn open_stdout_log() -> Logger {
    let drain = json_drain(io::stdout()).ignore_res();
    let drain = slog_async::Async::new(drain)
        .chan_size(LINES_QUEUED)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .ignore_res();
    Logger::root(drain, o!())
}

fn json_drain<W: io::Write>(out: W) -> slog_json::Json<W> {
    slog_json::Json::new(out)
        .add_key_value(o!(
            "time_us" => FnValue(|_: &Record<'_>| DaemonClock::start().epoch().0),
            "level" => FnValue(|record: &Record<'_>| record.level().as_str()),
            "message" => PushFnValue(|record: &Record<'_>, ser| ser.emit(record.msg())),
        ))
        .build()
}

/// A logger that drops everything.
pub fn no_log() -> Logger {
    Logger::root(Discard, o!())
}
