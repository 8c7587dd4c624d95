//! Loggers for standard error and standard output.

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

/// Longest wait for queued lines on close. A reader that keeps up needs far less.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Largest number of lines that wait to be written.
const QUEUE_MAX_LINES: usize = 512;

/// Creates a logger that writes to standard error. The logging library requires a mutex around the
/// JSON drain; nothing else locks it.
pub fn stderr_logger(config: &LogConfig) -> Logger {
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

/// A logger that writes JSON lines to standard output and never blocks. A separate thread writes
/// the lines. When its queue is full, further lines are dropped, and a later line reports their
/// number.
pub struct StdoutLogger {
    /// Logger whose lines are queued for the writer thread.
    pub logger: Logger,
    writer: AsyncGuard,
}

impl StdoutLogger {
    /// Starts the writer thread.
    pub fn open() -> Self {
        let drain = json_drain(io::stdout()).ignore_res();
        let (drain, writer) = Async::new(drain)
            .chan_size(QUEUE_MAX_LINES)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        Self {
            logger: Logger::root(drain.ignore_res(), o!()),
            writer,
        }
    }

    /// Waits for the queued lines, at most for a short time. A writer that is still blocked because
    /// its reader reads nothing ends with the process.
    pub fn close(self) {
        let (done, finished) = channel();
        thread::spawn(move || {
            drop(self.writer);
            // An error means that the caller has stopped waiting.
            let _ = done.send(());
        });
        // After a timeout the remaining lines are lost; nothing more can be done for them.
        let _ = finished.recv_timeout(CLOSE_TIMEOUT);
    }
}

fn json_drain<W: io::Write>(output: W) -> slog_json::Json<W> {
    slog_json::Json::new(output)
        .add_key_value(o!(
            "time_us" => FnValue(|_: &Record<'_>| DaemonClock::start().start_time().0),
            "level" => FnValue(|record: &Record<'_>| record.level().as_str()),
            "message" => PushFnValue(|record: &Record<'_>, ser| ser.emit(record.msg())),
        ))
        .build()
}

/// Creates a logger that discards all lines.
pub fn discard_logger() -> Logger {
    Logger::root(Discard, o!())
}
