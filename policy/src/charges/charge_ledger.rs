//! The ledger of the charges that a daemon creates.

use std::collections::VecDeque;

use schema::{
    peer::StoredCall,
    ChargeUnits,
    QueryId,
    TimePoint,
    UserName, //
};

use super::{
    held_copies::HeldCopies,
    ledger_copies::CopyHolder,
    ledger_entry::LedgerEntry,
    ledger_roster::RosterState,
    segment_key::DaemonInstance,
    waiting_segment::WaitingSegment,
    ChargeAction,
    ChargeCounts,
    ChargeEvent,
    ChargeSettings,
    ChargeToken,
    CopyPeer,
    CopyState, //
};
use crate::store::RetryDelay;

/// An answer that waits for its charge to be copied.
#[derive(Clone, Debug)]
pub(super) struct WaitingAnswer {
    pub(super) query: QueryId,
    pub(super) sequence: u64,
    /// Number of entries of the segment up to and including that of this answer.
    pub(super) entry_count: usize,
    pub(super) deadline: TimePoint,
}

/// Writes charges to the store in segments, and holds copies of the segments of other daemons.
///
/// A charge is appended to the open segment and copied to peers before its answer is delivered. A
/// sealed segment is created in the store under its own key and never overwritten, so that a retry
/// or a second writer does no harm. When the daemon that created a segment is gone, a peer writes
/// its copy instead. Readers of the segments count each charge once by its token.
#[derive(Clone, Debug)]
pub struct ChargeLedger {
    pub(super) settings: ChargeSettings,
    pub(super) owner: DaemonInstance,
    /// Segments not written to the store yet, oldest first; only the last can be open.
    pub(super) segments: VecDeque<WaitingSegment>,
    pub(super) next_sequence: u64,
    /// Memory use of the entries of all segments, in bytes.
    pub(super) memory_bytes: usize,
    pub(super) answers: VecDeque<WaitingAnswer>,
    pub(super) peers: Vec<CopyPeer>,
    pub(super) holders: Vec<CopyHolder>,
    pub(super) held_copies: HeldCopies,
    pub(super) roster: RosterState,
    /// Id of the store call in flight for the first segment, and whether it is a write.
    pub(super) segment_call: Option<(u64, bool)>,
    pub(super) next_write_at: TimePoint,
    pub(super) retry_delay: RetryDelay,
    pub(super) last_call_id: u64,
    pub(super) stopping: bool,
    pub(super) counts: ChargeCounts,
}

impl ChargeLedger {
    /// Creates an empty ledger.
    pub fn new(settings: ChargeSettings) -> Self {
        let retry_delay = RetryDelay::new(
            settings.initial_retry_delay,
            settings.max_retry_delay,
            settings.seed,
        );
        Self {
            owner: (settings.daemon.clone(), settings.incarnation),
            held_copies: HeldCopies::new(&settings),
            settings,
            segments: VecDeque::new(),
            next_sequence: 0,
            memory_bytes: 0,
            answers: VecDeque::new(),
            peers: Vec::new(),
            holders: Vec::new(),
            roster: RosterState::default(),
            segment_call: None,
            next_write_at: TimePoint(0),
            retry_delay,
            last_call_id: 0,
            stopping: false,
            counts: ChargeCounts::default(),
        }
    }

    /// Whether requests must be refused because the charges not written to the store yet have
    /// reached the memory limit.
    pub fn is_full(&self) -> bool {
        self.memory_bytes >= self.settings.waiting_max_bytes
    }

    /// Number of charges not written to the store yet.
    pub fn waiting_count(&self) -> u64 {
        let entries = self.segments.iter().map(|segment| segment.entries.len());
        entries.sum::<usize>() as u64
    }

    /// Memory use of the charges not written to the store yet, in bytes.
    pub fn waiting_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Memory use of the copies held for other daemons, in bytes.
    pub fn held_copies_bytes(&self) -> usize {
        self.held_copies.memory_bytes()
    }

    /// Whether a stopping daemon can exit without losing charges: every answer is delivered, and
    /// every charge is in the store or, while the store is failing, copied to every chosen peer.
    pub fn is_drained(&self) -> bool {
        if !self.answers.is_empty() {
            return false;
        }
        self.segments.is_empty() || (self.retry_delay.is_failing() && self.is_copied_to_all())
    }

    /// Counters since the daemon started.
    pub fn counts(&self) -> &ChargeCounts {
        &self.counts
    }

    /// When the daemon must send [`ChargeEvent::TimerFired`] next.
    pub fn next_wakeup(&self) -> TimePoint {
        let answers = self.answers.front().map(|answer| answer.deadline);
        let holders = self.holders.iter().filter_map(|holder| holder.timeout_at());
        let copies = holders.min();
        let wakeups = [
            answers.unwrap_or(TimePoint::NEVER),
            copies.unwrap_or(TimePoint::NEVER),
            self.segment_wakeup(),
            self.roster_wakeup(),
            self.held_copies_wakeup(),
        ];
        wakeups.into_iter().min().unwrap_or(TimePoint::NEVER)
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn on_event(
        &mut self,
        now: TimePoint,
        event: ChargeEvent,
        actions: &mut Vec<ChargeAction>,
    ) {
        match event {
            ChargeEvent::Charge {
                query,
                token,
                user,
                units,
            } => self.on_charge(now, query, token, user, units),
            ChargeEvent::PeersChanged { peers } => self.on_peers_changed(peers),
            ChargeEvent::PeerGone {
                daemon,
                incarnation,
            } => self.held_copies.mark_gone(&(daemon, incarnation)),
            ChargeEvent::CopyReplied { peer, reply } => self.on_copy_reply(now, &peer, &reply),
            ChargeEvent::CopyFailed { peer } => self.on_copy_failed(now, &peer),
            ChargeEvent::CopyRequested { reply_to, call } => {
                let reply = self.held_copies.add_copy(call, &mut self.counts);
                actions.push(ChargeAction::ReplyCopy { reply_to, reply });
            }
            ChargeEvent::SegmentStored { call } => self.held_copies.remove_stored(&call),
            ChargeEvent::StoreReplied { call, reply } => {
                self.on_store_reply(now, call, reply, actions);
            }
            ChargeEvent::StopRequested => self.on_stop(now),
            ChargeEvent::TimerFired => {}
        }
        self.expire_copies(now);
        self.send_copies(now, actions);
        self.deliver_answers(now, actions);
        self.write_first_segment(now, actions);
        self.write_held_copy(now, actions);
    }

    fn on_charge(
        &mut self,
        now: TimePoint,
        query: QueryId,
        token: ChargeToken,
        user: UserName,
        units: ChargeUnits,
    ) {
        self.counts.answered += 1;
        let entry = LedgerEntry {
            token,
            user,
            units,
            origin: None,
        };
        let (sequence, entry_count) = self.append(now, entry);
        let deadline = now + self.settings.copy_wait;
        self.answers.push_back(WaitingAnswer {
            query,
            sequence,
            entry_count,
            deadline,
        });
    }

    /// Adds an entry to the open segment; returns the segment's sequence number and its number of
    /// entries.
    pub(super) fn append(&mut self, now: TimePoint, entry: LedgerEntry) -> (u64, usize) {
        self.seal_if_large(now);
        self.memory_bytes += entry.memory_bytes();
        let answered = self.counts.answered;
        let segment = self.open_segment(now);
        segment.push(entry);
        segment.answered = answered;
        (segment.sequence, segment.entries.len())
    }

    fn open_segment(&mut self, now: TimePoint) -> &mut WaitingSegment {
        let is_open = self
            .segments
            .back()
            .is_some_and(|last| last.sealed_at.is_none());
        if !is_open {
            let segment = WaitingSegment::new(now, self.next_sequence, self.counts.answered);
            self.next_sequence += 1;
            self.segments.push_back(segment);
        }
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }

    /// Delivers the answers whose charges are copied, and those whose deadline has passed.
    fn deliver_answers(&mut self, now: TimePoint, actions: &mut Vec<ChargeAction>) {
        let copied_up_to = self.copied_up_to();
        while let Some(answer) = self.answers.front() {
            let stored = self
                .segments
                .front()
                .is_none_or(|first| first.sequence > answer.sequence);
            let copied = stored
                || copied_up_to
                    .is_some_and(|position| position >= (answer.sequence, answer.entry_count));
            let state = match (copied, copied_up_to) {
                (true, _) => CopyState::Copied,
                (false, Some(_)) if now < answer.deadline => return,
                (false, _) => CopyState::Uncopied,
            };
            let query = answer.query;
            self.answers.pop_front();
            match state {
                CopyState::Copied => self.counts.copied += 1,
                CopyState::Uncopied => self.counts.uncopied += 1,
            }
            actions.push(ChargeAction::DeliverAnswer { query, state });
        }
    }

    fn on_stop(&mut self, now: TimePoint) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.append_gone_copies(now);
        let segment = self.open_segment(now);
        segment.closing = true;
        segment.sealed_at = Some(now);
    }

    pub(super) fn notify_stored(&self, sequence: u64, actions: &mut Vec<ChargeAction>) {
        for holder in &self.holders {
            actions.push(ChargeAction::NotifyStored {
                peer: holder.peer.daemon.clone(),
                call: StoredCall {
                    daemon: self.owner.0.to_string(),
                    incarnation: self.owner.1 .0,
                    sequence,
                },
            });
        }
    }

    pub(super) fn next_call_id(&mut self) -> u64 {
        self.last_call_id += 1;
        self.last_call_id
    }
}
