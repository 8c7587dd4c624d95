//! Cost of charges that wait to be written to the store.

use std::time::Duration;

use cpu_time::ThreadTime;
use policy::charges::{
    ChargeEvent,
    ChargeLedger,
    ChargeSettings,
    ChargeToken, //
};
use schema::{
    ChargeUnits,
    Incarnation,
    QueryId,
    TimePoint, //
};

use crate::{
    heap_use,
    slope_fit::SlopeFit,
    SlopeError, //
};

/// Numbers of charges that wait while the store does not answer.
const CHARGE_COUNTS: [u64; 4] = [1_000, 10_000, 100_000, 400_000];
/// Rate at which charges arrive.
const CHARGES_PER_SECOND: u64 = 4_000;
/// Number of end users that are charged.
const USERS: u64 = 5_000;
const START: TimePoint = TimePoint(1_764_817_210_000_000);

/// Measures the CPU time to accept charges and the heap that they take up.
pub(crate) fn measure() -> Result<Vec<SlopeFit>, SlopeError> {
    let mut heap = Vec::new();
    let mut cpu = Vec::new();
    for count in CHARGE_COUNTS {
        let address = ([127, 0, 0, 1], 7000).into();
        let settings = ChargeSettings::new(
            "entry-0".parse()?,
            "zone-1".parse()?,
            address,
            Incarnation(1),
        );
        let mut ledger = ChargeLedger::new(settings);
        let mut actions = Vec::new();
        let heap_before = heap_use();
        let cpu_start = ThreadTime::now();
        for charge in 0..count {
            let event = ChargeEvent::Charge {
                query: QueryId(charge),
                token: ChargeToken(u128::from(charge) << 64 | u128::from(charge)),
                user: format!("sponsor-{}", charge % USERS).parse()?,
                units: ChargeUnits(100),
            };
            let now = START + Duration::from_micros(charge * 1_000_000 / CHARGES_PER_SECOND);
            ledger.on_event(now, event, &mut actions);
            actions.clear();
        }
        cpu.push((count as f64, cpu_start.elapsed().as_secs_f64() * 1e6));
        heap.push((count as f64, heap_use() - heap_before));
        if ledger.waiting_count() != count {
            return Err(SlopeError::UnexpectedResult);
        }
    }
    Ok(vec![
        SlopeFit::new("charges: CPU to take them in, µs", "charges", cpu),
        SlopeFit::new("charges: heap of waiting ones, bytes", "charges", heap),
    ])
}
