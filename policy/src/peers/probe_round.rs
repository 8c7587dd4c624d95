//! Failure detection: direct and indirect probes, suspicions and their timeouts.

use std::net::SocketAddr;

use rand::{
    seq::{
        IndexedRandom,
        SliceRandom, //
    },
    Rng, //
};
use schema::{
    peer::{
        datagram_body::Body,
        AckBody,
        PingBody,
        ProbeBody, //
    },
    DaemonName,
    TimePoint, //
};

use super::{
    MemberState,
    PeerAction,
    PeerCore, //
};

/// Maximum number of stored probes for other daemons; the oldest is dropped first.
const RELAYED_PROBES_MAX: usize = 256;
/// If a tick is late by this many probe periods, this daemon itself was paused.
const PAUSE_PERIODS: u32 = 3;

/// This daemon's probe of the current period.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    target: DaemonName,
    sequence: u64,
    answered: bool,
    /// Whether indirect probes have been requested.
    indirect: bool,
    /// When indirect probes are requested if no answer has come.
    pub(super) timeout_at: TimePoint,
}

/// Probe made on request of another daemon.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    /// Number of this daemon's ping to the target.
    sequence: u64,
    target: DaemonName,
    requester: SocketAddr,
    /// Number of the requester's own probe, which the answer to it must carry.
    requester_sequence: u64,
}

impl PeerCore {
    pub(super) fn run_timers(&mut self, now: TimePoint, actions: &mut Vec<PeerAction>) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| now >= probe.timeout_at)
        {
            self.start_indirect_probes(actions);
        }
        if now >= self.next_tick {
            self.tick(now, actions);
        }
        if now >= self.next_push {
            self.next_push = TimePoint::NEVER;
            self.push_notes(actions);
        }
    }

    fn tick(&mut self, now: TimePoint, actions: &mut Vec<PeerAction>) {
        let period = self.settings.probe_period;
        if self.ticks > 0 && now.since(self.next_tick) >= period * PAUSE_PERIODS {
            // After a pause of this daemon, missing answers don't show that others failed.
            self.probe = None;
            self.restart_suspicions(now);
        }
        self.ticks = self.ticks.wrapping_add(1);
        let period_micros = period.as_micros() as u64;
        let jitter = self.random.random_range(0..=period_micros / 5);
        self.next_tick = now + period * 9 / 10 + std::time::Duration::from_micros(jitter);
        self.finish_probe(now, actions);
        self.expire_suspects(now, actions);
        self.expire_drains_and_quarantines(now);
        self.table
            .remove_expired_dead(now, self.settings.dead_retention);
        self.start_probe(now, actions);
        if self
            .ticks
            .is_multiple_of(self.settings.periods_per_remote_ping.max(1))
        {
            self.repeat_notes(now);
            self.ping_remote_zone(actions);
        }
        self.join(now, actions);
    }

    /// Suspects the probed daemon if it did not answer in this period.
    fn finish_probe(&mut self, now: TimePoint, actions: &mut Vec<PeerAction>) {
        let unanswered = self.probe.take().filter(|probe| !probe.answered);
        let member = unanswered.and_then(|probe| self.table.get(&probe.target).cloned());
        let member = member.filter(|member| member.state == MemberState::Alive);
        if let Some(member) = member {
            self.counts.suspicions_raised += 1;
            self.suspects.push(member.daemon.clone());
            self.store_member(now, member, MemberState::Suspect);
        }
        self.notify_suspects(actions);
    }

    /// Sends the daemons that this one suspects their entries, in each period until they refute or
    /// are declared dead.
    fn notify_suspects(&mut self, actions: &mut Vec<PeerAction>) {
        let mut suspects = std::mem::take(&mut self.suspects);
        suspects.retain(|daemon| {
            let Some(member) = self.table.get(daemon).cloned() else {
                return false;
            };
            let suspected = member.state == MemberState::Suspect;
            if suspected {
                self.send_known_entry(member.address, &member, actions);
            }
            suspected
        });
        self.suspects = suspects;
    }

    /// Declares suspected and leaving daemons of this data centre dead after their timeouts.
    fn expire_suspects(&mut self, now: TimePoint, actions: &mut Vec<PeerAction>) {
        let mut dead = Vec::new();
        for member in self.table.active_in_zone(&self.local.zone) {
            let timeout = match member.state {
                MemberState::Suspect => self.settings.suspect_timeout,
                MemberState::Leaving => self.settings.dead_retention,
                MemberState::Alive | MemberState::Dead => continue,
            };
            if now.since(member.state_since) >= timeout {
                dead.push(member.clone());
            }
        }
        for member in dead {
            let identity = (member.daemon.clone(), member.incarnation);
            self.store_member(now, member, MemberState::Dead);
            let (daemon, incarnation) = identity;
            actions.push(PeerAction::MemberGone {
                daemon,
                incarnation,
            });
        }
    }

    fn restart_suspicions(&mut self, now: TimePoint) {
        let mut suspects = Vec::new();
        for member in self.table.active_in_zone(&self.local.zone) {
            if member.state == MemberState::Suspect {
                suspects.push(member.clone());
            }
        }
        for mut member in suspects {
            member.state_since = now;
            self.table.insert(member);
        }
    }

    /// Pings the next daemon of this data centre in a shuffled round.
    fn start_probe(&mut self, now: TimePoint, actions: &mut Vec<PeerAction>) {
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(to) = self.table.address(&target) else {
            return;
        };
        let sequence = self.random.random();
        self.probe = Some(PendingProbe {
            target,
            sequence,
            answered: false,
            indirect: false,
            timeout_at: now + self.settings.ping_timeout,
        });
        self.send(to, Some(Body::Ping(PingBody { sequence })), actions);
    }

    fn next_target(&mut self) -> Option<DaemonName> {
        if self.probe_order.is_empty() {
            let members = self.table.active_in_zone(&self.local.zone);
            self.probe_order = members.iter().map(|member| member.daemon.clone()).collect();
            self.probe_order.shuffle(&mut self.random);
        }
        while let Some(daemon) = self.probe_order.pop() {
            let member = self.table.get(&daemon);
            if member.is_some_and(|member| member.is_active()) {
                return Some(daemon);
            }
        }
        None
    }

    /// Pings a daemon that has not answered once more, and asks other daemons to probe it.
    fn start_indirect_probes(&mut self, actions: &mut Vec<PeerAction>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        probe.timeout_at = TimePoint::NEVER;
        if probe.answered || probe.indirect {
            return;
        }
        probe.indirect = true;
        let (target, sequence) = (probe.target.clone(), probe.sequence);
        let mut others = self.table.active_in_zone(&self.local.zone);
        others.retain(|member| member.daemon != target);
        let helpers = others.choose_multiple(&mut self.random, self.settings.indirect_probes);
        let helpers: Vec<SocketAddr> = helpers.map(|member| member.address).collect();
        if let Some(to) = self.table.address(&target) {
            self.send(to, Some(Body::Ping(PingBody { sequence })), actions);
        }
        for to in helpers {
            let body = ProbeBody {
                sequence,
                target: target.to_string(),
            };
            self.send(to, Some(Body::Probe(body)), actions);
        }
    }

    pub(super) fn send_ack(
        &mut self,
        to: SocketAddr,
        sequence: u64,
        actions: &mut Vec<PeerAction>,
    ) {
        self.send(to, Some(Body::Ack(AckBody { sequence })), actions);
    }

    pub(super) fn handle_ack(
        &mut self,
        from: &DaemonName,
        sequence: u64,
        actions: &mut Vec<PeerAction>,
    ) {
        if let Some(probe) = &mut self.probe {
            // An indirect answer carries the sequence number of this probe, too.
            probe.answered |= probe.sequence == sequence;
        }
        let mut index = 0;
        while index < self.relayed_probes.len() {
            let relayed = &self.relayed_probes[index];
            if relayed.sequence != sequence || relayed.target != *from {
                index += 1;
                continue;
            }
            let relayed = self.relayed_probes.remove(index);
            let body = AckBody {
                sequence: relayed.requester_sequence,
            };
            self.send(relayed.requester, Some(Body::Ack(body)), actions);
        }
    }

    pub(super) fn relay_probe(
        &mut self,
        _now: TimePoint,
        requester: SocketAddr,
        probe: &ProbeBody,
        actions: &mut Vec<PeerAction>,
    ) {
        let Ok(target) = probe.target.parse::<DaemonName>() else {
            return;
        };
        let Some(to) = self.table.address(&target) else {
            return;
        };
        let sequence = self.random.random();
        if self.relayed_probes.len() >= RELAYED_PROBES_MAX {
            self.relayed_probes.remove(0);
        }
        self.relayed_probes.push(RelayedProbe {
            sequence,
            target,
            requester,
            requester_sequence: probe.sequence,
        });
        self.send(to, Some(Body::Ping(PingBody { sequence })), actions);
    }

    /// Pings a random daemon of another data centre, so that notes and bundle versions reach it
    /// even if nothing is pushed.
    fn ping_remote_zone(&mut self, actions: &mut Vec<PeerAction>) {
        let remote_members = self.table.active_outside_zone(&self.local.zone);
        let Some(to) = remote_members
            .choose(&mut self.random)
            .map(|member| member.address)
        else {
            return;
        };
        let sequence = self.random.random();
        self.send(to, Some(Body::Ping(PingBody { sequence })), actions);
    }
}
