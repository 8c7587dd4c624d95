//! The ledger of a daemon's charges.

use std::collections::VecDeque;

use schema::{
    peer::StoredCall,
    ChargeUnits,
    QueryId,
    TimePoint,
    UserName, //
};

use super::{
    charge_line::ChargeLine,
    copy_shelf::CopyShelf,
    ledger_copies::CopyTrack,
    ledger_roster::RosterState,
    segment_key::DaemonStart,
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
    /// Lines of the segment up to and including its own.
    pub(super) count: usize,
    pub(super) until: TimePoint,
}

/// Writes charges to the store in segments, and keeps copies for other daemons.
///
/// A charge is put into the open segment and copied to peers before its answer leaves. A segment
/// is sealed and created in the store under its own key, so that writing it again is harmless,
/// whoever does it. A holder writes its copies when the daemon that made them is gone. Charges
/// are counted once by their tokens when the segments are read.
#[derive(Clone, Debug)]
pub struct ChargeLedger {
    pub(super) settings: ChargeSettings,
    pub(super) owner: DaemonStart,
    /// Segments not in the store, oldest first; the last may be open.
    pub(super) segments: VecDeque<WaitingSegment>,
    pub(super) next_sequence: u64,
    /// Memory of all lines, in bytes.
    pub(super) size: usize,
    pub(super) answers: VecDeque<WaitingAnswer>,
    pub(super) peers: Vec<CopyPeer>,
    pub(super) tracks: Vec<CopyTrack>,
    pub(super) shelf: CopyShelf,
    pub(super) roster: RosterState,
    /// The open call of the first segment, and whether it is a write.
    pub(super) store_call: Option<(u64, bool)>,
    pub(super) next_write: TimePoint,
    pub(super) delay: RetryDelay,
    pub(super) next_call: u64,
    pub(super) stopping: bool,
    pub(super) counts: ChargeCounts,
}

impl ChargeLedger {
    /// An empty ledger.
    pub fn new(settings: ChargeSettings) -> Self {
        let delay = RetryDelay::new(settings.retry_first, settings.retry_max, settings.seed);
        Self {
            owner: (settings.daemon.clone(), settings.incarnation),
            shelf: CopyShelf::new(&settings),
            settings,
            segments: VecDeque::new(),
            next_sequence: 0,
            size: 0,
            answers: VecDeque::new(),
            peers: Vec::new(),
            tracks: Vec::new(),
            roster: RosterState::default(),
            store_call: None,
            next_write: TimePoint(0),
            delay,
            next_call: 0,
            stopping: false,
            counts: ChargeCounts::default(),
        }
    }

    /// Whether requests must be refused because charges wait up to the bound.
    pub fn is_full(&self) -> bool {
        self.size >= self.settings.waiting_bytes
    }

    /// Charges that wait for the store.
    pub fn waiting_count(&self) -> u64 {
        let lines = self.segments.iter().map(|segment| segment.lines.len());
        lines.sum::<usize>() as u64
    }

    /// Memory of the charges that wait for the store, in bytes.
    pub fn waiting_bytes(&self) -> usize {
        self.size
    }

    /// Memory of the copies held for other daemons, in bytes.
    pub fn shelf_bytes(&self) -> usize {
        self.shelf.size()
    }

    /// Whether a stopping daemon may exit: every charge is in the store or, while the store is
    /// down, at peers.
    pub fn is_drained(&self) -> bool {
        if !self.answers.is_empty() {
            return false;
        }
        self.segments.is_empty() || (self.delay.is_failing() && self.copied_to_all())
    }

    /// Counters.
    pub fn counts(&self) -> &ChargeCounts {
        &self.counts
    }

    /// When `TimerFired` is wanted.
    pub fn next_wakeup(&self) -> TimePoint {
        let answers = self.answers.front().map(|answer| answer.until);
        let tracks = self.tracks.iter().filter_map(|track| track.timeout_at());
        let copies = tracks.min();
        let wakes = [
            answers.unwrap_or(TimePoint::NEVER),
            copies.unwrap_or(TimePoint::NEVER),
            self.store_wakeup(),
            self.roster_wakeup(),
            self.shelf_wakeup(),
        ];
        wakes.into_iter().min().unwrap_or(TimePoint::NEVER)
    }

    /// Takes an event and asks for what follows from it.
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
            } => self.charge(now, query, token, user, units),
            ChargeEvent::PeersChanged { peers } => self.peers_changed(peers),
            ChargeEvent::PeerGone {
                daemon,
                incarnation,
            } => self.shelf.peer_gone(&(daemon, incarnation)),
            ChargeEvent::CopyHeld { peer, reply } => self.copy_held(now, &peer, &reply),
            ChargeEvent::CopyFailed { peer } => self.copy_failed(now, &peer),
            ChargeEvent::CopyAsked { reply_to, call } => {
                let reply = self.shelf.hold(call, &mut self.counts);
                actions.push(ChargeAction::ReplyCopy { reply_to, reply });
            }
            ChargeEvent::StoredHeard { call } => self.shelf.stored(&call),
            ChargeEvent::StoreReplied { call, reply } => {
                self.store_replied(now, call, reply, actions);
            }
            ChargeEvent::StopAsked => self.stop(now),
            ChargeEvent::TimerFired => {}
        }
        self.expire_copies(now);
        self.pump_copies(now, actions);
        self.release_answers(now, actions);
        self.pump_store(now, actions);
        self.pump_shelf(now, actions);
    }

    fn charge(
        &mut self,
        now: TimePoint,
        query: QueryId,
        token: ChargeToken,
        user: UserName,
        units: ChargeUnits,
    ) {
        self.counts.answered += 1;
        let line = ChargeLine {
            token,
            user,
            units,
            origin: None,
        };
        let (sequence, count) = self.append(now, line);
        let until = now + self.settings.copy_wait;
        self.answers.push_back(WaitingAnswer {
            query,
            sequence,
            count,
            until,
        });
    }

    /// Adds a line to the open segment; gives its sequence and the lines it now has.
    pub(super) fn append(&mut self, now: TimePoint, line: ChargeLine) -> (u64, usize) {
        self.seal_if_large(now);
        self.size += line.size();
        let answered = self.counts.answered;
        let segment = self.open_segment(now);
        segment.push(line);
        segment.answered = answered;
        (segment.sequence, segment.lines.len())
    }

    fn open_segment(&mut self, now: TimePoint) -> &mut WaitingSegment {
        let open = self
            .segments
            .back()
            .is_some_and(|last| last.sealed.is_none());
        if !open {
            let segment = WaitingSegment::open(now, self.next_sequence, self.counts.answered);
            self.next_sequence += 1;
            self.segments.push_back(segment);
        }
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }

    /// Hands over the answers whose charges are copied, or that waited long enough.
    fn release_answers(&mut self, now: TimePoint, actions: &mut Vec<ChargeAction>) {
        let reached = self.copied_up_to();
        while let Some(answer) = self.answers.front() {
            let stored = self
                .segments
                .front()
                .is_none_or(|first| first.sequence > answer.sequence);
            let copied = stored || reached.is_some_and(|at| at >= (answer.sequence, answer.count));
            let state = match (copied, reached) {
                (true, _) => CopyState::Copied,
                (false, Some(_)) if now < answer.until => return,
                (false, _) => CopyState::Uncopied,
            };
            let query = answer.query;
            self.answers.pop_front();
            match state {
                CopyState::Copied => self.counts.copied += 1,
                CopyState::Uncopied => self.counts.uncopied += 1,
            }
            actions.push(ChargeAction::HandOver { query, state });
        }
    }

    fn stop(&mut self, now: TimePoint) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.adopt_gone(now);
        let segment = self.open_segment(now);
        segment.closing = true;
        segment.sealed = Some(now);
    }

    pub(super) fn tell_stored(&self, sequence: u64, actions: &mut Vec<ChargeAction>) {
        for track in &self.tracks {
            actions.push(ChargeAction::TellStored {
                peer: track.peer.daemon.clone(),
                call: StoredCall {
                    daemon: self.owner.0.to_string(),
                    incarnation: self.owner.1 .0,
                    sequence,
                },
            });
        }
    }

    pub(super) fn number_call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }
}
