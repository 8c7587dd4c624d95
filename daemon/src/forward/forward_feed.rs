//! Keeps the directory of replicas and routes up to date, by reads of the store or of another
//! daemon that reads the store.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
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
    forward_loop::ForwardLoop,
    inbox_event::{
        DirectoryUpdate,
        InboxEvent, //
    },
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

/// Interval between checks whether membership has found other daemons.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest and longest wait before the next reads are decided on, unless one ends: which daemons read the
/// store may change.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(1);
const MAX_STEP_INTERVAL: Duration = Duration::from_secs(1);

impl ForwardLoop {
    /// Starts the next read of the directory if one is due and none is pending.
    pub(super) fn start_next_read(&mut self, now: TimePoint) {
        if now < self.next_read_at {
            return;
        }
        if !self.peers.is_joined() && now < self.join_deadline {
            self.next_read_at = self.join_deadline.min(now + JOIN_CHECK_INTERVAL);
            return;
        }
        for step in self.feed.due_reads(now) {
            match step {
                FeedStep::Wait { .. } => {}
                FeedStep::ReadAll => self.spawn_store_read(None),
                FeedStep::ReadChanges { after } => self.spawn_store_read(Some(after)),
                FeedStep::AskPeer {
                    daemon,
                    address,
                    after,
                    timeout,
                } => self.spawn_peer_read(address, daemon, after, timeout),
            }
        }
        let next = self.feed.next_read_at(now);
        self.next_read_at = next.clamp(now + MIN_STEP_INTERVAL, now + MAX_STEP_INTERVAL);
    }

    fn spawn_store_read(&self, after: Option<u64>) {
        let reader = self.reader.clone();
        let events = self.events.clone();
        let start = Instant::now();
        spawn_local(async move {
            let mut batch = match after {
                Some(after) => reader.read_changes(after).await,
                None => reader.read_all().await,
            };
            // What the store acknowledges during the read may be missing.
            if let Ok(batch) = &mut batch {
                batch.page.age = start.elapsed();
            }
            // The channel is closed only when the process ends.
            let call = if after.is_some() { "changes" } else { "all" };
            let update = DirectoryUpdate::StoreRead { call, batch };
            let _ = events.send(InboxEvent::Directory(update));
        });
    }

    /// Applies the result of a read and schedules the next one.
    pub(super) fn apply_update(&mut self, now: TimePoint, update: DirectoryUpdate) {
        self.next_read_at = now;
        match &update {
            DirectoryUpdate::StoreRead { .. } => self.feed.store_read_ended(),
            DirectoryUpdate::PeerRead { daemon, .. } => self.feed.call_ended(daemon),
        }
        let era_before = self.feed.position().map(|position| position.era);
        if let DirectoryUpdate::StoreRead { call, batch } = &update {
            let result = match batch {
                Ok(_) => "answered",
                Err(ReadError::HistoryGone) => "history_gone",
                Err(ReadError::Refused(_)) => "refused",
                Err(ReadError::BadAnswer(_)) => "bad_answer",
                Err(ReadError::CallFailed(_)) => "failed",
            };
            let labels = [("call", *call), ("result", result)];
            self.metrics.store_reads.get_or_create(&labels).inc();
        }
        match update {
            DirectoryUpdate::StoreRead {
                batch: Ok(batch), ..
            } => {
                for problem in batch.problems {
                    if self.log.take_permit(now, true) {
                        let problem = problem.to_string();
                        log_event!(self.log.logger, events::ITEM_UNREADABLE, "problem" => problem);
                    }
                }
                // Crashes come first: a daemon that has just started must know them before it serves.
                for notice in batch.crashes {
                    self.dispatch(now, ForwardEvent::CrashesRead(notice));
                }
                self.record_source(now, None);
                let (changes, recovered) = self.feed.store_answered(now, batch.page);
                if recovered {
                    log_event!(self.log.logger, events::STORE_RECOVERED);
                }
                self.apply_changes(now, changes);
            }
            DirectoryUpdate::StoreRead {
                batch: Err(ReadError::HistoryGone),
                ..
            } => self.feed.history_gone(),
            DirectoryUpdate::StoreRead {
                batch: Err(error), ..
            } => {
                self.source_log.note_trouble("store_failed");
                if self.feed.store_failed(now) {
                    self.metrics.store_lost.inc();
                    let problem = error.to_string();
                    log_event!(self.log.logger, events::STORE_FAILED, "problem" => problem);
                }
            }
            DirectoryUpdate::PeerRead { daemon, page } => self.finish_peer_read(now, &daemon, page),
        }
        let era = self.feed.position().map(|position| position.era);
        if let (Some(before), Some(era)) = (era_before, era.filter(|era| era_before != Some(*era)))
        {
            log_event!(
                self.log.logger, events::STORE_RESTORED, "era" => era, "before" => before,
            );
        }
        self.answer_polls(now);
        if self.feed.is_ready() && self.phase() == LifePhase::Starting {
            self.advance_lifecycle(&LifeEvent::PrerequisitesMet);
        }
    }

    /// Applies changes of the directory in their order.
    pub(super) fn apply_changes(&mut self, now: TimePoint, changes: Vec<DirectoryEvent>) {
        for change in changes {
            self.apply_change(now, change);
        }
    }

    fn apply_change(&mut self, now: TimePoint, change: DirectoryEvent) {
        match change {
            DirectoryEvent::Seen(entry) => self.dispatch(now, ForwardEvent::ReplicaListed(entry)),
            DirectoryEvent::Gone(name) => self.dispatch(now, ForwardEvent::ReplicaUnlisted(name)),
            DirectoryEvent::Evacuated(zone) => {
                let evacuated = true;
                self.dispatch(now, ForwardEvent::ZoneEvacuated { zone, evacuated });
            }
            DirectoryEvent::Readmitted(zone) => {
                let evacuated = false;
                self.dispatch(now, ForwardEvent::ZoneEvacuated { zone, evacuated });
            }
            DirectoryEvent::FleetListed(entry) => {
                self.dispatch(now, ForwardEvent::FleetListed(entry));
            }
            DirectoryEvent::Table(table) => {
                let version = table.version;
                let limits = table.limits;
                let index = Arc::new(RouteIndex::replacing(*table, self.route_index.as_deref()));
                log_event!(
                    self.log.logger, events::TABLE_APPLIED,
                    "version" => version.0, "routes" => index.table.routes.len(),
                );
                self.metrics
                    .table_version
                    .set(i64::try_from(version.0).unwrap_or(i64::MAX));
                self.revoke_access(now, &index);
                self.route_index = Some(Arc::clone(&index));
                self.view.send_modify(|view| view.limits = limits);
                self.dispatch(now, ForwardEvent::TableApplied(index));
            }
        }
    }
}
