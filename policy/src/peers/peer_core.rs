//! Membership protocol of one daemon.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use rand::{
    seq::IndexedRandom,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    peer::{
        datagram_body::Body,
        note_entry::Note,
        DatagramBody,
        NoteEntry,
        QuarantineNote, //
    },
    BundleVersion,
    DaemonName,
    MemberBuild,
    QueryPrint,
    TimePoint,
    VmName, //
};

use super::{
    member_table::MemberTable,
    note_queue::{
        NoteKey,
        NoteQueue, //
    },
    open_datagram,
    probe_round::{
        PendingProbe,
        RelayedProbe, //
    },
    seal_datagram,
    ContactRole,
    MemberState,
    PeerAction,
    PeerCounts,
    PeerEvent,
    PeerMember,
    PeerSettings,
    DATAGRAM_BYTES_MAX, //
};

/// Bytes of a datagram that are reserved for the header and all fields except notes.
const FIXED_FIELDS_BYTES: usize = 420;
/// A note is sent this number of times plus the binary logarithm of the number of members.
const NOTE_SENDS_BASE: u32 = 3;
/// Daemons of a data centre that watch the store.
const WATCHERS_PER_ZONE: usize = 2;

/// Tracks the daemons of a deployment and disseminates notes among them.
///
/// The protocol is SWIM. Each daemon probes the other daemons of its data centre in turn. A daemon
/// that answers neither the direct probe nor the indirect ones is suspected, and declared dead
/// unless it refutes the suspicion in time. Daemons of other data centres are not probed for
/// failure, so that a partition between data centres removes no members; their state is learned
/// from notes and from the VM list. Notes are carried by probes, and new ones are also pushed to a
/// few daemons. Every datagram carries the sender's bundle version.
#[derive(Clone, Debug)]
pub struct PeerCore {
    pub(super) settings: PeerSettings,
    /// Entry of this daemon.
    pub(super) local: PeerMember,
    pub(super) table: MemberTable,
    pub(super) notes: NoteQueue,
    /// Expiry of the drain mark of each draining upstream.
    pub(super) drains: BTreeMap<VmName, TimePoint>,
    /// Crashed upstreams by query, whether or not the query is quarantined yet.
    pub(super) quarantines: BTreeMap<QueryPrint, QuarantineNote>,
    /// The drain mark and the quarantine that were queued again last.
    pub(super) last_repeated: (Option<VmName>, QueryPrint),
    /// Bundle version in force on this daemon, and the first eight bytes of its digest.
    pub(super) bundle: (BundleVersion, u64),
    /// Version last requested from a peer, and when.
    pub(super) requested_bundle: (BundleVersion, TimePoint),
    /// Peer addresses in the last VM list.
    pub(super) vm_list_addresses: Vec<SocketAddr>,
    /// Peer addresses in the record of contacts.
    pub(super) contacts: Vec<SocketAddr>,
    pub(super) random: Pcg64Mcg,
    /// Daemons still to be probed in the current round, the next one last.
    pub(super) probe_order: Vec<DaemonName>,
    pub(super) probe: Option<PendingProbe>,
    /// Probes made on request of other daemons, the oldest first.
    pub(super) relayed_probes: Vec<RelayedProbe>,
    /// Daemons that this daemon's own probes found unresponsive.
    pub(super) suspects: Vec<DaemonName>,
    pub(super) next_tick: TimePoint,
    /// Number of probe periods so far; it wraps.
    pub(super) ticks: u32,
    /// When queued notes are pushed; `NEVER` if no push is scheduled.
    pub(super) next_push: TimePoint,
    /// Whether a sync requested by this daemon has no reply yet.
    pub(super) sync_pending: bool,
    /// Earliest time of the next sync because of different digests.
    pub(super) next_sync: TimePoint,
    /// Whether a sync has succeeded since the start.
    pub(super) joined: bool,
    /// Whether `MembersChanged` is due at the end of the current event.
    pub(super) members_changed: bool,
    pub(super) counts: PeerCounts,
}

impl PeerCore {
    /// Creates the state of a daemon that knows no other members yet.
    pub fn new(now: TimePoint, settings: PeerSettings) -> Self {
        let local = PeerMember {
            daemon: settings.daemon.clone(),
            address: settings.address,
            zone: settings.zone.clone(),
            cell: settings.cell.clone(),
            incarnation: settings.incarnation,
            revision: 0,
            state: MemberState::Alive,
            state_since: now,
            bundle: BundleVersion(0),
            last_heard: now,
        };
        Self {
            local,
            table: MemberTable::default(),
            notes: NoteQueue::new(settings.notes_max),
            drains: BTreeMap::new(),
            quarantines: BTreeMap::new(),
            last_repeated: (None, QueryPrint::default()),
            bundle: (BundleVersion(0), 0),
            requested_bundle: (BundleVersion(0), TimePoint(0)),
            vm_list_addresses: Vec::new(),
            contacts: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(settings.random_seed),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: Vec::new(),
            suspects: Vec::new(),
            next_tick: now,
            ticks: 0,
            next_push: TimePoint::NEVER,
            sync_pending: false,
            next_sync: now,
            joined: false,
            members_changed: false,
            counts: PeerCounts::default(),
            settings,
        }
    }

    /// All other members in order of their names. Dead members are included until they are removed
    /// after `PeerSettings::dead_retention`.
    pub fn members(&self) -> impl Iterator<Item = &PeerMember> {
        self.table.iter()
    }

    /// The other member of this name.
    pub fn member(&self, daemon: &DaemonName) -> Option<&PeerMember> {
        self.table.get(daemon)
    }

    /// Number of daemons that are alive, suspected or leaving, including this one.
    pub fn daemon_count(&self) -> u32 {
        let active = self.table.iter().filter(|member| member.is_active());
        active.count() as u32 + 1
    }

    /// Whether a sync with another daemon has succeeded, or there is no address to sync with.
    pub fn is_joined(&self) -> bool {
        self.joined || self.join_addresses().is_empty()
    }

    /// Whether this daemon is one of those that watch the store for its data centre. They are
    /// chosen by rendezvous hashing among the live daemons of the data centre.
    pub fn is_watcher(&self) -> bool {
        let rank = |daemon: &DaemonName| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(self.local.zone.as_str().as_bytes());
            hasher.update(&[0]);
            hasher.update(daemon.as_str().as_bytes());
            *hasher.finalize().as_bytes()
        };
        let local_rank = rank(&self.local.daemon);
        let mut higher_ranked = 0;
        for member in self.table.active_in_zone(&self.local.zone) {
            if member.state == MemberState::Alive && rank(&member.daemon) > local_rank {
                higher_ranked += 1;
            }
        }
        higher_ranked < WATCHERS_PER_ZONE
    }

    /// What this daemon has to do for the record of contacts. Its keeper is the first live daemon by name.
    pub fn contact_role(&self) -> ContactRole {
        let members = self.table.iter();
        let mut others = members.filter(|member| member.state == MemberState::Alive);
        // The members are in the order of their names.
        match others.next() {
            None => ContactRole::Alone,
            Some(first) if first.daemon > self.local.daemon => ContactRole::Keeper,
            Some(_) => ContactRole::Member,
        }
    }

    /// Counters of this daemon's peer traffic since its start.
    pub fn counts(&self) -> &PeerCounts {
        &self.counts
    }

    /// Drain marks in force: the upstream and when its mark expires.
    pub fn drains(&self) -> &BTreeMap<VmName, TimePoint> {
        &self.drains
    }

    /// Fingerprints of the queries that are quarantined or during which an upstream crashed.
    pub fn quarantines(&self) -> impl Iterator<Item = QueryPrint> + '_ {
        self.quarantines.keys().copied()
    }

    /// Time at which the caller must pass `PeerEvent::TimerFired`.
    pub fn next_wakeup(&self) -> TimePoint {
        let probe = self.probe.as_ref().map(|probe| probe.timeout_at);
        let probe = probe.unwrap_or(TimePoint::NEVER);
        self.next_tick.min(self.next_push).min(probe)
    }

    /// Handles an event and appends the actions that the caller must carry out.
    pub fn on_event(&mut self, now: TimePoint, event: PeerEvent, actions: &mut Vec<PeerAction>) {
        match event {
            PeerEvent::Datagram { bytes } => self.handle_datagram(now, &bytes, actions),
            PeerEvent::VmListRead { addresses } => self.apply_vm_list(now, addresses, actions),
            PeerEvent::SeedsChanged { addresses } => {
                self.meet(now, &addresses, actions);
                self.settings.seeds = addresses;
            }
            PeerEvent::ContactsRead { addresses } => {
                self.meet(now, &addresses, actions);
                self.contacts = addresses;
            }
            PeerEvent::BundleApplied { version, digest } => {
                self.bundle = (version, digest);
                self.schedule_push(now);
            }
            PeerEvent::DrainObserved { vm, until } => {
                self.merge_drain(now, vm, until);
            }
            PeerEvent::QuarantineObserved {
                print,
                deaths,
                until,
            } => {
                self.merge_quarantine(now, print, &deaths, until);
            }
            PeerEvent::CrashObserved { notice } => {
                let key = NoteKey::Crash(notice.print);
                self.queue_note(now, key, Note::Crash(notice.to_note()));
            }
            PeerEvent::LimitsShared { to, notice } => {
                let address = self.table.get(&to).map(|member| member.address);
                if let Some(address) = address {
                    let note = Some(Note::Limit(notice.to_note()));
                    self.send_notes(address, None, vec![NoteEntry { note }], actions);
                }
            }
            PeerEvent::RatesShared { to, message } => {
                let member = self.table.get(&to);
                let shares = |member: &&PeerMember| member.build() >= MemberBuild::SharesRates;
                // Older builds can't decode datagrams with this kind of note.
                if let Some(address) = member.filter(shares).map(|member| member.address) {
                    let note = Some(Note::Rate(message.to_note()));
                    self.send_notes(address, None, vec![NoteEntry { note }], actions);
                }
            }
            PeerEvent::SyncRequested { reply_to, body } => {
                self.merge_notes(now, body.notes, actions);
                let body = self.sync_body();
                actions.push(PeerAction::ReplySync { reply_to, body });
            }
            PeerEvent::SyncReplied { body } => {
                self.sync_pending = false;
                self.joined = true;
                self.merge_notes(now, body.notes, actions);
            }
            PeerEvent::SyncFailed => self.sync_pending = false,
            PeerEvent::LeaveRequested => self.start_leaving(now),
            PeerEvent::TimerFired => {}
        }
        self.run_timers(now, actions);
        if std::mem::take(&mut self.members_changed) {
            actions.push(PeerAction::MembersChanged);
        }
    }

    fn handle_datagram(&mut self, now: TimePoint, bytes: &[u8], actions: &mut Vec<PeerAction>) {
        let Ok(datagram) = open_datagram(&self.settings.key, bytes) else {
            self.counts.rejected += 1;
            return;
        };
        let Some(sender) = self.parse_sender(now, &datagram) else {
            self.counts.rejected += 1;
            return;
        };
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let (daemon, address) = (sender.daemon.clone(), sender.address);
        let version = BundleVersion(datagram.bundle_version);
        self.merge_sender(now, sender, actions);
        self.table.record_contact(&daemon, now, version);
        Self::take_notices(&daemon, &datagram.notes, actions);
        self.merge_notes(now, datagram.notes, actions);
        self.compare_bundle(now, address, version, actions);
        self.compare_digest(now, address, datagram.view, actions);
        match datagram.body {
            Some(Body::Ping(ping)) => self.send_ack(address, ping.sequence, actions),
            Some(Body::Ack(ack)) => self.handle_ack(&daemon, ack.sequence, actions),
            Some(Body::Probe(probe)) => self.relay_probe(now, address, &probe, actions),
            None => {}
        }
    }

    fn parse_sender(&self, now: TimePoint, datagram: &DatagramBody) -> Option<PeerMember> {
        let daemon: DaemonName = datagram.from.parse().ok()?;
        if daemon == self.local.daemon {
            return None;
        }
        Some(PeerMember {
            daemon,
            address: datagram.peer.parse().ok()?,
            zone: datagram.zone.parse().ok()?,
            cell: datagram.cell.as_str().into(),
            incarnation: schema::Incarnation(datagram.incarnation),
            revision: datagram.revision,
            state: MemberState::Alive,
            state_since: now,
            bundle: BundleVersion(0),
            last_heard: TimePoint(0),
        })
    }

    /// Requests the bundle if the sender's version is newer, or schedules a push if it is older.
    /// The pushed datagrams carry this daemon's version.
    fn compare_bundle(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        version: BundleVersion,
        actions: &mut Vec<PeerAction>,
    ) {
        let (current, _) = self.bundle;
        if version < current {
            self.schedule_push(now);
        }
        if version <= current {
            return;
        }
        let (requested, requested_at) = self.requested_bundle;
        if version > requested || now.since(requested_at) >= self.settings.ping_timeout {
            self.requested_bundle = (version, now);
            actions.push(PeerAction::FetchBundle { from, version });
        }
    }

    fn start_leaving(&mut self, now: TimePoint) {
        self.local.state = MemberState::Leaving;
        self.local.revision += 1;
        self.queue_local_entry(now);
    }

    /// Queues this daemon's own entry after a change.
    pub(super) fn queue_local_entry(&mut self, now: TimePoint) {
        let entry = self.local.to_entry();
        let key = NoteKey::Member(self.local.daemon.clone());
        self.queue_note(now, key, Note::Member(entry));
    }

    pub(super) fn queue_note(&mut self, now: TimePoint, key: NoteKey, note: Note) {
        if !self.notes.push(key, note) {
            self.counts.notes_dropped += 1;
        }
        self.schedule_push(now);
    }

    pub(super) fn schedule_push(&mut self, now: TimePoint) {
        self.next_push = self.next_push.min(now + self.settings.push_delay);
    }

    /// Sends queued notes to `fanout` random daemons, one of them in another data centre if
    /// possible. If this data centre has too few daemons, more of the other ones are chosen.
    pub(super) fn push_notes(&mut self, actions: &mut Vec<PeerAction>) {
        let remote_min = usize::from(self.settings.fanout > 1);
        let local_members = self.table.active_in_zone(&self.local.zone);
        let local_targets =
            local_members.choose_multiple(&mut self.random, self.settings.fanout - remote_min);
        let mut targets: Vec<SocketAddr> = local_targets.map(|member| member.address).collect();
        let remote_members = self.table.active_outside_zone(&self.local.zone);
        let remote_count = self.settings.fanout - targets.len();
        let remote_targets = remote_members.choose_multiple(&mut self.random, remote_count);
        targets.extend(remote_targets.map(|member| member.address));
        for to in targets {
            self.send(to, None, actions);
        }
    }

    /// Sends a datagram with `body` and as many queued notes as fit.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        body: Option<Body>,
        actions: &mut Vec<PeerAction>,
    ) {
        let member_count = self.table.len() as u32 + 2;
        let sends_max = NOTE_SENDS_BASE + member_count.ilog2();
        let notes = self
            .notes
            .take_batch(DATAGRAM_BYTES_MAX - FIXED_FIELDS_BYTES, sends_max);
        self.send_notes(to, body, notes, actions);
    }

    /// Sends a daemon its own entry as known here, so that it can refute it.
    pub(super) fn send_known_entry(
        &mut self,
        to: SocketAddr,
        member: &PeerMember,
        actions: &mut Vec<PeerAction>,
    ) {
        let note = Some(Note::Member(member.to_entry()));
        self.send_notes(to, None, vec![NoteEntry { note }], actions);
    }

    fn send_notes(
        &mut self,
        to: SocketAddr,
        body: Option<Body>,
        notes: Vec<NoteEntry>,
        actions: &mut Vec<PeerAction>,
    ) {
        let datagram = DatagramBody {
            from: self.local.daemon.to_string(),
            zone: self.local.zone.to_string(),
            cell: self.local.cell.to_string(),
            incarnation: self.local.incarnation.0,
            bundle_version: self.bundle.0 .0,
            bundle_digest: self.bundle.1,
            body,
            notes,
            revision: self.local.revision,
            view: self.table.digest(&self.local),
            peer: self.local.address.to_string(),
        };
        let bytes = seal_datagram(&self.settings.key, &datagram);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        actions.push(PeerAction::Send { to, bytes });
    }
}
