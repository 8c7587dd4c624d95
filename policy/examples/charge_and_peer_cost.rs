//! Measures the cost of charges and cluster membership in processor time, bytes and memory.
//!
//! `cargo run --release -p pollentally-policy --example charge_and_peer_cost`

use std::{
    collections::BTreeSet,
    error::Error,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use policy::{
    charges::{
        ChargeAction,
        ChargeEvent,
        ChargeLedger,
        ChargeRollup,
        ChargeSettings,
        ChargeToken, //
    },
    peers::{
        PeerAction,
        PeerCore,
        PeerEvent,
        PeerSettings, //
    },
    store::{
        StoreCall,
        StoreReply, //
    },
};
use schema::{
    ChargeUnits,
    Incarnation,
    QueryId,
    TimePoint, //
};

const START: TimePoint = TimePoint(1_764_817_210_000_000);
const CHARGES: u64 = 400_000;
const CHARGES_PER_SECOND: u64 = 4_000;
const MEMBERS: usize = 207;
const PEER_SECONDS: u64 = 60;

fn main() -> Result<(), Box<dyn Error>> {
    let segments = measure_ledger()?;
    measure_rollup(&segments)?;
    measure_token_memory()?;
    measure_peers()
}

/// Records charges at a steady rate and returns the segments written to the store.
fn measure_ledger() -> Result<Vec<Vec<u8>>, Box<dyn Error>> {
    let address: SocketAddr = "127.0.0.1:7000".parse()?;
    let incarnation = Incarnation(1);
    let settings = ChargeSettings::new("a".parse()?, "kochi".parse()?, address, incarnation);
    let mut ledger = ChargeLedger::new(settings);
    let mut segments = Vec::new();
    let mut actions = Vec::new();
    let started = Instant::now();
    for charge in 0..CHARGES {
        let now = START + Duration::from_micros(charge * 1_000_000 / CHARGES_PER_SECOND);
        let user = format!("sponsor-{}", charge % 5_000).parse()?;
        let event = ChargeEvent::Charge {
            query: QueryId(charge),
            token: token(charge),
            user,
            units: ChargeUnits(100),
        };
        ledger.on_event(now, event, &mut actions);
        while let Some(action) = actions.pop() {
            if let ChargeAction::Store { call, request } = action {
                let reply = reply_to_call(request, &mut segments);
                let event = ChargeEvent::StoreReplied { call, reply };
                ledger.on_event(now, event, &mut actions);
            }
        }
    }
    let ns_per_charge = started.elapsed().as_nanos() / u128::from(CHARGES);
    let bytes: usize = segments.iter().map(Vec::len).sum();
    let stored = ledger.counts().stored.max(1);
    println!(
        "ledger: {ns_per_charge} ns per charge, {:.1} bytes per stored charge, \
         {} segments for {stored} charges",
        bytes as f64 / stored as f64,
        segments.len()
    );
    Ok(segments)
}

fn reply_to_call(request: StoreCall, segments: &mut Vec<Vec<u8>>) -> StoreReply {
    match request {
        StoreCall::Write { key, value, .. } => {
            if key.starts_with("charges/") {
                segments.push(value);
                return StoreReply::Written { revision: 1 };
            }
            segments.push(Vec::new());
            StoreReply::Written { revision: 1 }
        }
        // The roster contains this daemon once it has been written.
        StoreCall::Get { .. } if segments.is_empty() => StoreReply::Missing,
        StoreCall::Get { .. } => StoreReply::Found {
            value: roster(),
            revision: 1,
        },
        _ => StoreReply::Refused,
    }
}

fn roster() -> Vec<u8> {
    let entry = schema::peer::RosterEntry {
        daemon: "a".into(),
        incarnation: 1,
        first: 0,
    };
    let roster = schema::peer::RosterBody {
        entries: vec![entry],
    };
    prost::Message::encode_to_vec(&roster)
}

fn measure_rollup(segments: &[Vec<u8>]) -> Result<(), Box<dyn Error>> {
    let mut rollup = ChargeRollup::new(Duration::from_secs(3_600));
    rollup.add_roster(&prost::Message::decode(roster().as_slice())?);
    let start = ("a".parse()?, Incarnation(1));
    let started = Instant::now();
    for (sequence, value) in segments
        .iter()
        .filter(|value| !value.is_empty())
        .enumerate()
    {
        rollup.add_segment(&start, sequence as u64, Some(value));
    }
    let charged = rollup.report().charged.max(1);
    let ns_per_charge = started.elapsed().as_nanos() / u128::from(charged);
    println!("rollup: {ns_per_charge} ns per charge, outside the daemons");
    Ok(())
}

/// Measures the alternative design, in which the daemon that owns a token remembers it for a
/// window.
fn measure_token_memory() -> Result<(), Box<dyn Error>> {
    let before = resident_bytes()?;
    let started = Instant::now();
    let mut tokens = BTreeSet::new();
    for charge in 0..CHARGES {
        tokens.insert(token(charge));
    }
    let ns_per_token = started.elapsed().as_nanos() / u128::from(CHARGES);
    let bytes = resident_bytes()?.saturating_sub(before) / CHARGES;
    let megabytes = bytes * CHARGES_PER_SECOND * 3_600 / 1_000_000;
    println!(
        "owner: {ns_per_token} ns and {bytes} bytes per remembered token; {megabytes} MB per daemon \
         for an hour of {CHARGES_PER_SECOND} charges per second, and one more message per charge"
    );
    drop(tokens);
    Ok(())
}

fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text.split(' ').nth(1).unwrap_or("0").parse()?;
    Ok(pages * 4_096)
}

/// Measures a data centre whose daemons all answer each other without delay.
fn measure_peers() -> Result<(), Box<dyn Error>> {
    let mut cores = Vec::new();
    for place in 0..MEMBERS {
        let mut settings = PeerSettings::new(
            format!("entry-daemon-{place}").parse()?,
            SocketAddr::from(([10, 0, 0, place as u8], 7000)),
            "kochi".parse()?,
            Incarnation(1),
            [7; 32],
        );
        settings.random_seed = place as u64;
        settings.seeds = vec![SocketAddr::from(([10, 0, 0, 0], 7000))];
        cores.push(PeerCore::new(START, settings));
    }
    let mut elapsed = Duration::ZERO;
    let steps = PEER_SECONDS * 100;
    let mut bytes_before = 0;
    for step in 0..steps {
        let now = START + Duration::from_millis(step * 10);
        if step == steps / 2 {
            elapsed = Duration::ZERO;
            bytes_before = total_bytes(&cores);
        }
        let started = Instant::now();
        deliver_events(&mut cores, now);
        elapsed += started.elapsed();
    }
    let seconds = (PEER_SECONDS / 2) as f64;
    let core_share = elapsed.as_secs_f64() / seconds / MEMBERS as f64;
    let bytes = (total_bytes(&cores) - bytes_before) as f64 / seconds / MEMBERS as f64;
    println!(
        "peers: {MEMBERS} members, {:.4} % of a core and {bytes:.0} bytes per second per daemon, \
         without the share of the operating system",
        core_share * 100.0
    );
    Ok(())
}

fn deliver_events(cores: &mut [PeerCore], now: TimePoint) {
    let mut pending: Vec<(usize, PeerEvent)> = Vec::new();
    for (index, core) in cores.iter().enumerate() {
        if core.next_wakeup() <= now {
            pending.push((index, PeerEvent::TimerFired));
        }
    }
    while let Some((index, event)) = pending.pop() {
        let mut actions = Vec::new();
        cores[index].on_event(now, event, &mut actions);
        for action in actions {
            match action {
                PeerAction::Send { to, bytes } => {
                    pending.push((member_index(to), PeerEvent::Datagram { bytes }));
                }
                PeerAction::RequestSync { to, body } => {
                    let reply_to = index as u64;
                    pending.push((
                        member_index(to),
                        PeerEvent::SyncRequested { reply_to, body },
                    ));
                }
                PeerAction::ReplySync { reply_to, body } => {
                    pending.push((reply_to as usize, PeerEvent::SyncReplied { body }));
                }
                _ => {}
            }
        }
    }
}

fn member_index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3].into(),
        std::net::IpAddr::V6(_) => 0,
    }
}

fn total_bytes(cores: &[PeerCore]) -> u64 {
    let counts = cores.iter().map(PeerCore::counts);
    counts
        .map(|counts| counts.sent_bytes + counts.received_bytes)
        .sum()
}

fn token(charge: u64) -> ChargeToken {
    let (low, high) = (
        charge.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        charge.rotate_left(17) ^ 0x5bd1,
    );
    ChargeToken::from_halves(high, low)
}
