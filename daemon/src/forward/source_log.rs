//! Logs where the directory is read.

use compact_str::CompactString;
use schema::{
    DaemonName,
    TimePoint, //
};

use super::{
    forward_log::millis,
    forward_loop::ForwardLoop, //
};
use crate::{
    events,
    log_event, //
};

/// Name of the store as a source of the directory.
const STORE: &str = "store";
/// Cause of a change of source without a failure since the last one: ranks, or the age of the copy.
const NO_TROUBLE: &str = "rank_or_age";

/// The source of the directory's copy, and why it may be left.
#[derive(Debug, Default)]
pub(super) struct SourceLog {
    /// The store or a daemon; empty before the first read.
    source: CompactString,
    /// The last failure of a source since the source changed.
    trouble: Option<&'static str>,
}

impl SourceLog {
    /// Notes why a source may be left: `silent`, `stale`, `busy` or `store_failed`.
    pub(super) fn note_trouble(&mut self, cause: &'static str) {
        self.trouble = Some(cause);
    }
}

impl ForwardLoop {
    /// Logs that the directory comes from another source than before: from `daemon`, or from the store.
    /// Called before the page is applied, so that the age is that to which the former source has led.
    pub(super) fn record_source(&mut self, now: TimePoint, daemon: Option<&DaemonName>) {
        let source = daemon.map_or(STORE, DaemonName::as_str);
        let log = &mut self.source_log;
        if log.source == source {
            return;
        }
        let before = std::mem::replace(&mut log.source, source.into());
        let cause = log.trouble.take().unwrap_or(NO_TROUBLE);
        let label = [("cause", cause)];
        self.metrics.source_changes.get_or_create(&label).inc();
        if !self.log.take_permit(now, true) {
            return;
        }
        let age = self.feed.age(now);
        log_event!(
            self.log.logger, events::SOURCE_CHANGED,
            "source" => source, "before" => before.as_str(), "cause" => cause,
            "age_ms" => age.map(millis),
        );
    }
}
