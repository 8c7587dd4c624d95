//! The logger.

use std::{
    io,
    sync::{
        mpsc::channel,
        Mutex, //
    },
    thread,
    time::Duration, //
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
use slog_async::{
    Async,
    AsyncGuard,
    OverflowStrategy, //
};

use crate::{
    clock::DaemonClock,
    config::LogConfig, //
};

/// Longest wait at the end for lines that are not written yet: a reader that keeps up needs far less.
const LAST_LINES: Duration = Duration::from_millis(200);
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
pub struct StdoutLog {
    /// Takes the lines.
    pub logger: Logger,
    writer: AsyncGuard,
}

impl StdoutLog {
    /// Starts the writer.
    pub fn open() -> Self {
        let drain = json_drain(io::stdout()).ignore_res();
        let (drain, writer) = Async::new(drain)
            .chan_size(LINES_QUEUED)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        Self {
            logger: Logger::root(drain.ignore_res(), o!()),
            writer,
        }
    }

    /// Waits a moment for the lines that are still queued. A writer whose reader takes nothing ends
    /// with the process.
    pub fn close(self) {
        let (done, waiting) = channel();
        thread::spawn(move || {
            drop(self.writer);
            // Nobody waits any more.
            let _ = done.send(());
        });
        // Either way nothing more can be done for the lines.
        let _ = waiting.recv_timeout(LAST_LINES);
    }
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
