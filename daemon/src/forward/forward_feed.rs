//! Keeps up with the directory: reads it, from the store or a reader, and takes over what is new.

use std::{
    sync::Arc,
    time::Duration, //
};

use policy::{
    directory::FeedStep,
    forward::{
        ForwardEvent,
        RouteIndex, //
    },
};
use schema::{
    DirectoryEvent,
    TimePoint, //
};
use tokio::task::spawn_local;

use super::{
    desk_event::{
        DeskEvent,
        DirectoryNews, //
    },
    forward_loop::ForwardLoop,
    store_reader::ReadError, //
};
use crate::{
    events,
    lifecycle::{
        LifeEvent,
        LifePhase, //
    },
    log_event, //
};

/// Interval of the look at whether other daemons are known by now.
const JOIN_RECHECK: Duration = Duration::from_millis(50);
/// Longest time between two looks at who reads the directory.
const FEED_RECHECK: Duration = Duration::from_secs(1);

impl ForwardLoop {
    /// Starts the next reading of the directory, where none is under way.
    pub(super) fn drive_feed(&mut self, now: TimePoint) {
        if self.feed_busy || now < self.feed_at {
            return;
        }
        if !self.peers.is_joined() && now < self.join_until {
            self.feed_at = self.join_until.min(now + JOIN_RECHECK);
            return;
        }
        match self.feed.step(now) {
            FeedStep::Rest { until } => {
                self.feed_at = until.min(now + FEED_RECHECK);
                return;
            }
            FeedStep::ReadAll => self.read_store(None),
            FeedStep::ReadChanges { after } => self.read_store(Some(after)),
            FeedStep::AskPeer {
                daemon,
                address,
                after,
                patience,
            } => self.ask_reader(address, daemon, after, patience),
        }
        self.feed_busy = true;
    }

    fn read_store(&self, after: Option<u64>) {
        let reader = self.reader.clone();
        let events = self.events.clone();
        spawn_local(async move {
            let reading = match after {
                Some(after) => reader.read_changes(after).await,
                None => reader.read_all().await,
            };
            // The loop is gone only when the process ends.
            let call = if after.is_some() { "changes" } else { "all" };
            let news = DirectoryNews::StoreRead { call, reading };
            let _ = events.send(DeskEvent::Directory(news));
        });
    }

    /// Takes in what a reading brought.
    pub(super) fn take_news(&mut self, now: TimePoint, news: DirectoryNews) {
        self.feed_busy = false;
        self.feed_at = now;
        if let DirectoryNews::StoreRead { call, reading } = &news {
            let result = match reading {
                Ok(_) => "answered",
                Err(ReadError::HistoryGone) => "history_gone",
                Err(ReadError::Refused(_)) => "refused",
                Err(ReadError::BadAnswer(_)) => "bad_answer",
                Err(ReadError::CallFailed(_)) => "failed",
            };
            let labels = [("call", *call), ("result", result)];
            self.metrics.store_reads.get_or_create(&labels).inc();
        }
        match news {
            DirectoryNews::StoreRead {
                reading: Ok(reading),
                ..
            } => {
                for problem in reading.problems {
                    if self.notes.may_write(now, true) {
                        let problem = problem.to_string();
                        log_event!(self.notes.log, events::ITEM_UNREADABLE, "problem" => problem);
                    }
                }
                let (effects, back) = self.feed.store_read(now, reading.page);
                if back {
                    log_event!(self.notes.log, events::STORE_RECOVERED);
                }
                self.take_effects(now, effects);
            }
            DirectoryNews::StoreRead {
                reading: Err(ReadError::HistoryGone),
                ..
            } => self.feed.history_gone(),
            DirectoryNews::StoreRead {
                reading: Err(error),
                ..
            } => {
                if self.feed.store_failed(now) {
                    self.metrics.store_lost.inc();
                    let problem = error.to_string();
                    log_event!(self.notes.log, events::STORE_FAILED, "problem" => problem);
                }
            }
            DirectoryNews::ReaderTold { daemon, page } => self.reader_told(now, &daemon, page),
        }
        self.serve_waiting(now);
        if self.feed.is_ready() && self.phase() == LifePhase::Starting {
            self.turn_life(&LifeEvent::PrerequisitesMet);
        }
    }

    /// Does what follows from news of the directory.
    pub(super) fn take_effects(&mut self, now: TimePoint, effects: Vec<DirectoryEvent>) {
        for effect in effects {
            self.take_directory(now, effect);
        }
    }

    fn take_directory(&mut self, now: TimePoint, event: DirectoryEvent) {
        match event {
            DirectoryEvent::Seen(entry) => self.decide(now, ForwardEvent::ReplicaListed(entry)),
            DirectoryEvent::Gone(name) => self.decide(now, ForwardEvent::ReplicaUnlisted(name)),
            DirectoryEvent::Table(table) => {
                let version = table.version;
                let limits = table.limits;
                let index = Arc::new(RouteIndex::new(*table));
                log_event!(
                    self.notes.log, events::TABLE_APPLIED,
                    "version" => version.0, "routes" => index.table.routes.len(),
                );
                self.metrics
                    .table
                    .set(i64::try_from(version.0).unwrap_or(i64::MAX));
                self.index = Some(Arc::clone(&index));
                self.view.send_modify(|view| view.limits = limits);
                self.decide(now, ForwardEvent::TableApplied(index));
            }
        }
    }
}
