//! Measures what the refusal of requests that crash replicas costs: a request while no crash is
//! remembered, a request while many are, a crash, and the notice that daemons send each other.
//!
//! `cargo run --release -p pollentally-policy --example crash_cost`

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

use policy::forward::{
    CrashKey,
    CrashTable,
    RequestIdentity,
    SeenCrash, //
};
use schema::{
    QueryPrint,
    ReplicaName,
    ServiceName,
    TimePoint, //
};

/// Measured calls of each kind.
const CALLS: u32 = 200_000;
/// Requests for which crashes are remembered: as many as the table holds.
const RECORDS: u64 = 4_096;

/// Nanoseconds of one call of `work`.
fn measure(calls: u32, mut work: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for number in 0..calls {
        work(number);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(calls)
}

fn identity(body: &[u8]) -> RequestIdentity {
    let caller = [10, 0, 0, 1].into();
    RequestIdentity::of(
        "POST",
        "h.example",
        "/route/9c41d07b?page=4&sort=new",
        body,
        caller,
    )
}

fn main() {
    let service = ServiceName::from_static("archive~3");
    let replica = ReplicaName::from_static("i-7f3a91c2");
    for bytes in [0, 300, 2_000] {
        let body = vec![7; bytes];
        let cost = measure(CALLS, |_| {
            black_box(identity(black_box(&body)));
        });
        println!("identity of a request with a body of {bytes} bytes: {cost:.0} ns");
    }
    let identity = identity(b"");
    let mut table = CrashTable::default();
    let mut now = TimePoint(1_790_000_000_000_000);
    let cost = measure(CALLS, |_| {
        black_box(black_box(&table).is_empty());
    });
    println!("check of a request while no crash is remembered: {cost:.1} ns");
    let mut crash = |table: &mut CrashTable, number: u64| {
        now = now + Duration::from_millis(1);
        let seen = SeenCrash {
            replica: &replica,
            sent_at: now,
            broke_at: now,
            caller: 0,
        };
        let key = identity.caller_key(&service);
        let key = CrashKey {
            print: QueryPrint(key.print.0 ^ u128::from(number) << 64),
            ..key
        };
        table.record_crash(now, key, &seen);
    };
    for number in 0..RECORDS {
        crash(&mut table, number);
    }
    let cost = measure(CALLS, |_| {
        let keys = [
            identity.caller_key(&service),
            identity.form_key(&service),
            identity.content_key(&service),
        ];
        for key in keys {
            black_box(table.check(TimePoint(1), key));
        }
    });
    println!(
        "check of one part while {} are remembered: {cost:.0} ns",
        table.len()
    );
    let cost = measure(2_000, |number| {
        crash(&mut table, RECORDS + u64::from(number))
    });
    println!("a crash while the table is full: {cost:.0} ns");
    let notice = &table.sync_notices()[0];
    let bytes = postcard::experimental::serialized_size(&notice.to_note()).unwrap_or_default();
    println!(
        "notice with {} replica: {bytes} bytes",
        notice.replicas.len()
    );
}
