//! Daemons and groups of daemons whose seeds are stale, and that find each other by the record of contacts.

#![allow(clippy::unwrap_used)]

mod peers_kit;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use peers_kit::{
    address,
    PeerNet,
    START, //
};
use policy::peers::{
    ContactBook,
    ContactRole,
    MemberState,
    PeerEvent, //
};
use schema::ContactRecord;

/// Interval at which the books are looked at.
const STEP: Duration = Duration::from_millis(200);

/// A fleet whose daemons share a record in the store.
struct ContactNet {
    net: PeerNet,
    books: Vec<ContactBook>,
    record: ContactRecord,
    reads: usize,
    writes: usize,
}

impl ContactNet {
    /// `nodes` daemons; those of each group in `groups` have the first three of their group as seeds, all
    /// others have none that lives.
    fn new(seed: u64, nodes: usize, groups: &[(usize, usize)]) -> Self {
        // The last daemon never runs: its address is the stale seed.
        let mut net = PeerNet::new(seed, nodes + 1, 3);
        net.kill(nodes);
        for node in 0..nodes {
            let group = groups
                .iter()
                .find(|(start, end)| (*start..*end).contains(&node));
            let addresses = match group {
                Some((start, end)) => (*start..*end).take(3).map(address).collect(),
                None => vec![address(nodes)],
            };
            net.deliver(START, node, PeerEvent::SeedsChanged { addresses });
        }
        Self {
            books: (0..nodes)
                .map(|node| ContactBook::new(START, address(node)))
                .collect(),
            net,
            record: ContactRecord::default(),
            reads: 0,
            writes: 0,
        }
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.net.now + span;
        while self.net.now < end {
            self.net.run_for(STEP);
            for node in 0..self.books.len() {
                self.check(node);
            }
        }
    }

    fn check(&mut self, node: usize) {
        let now = self.net.now;
        if !self.net.nodes[node].running {
            return;
        }
        let core = &self.net.nodes[node].core;
        let book = &mut self.books[node];
        if book.next_check() > now || !book.is_read_due(now, core.contact_role()) {
            return;
        }
        self.reads += 1;
        let members = core.members();
        let live = members.filter(|member| member.state == MemberState::Alive);
        let live: Vec<SocketAddr> = live.map(|member| member.address).collect();
        let daemons = core.members().count() as u32 + 1;
        let changed = book.apply_record(now, &self.record, &live, daemons);
        let addresses = self.record.addresses.clone();
        if let Some(record) = changed {
            self.writes += 1;
            self.record = record;
        }
        self.net
            .deliver(now, node, PeerEvent::ContactsRead { addresses });
    }
}

/// Guards against daemons that stay alone because their seeds are stale for good, and against two groups that
/// never learn of each other.
#[test]
fn daemons_and_groups_without_living_seeds_meet() {
    let cases: [(usize, &[(usize, usize)]); 4] =
        [(2, &[]), (6, &[(0, 4)]), (12, &[(0, 6), (6, 12)]), (9, &[])];
    for (nodes, groups) in cases {
        for seed in 0..5 {
            let mut fleet = ContactNet::new(seed, nodes, groups);
            fleet.run_for(Duration::from_secs(40));
            assert!(
                fleet.net.has_converged(),
                "{nodes} daemons, {groups:?}, seed {seed}"
            );
        }
    }
}

/// Guards against a record that names only daemons that are gone: all machines were replaced by others with
/// stale seeds.
#[test]
fn a_record_without_living_daemons_is_renewed() {
    let mut fleet = ContactNet::new(1, 12, &[]);
    (4..12).for_each(|node| fleet.net.kill(node));
    fleet.record = ContactRecord {
        daemons: 8,
        addresses: (4..12).map(address).collect(),
    };
    fleet.run_for(Duration::from_secs(120));
    assert!(fleet.net.has_converged());
    let is_gone = |known: &SocketAddr| (4..12).any(|node| address(node) == *known);
    let addresses = &fleet.record.addresses;
    assert!(!addresses.iter().any(is_gone), "{addresses:?}");
}

/// Guards against calls of the store that grow with the fleet.
#[test]
fn the_calls_of_the_store_do_not_grow_with_the_fleet() {
    for nodes in [8, 60] {
        let mut fleet = ContactNet::new(3, nodes, &[(0, nodes)]);
        fleet.run_for(Duration::from_secs(20));
        let (reads, writes) = (fleet.reads, fleet.writes);
        fleet.run_for(Duration::from_secs(60));
        assert!(fleet.net.has_converged());
        // One keeper reads every 15 s.
        assert!(fleet.reads - reads <= 5, "{nodes}: {}", fleet.reads - reads);
        assert!(fleet.writes - writes <= 1, "{nodes}");
    }
}

/// Guards against a daemon that takes itself for the only one because it reaches no other, and against a single
/// daemon that waits for others that are gone.
#[test]
fn a_daemon_that_is_cut_off_reckons_with_the_others() {
    let mut now = START;
    let own = address(0);
    let mut book = ContactBook::new(now, own);
    let mut record = ContactRecord {
        daemons: 5,
        addresses: vec![address(1), address(2), address(3)],
    };
    let mut counts = Vec::new();
    for _ in 0..120 {
        now = now + Duration::from_secs(1);
        if !book.is_read_due(now, ContactRole::Alone) {
            continue;
        }
        if let Some(changed) = book.apply_record(now, &record, &[], 1) {
            record = changed;
        }
        counts.push(book.unmet_daemons());
    }
    assert_eq!(counts[0], 5);
    assert_eq!(counts.last(), Some(&0), "{counts:?}");
    assert_eq!(record.addresses, [own]);
    // Alone by design, it reads rarely.
    assert!(counts.len() <= 14, "{}", counts.len());
    assert!(!book.is_read_due(now, ContactRole::Member));
    assert_eq!(book.unmet_daemons(), 0);
}
