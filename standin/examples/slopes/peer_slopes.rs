//! Cost of the peer protocol, measured in the virtual-time network of its tests. Every datagram is
//! encoded and decoded.

use std::time::Duration;

use cpu_time::ThreadTime;

use crate::{
    heap_use,
    peers_kit::PeerNet,
    slope_fit::SlopeFit,
    SlopeError, //
};

/// Numbers of daemons in one data centre.
const MEMBER_COUNTS: [usize; 5] = [8, 32, 128, 207, 512];
/// Virtual time for the daemons to join before the measurement.
const JOIN_TIME: Duration = Duration::from_secs(20);
/// Virtual time that is measured.
const MEASURED_TIME: Duration = Duration::from_secs(40);
/// Number of changes measured for each number of daemons.
const CHANGE_COUNT: u64 = 8;
/// Timeout for a change to reach every daemon.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);

/// Measures CPU time, traffic and heap use of the daemons and the propagation time of changes.
pub(crate) fn measure() -> Result<Vec<SlopeFit>, SlopeError> {
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    let mut heap = Vec::new();
    let mut propagation = Vec::new();
    let mut lossy_propagation = Vec::new();
    for members in MEMBER_COUNTS {
        let size = members as f64;
        let heap_before = heap_use();
        let mut net = PeerNet::new(1, members, 1);
        net.run_for(JOIN_TIME);
        heap.push((size, (heap_use() - heap_before) / size / size));
        let sent_before = traffic_bytes(&net);
        let cpu_start = ThreadTime::now();
        net.run_for(MEASURED_TIME);
        let seconds = MEASURED_TIME.as_secs_f64();
        cpu.push((
            size,
            cpu_start.elapsed().as_secs_f64() * 100.0 / size / seconds,
        ));
        bytes.push((size, (traffic_bytes(&net) - sent_before) / size / seconds));
        propagation.push((size, worst_propagation_ms(&mut net)?));
        net.loss_pct = 10;
        lossy_propagation.push((size, worst_propagation_ms(&mut net)?));
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
            propagation,
        ),
        SlopeFit::new(
            "peers: the same with 10 % loss, ms",
            "members",
            lossy_propagation,
        ),
    ])
}

fn traffic_bytes(net: &PeerNet) -> f64 {
    let counts = net.nodes.iter().map(|node| node.core.counts());
    counts
        .map(|counts| (counts.sent_bytes + counts.received_bytes) as f64)
        .sum()
}

/// Longest time in milliseconds from a change at one daemon until it is in force at every daemon.
fn worst_propagation_ms(net: &mut PeerNet) -> Result<f64, SlopeError> {
    let mut worst = Duration::ZERO;
    for _ in 0..CHANGE_COUNT {
        let version = net.nodes[0].version + 1;
        net.apply_bundle(net.now, 0, version);
        let time = net.run_until(PROPAGATION_TIMEOUT, |net| net.has_version(version));
        worst = worst.max(time.ok_or(SlopeError::NotPropagated)?);
        net.run_for(Duration::from_secs(2));
    }
    Ok(worst.as_secs_f64() * 1e3)
}
