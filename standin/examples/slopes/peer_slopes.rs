//! Cost of the peer protocol, in the virtual-time network of its tests, datagrams really encoded.

use std::time::Duration;

use cpu_time::ThreadTime;

use crate::{
    heap_use,
    peers_kit::PeerNet,
    slope_fit::SlopeFit,
    SlopeError, //
};

/// Daemons of one data centre.
const MEMBERS: [usize; 5] = [8, 32, 128, 207, 512];
/// Time to join before the measurement.
const JOIN: Duration = Duration::from_secs(20);
/// Time measured.
const STEADY: Duration = Duration::from_secs(40);
/// Changes measured at each size.
const CHANGES: u64 = 8;
/// Longest wait for a change to be everywhere.
const SPREAD_MAX: Duration = Duration::from_secs(30);

/// Measures all of it.
pub(crate) fn measure() -> Result<Vec<SlopeFit>, SlopeError> {
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    let mut heap = Vec::new();
    let mut spread = Vec::new();
    let mut lossy = Vec::new();
    for members in MEMBERS {
        let size = members as f64;
        let before = heap_use();
        let mut net = PeerNet::new(1, members, 1);
        net.run_for(JOIN);
        heap.push((size, (heap_use() - before) / size / size));
        let sent_before = traffic(&net);
        let begun = ThreadTime::now();
        net.run_for(STEADY);
        let seconds = STEADY.as_secs_f64();
        cpu.push((size, begun.elapsed().as_secs_f64() * 100.0 / size / seconds));
        bytes.push((size, (traffic(&net) - sent_before) / size / seconds));
        spread.push((size, worst_spread(&mut net)?));
        net.loss_pct = 10;
        lossy.push((size, worst_spread(&mut net)?));
    }
    Ok(vec![
        SlopeFit::new("peers: CPU of a daemon, % of a core", "members", cpu),
        SlopeFit::new(
            "peers: datagram bytes a second and daemon",
            "members",
            bytes,
        ),
        SlopeFit::new("peers: heap a daemon and member, bytes", "members", heap),
        SlopeFit::new(
            "peers: change in force at all, worst of 8, ms",
            "members",
            spread,
        ),
        SlopeFit::new("peers: the same with 10 % loss, ms", "members", lossy),
    ])
}

fn traffic(net: &PeerNet) -> f64 {
    let counts = net.nodes.iter().map(|node| node.core.counts());
    counts
        .map(|counts| (counts.sent_bytes + counts.received_bytes) as f64)
        .sum()
}

/// Longest time in milliseconds from a change at one daemon until it is in force at all.
fn worst_spread(net: &mut PeerNet) -> Result<f64, SlopeError> {
    let mut worst = Duration::ZERO;
    for _ in 0..CHANGES {
        let version = net.nodes[0].version + 1;
        net.apply_bundle(net.now, 0, version);
        let time = net.run_until(SPREAD_MAX, |net| net.has_version(version));
        worst = worst.max(time.ok_or(SlopeError::NotSpread)?);
        net.run_for(Duration::from_secs(2));
    }
    Ok(worst.as_secs_f64() * 1e3)
}
