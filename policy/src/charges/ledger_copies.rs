//! Copying of charges to peers.

use std::time::Duration;

use schema::{
    peer::{
        CopyCall,
        CopyReply, //
    },
    DaemonName,
    TimePoint, //
};

use super::{
    ChargeAction,
    ChargeLedger,
    CopyPeer, //
};

/// Maximum number of entries in one message.
const MAX_COPY_ENTRIES: usize = 2_000;
/// Time for which a failed peer is not used as a holder, as a multiple of the copy timeout.
const AVOID_TIMEOUTS: u32 = 30;

/// A peer chosen to hold copies of the waiting segments, and what it has acknowledged.
#[derive(Clone, Debug)]
pub(super) struct CopyHolder {
    pub(super) peer: CopyPeer,
    /// Sequence number of the segment being copied, and the number of its entries that the peer has
    /// acknowledged. Earlier segments are copied completely.
    pub(super) acknowledged: (u64, usize),
    /// When the message in flight was sent, if any.
    pub(super) sent_at: Option<TimePoint>,
    pub(super) timeout: Duration,
    /// Time until which the peer is not used, after a failure.
    pub(super) avoid_until: Option<TimePoint>,
}

impl CopyHolder {
    pub(super) fn timeout_at(&self) -> Option<TimePoint> {
        self.sent_at
            .map(|sent_at| sent_at + self.timeout)
            .or(self.avoid_until)
    }

    fn is_active(&self) -> bool {
        self.avoid_until.is_none()
    }
}

impl ChargeLedger {
    /// Segment and number of its entries up to which every active holder has a copy; `None` without
    /// an active holder.
    pub(super) fn copied_up_to(&self) -> Option<(u64, usize)> {
        let active_holders = self.holders.iter().filter(|holder| holder.is_active());
        active_holders.map(|holder| holder.acknowledged).min()
    }

    pub(super) fn is_copied_to_all(&self) -> bool {
        let Some(last) = self.segments.back() else {
            return true;
        };
        let end = (last.sequence, last.entries.len());
        self.copied_up_to()
            .is_some_and(|acknowledged| acknowledged >= end)
    }

    pub(super) fn on_peers_changed(&mut self, peers: Vec<CopyPeer>) {
        for peer in &peers {
            self.held_copies.mark_alive(&peer.daemon, peer.incarnation);
        }
        self.holders.retain(|holder| peers.contains(&holder.peer));
        self.peers = peers;
        self.choose_holders();
    }

    /// Chooses further holders, in order of rank, until the number of active ones is as configured.
    fn choose_holders(&mut self) {
        let mut peers: Vec<&CopyPeer> = self.peers.iter().collect();
        peers.sort_by_key(|peer| peer.rank(&self.settings));
        for peer in peers {
            let active_holders = self
                .holders
                .iter()
                .filter(|holder| holder.is_active())
                .count();
            if active_holders >= self.settings.copies {
                return;
            }
            if self.holders.iter().any(|holder| holder.peer == *peer) {
                continue;
            }
            let first_sequence = self
                .segments
                .front()
                .map_or(self.next_sequence, |first| first.sequence);
            self.holders.push(CopyHolder {
                peer: peer.clone(),
                acknowledged: (first_sequence, 0),
                sent_at: None,
                timeout: self.settings.copy_timeout,
                avoid_until: None,
            });
        }
    }

    pub(super) fn on_copy_reply(&mut self, now: TimePoint, peer: &DaemonName, reply: &CopyReply) {
        if reply.incarnation != self.owner.1 .0 {
            return;
        }
        let found = self
            .holders
            .iter_mut()
            .find(|holder| holder.peer.daemon == *peer);
        let Some(holder) = found else {
            return;
        };
        if holder.sent_at.take().is_none() {
            return;
        }
        let previous = holder.acknowledged;
        holder.acknowledged = (reply.sequence, reply.held as usize);
        if holder.acknowledged == previous {
            // The peer stored nothing, since its memory limit is reached.
            holder.fail(now);
        }
    }

    pub(super) fn on_copy_failed(&mut self, now: TimePoint, peer: &DaemonName) {
        let found = self
            .holders
            .iter_mut()
            .find(|holder| holder.peer.daemon == *peer);
        if let Some(holder) = found {
            holder.fail(now);
        }
    }

    /// Replaces holders that did not reply before the timeout, and makes failed ones available
    /// again after `avoid_until`.
    pub(super) fn expire_copies(&mut self, now: TimePoint) {
        for holder in &mut self.holders {
            if holder
                .sent_at
                .is_some_and(|sent_at| now.since(sent_at) >= holder.timeout)
            {
                holder.fail(now);
            }
        }
        self.holders
            .retain(|holder| holder.avoid_until.is_none_or(|until| now < until));
        self.choose_holders();
    }

    /// Sends each active holder the entries that it lacks, with one message in flight to each.
    pub(super) fn send_copies(&mut self, now: TimePoint, actions: &mut Vec<ChargeAction>) {
        let Some(first_sequence) = self.segments.front().map(|first| first.sequence) else {
            return;
        };
        for holder in &mut self.holders {
            if holder.sent_at.is_some() || !holder.is_active() {
                continue;
            }
            if holder.acknowledged.0 < first_sequence {
                holder.acknowledged = (first_sequence, 0);
            }
            let incomplete = self.segments.iter().find(|segment| {
                let acknowledged = if segment.sequence == holder.acknowledged.0 {
                    holder.acknowledged.1
                } else {
                    0
                };
                segment.sequence >= holder.acknowledged.0 && segment.entries.len() > acknowledged
            });
            let Some(segment) = incomplete else {
                continue;
            };
            let offset = if segment.sequence == holder.acknowledged.0 {
                holder.acknowledged.1
            } else {
                0
            };
            let end = segment.entries.len().min(offset + MAX_COPY_ENTRIES);
            holder.acknowledged = (segment.sequence, offset);
            holder.sent_at = Some(now);
            actions.push(ChargeAction::SendCopy {
                peer: holder.peer.daemon.clone(),
                call: CopyCall {
                    segment: Some(segment.to_message(&self.owner, offset, end)),
                    offset: offset as u32,
                    stored_below: first_sequence,
                },
            });
        }
    }
}

impl CopyHolder {
    fn fail(&mut self, now: TimePoint) {
        self.sent_at = None;
        self.acknowledged = (self.acknowledged.0, 0);
        self.avoid_until = Some(now + self.timeout * AVOID_TIMEOUTS);
    }
}
