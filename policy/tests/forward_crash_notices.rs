//! Crashes that daemons report to each other, and take back.

#![allow(clippy::unwrap_used)]

mod forward_kit;

use forward_kit::{
    ms,
    START, //
};
use policy::forward::{
    CrashKey,
    CrashTable,
    SeenCrash, //
};
use schema::{
    CrashNotice,
    CrashSite,
    QueryPrint,
    TimePoint, //
};

const KEY: CrashKey = CrashKey {
    print: QueryPrint(1),
    site: CrashSite {
        variant: 0,
        service: 1,
    },
};

/// Three replicas crash at once while requests run on them, at the daemon of `table`; returns what it reports.
fn crash_rack(table: &mut CrashTable, now: TimePoint, rack: u32) -> CrashNotice {
    for number in 0..3 {
        let crash = SeenCrash {
            replica: &format!("i-{rack}-{number}").parse().unwrap(),
            sent_at: now,
            broke_at: now + ms(1),
            caller: 0,
        };
        table.record_crash(now + ms(2), KEY, &crash);
    }
    let mut notices = table.due_notices(now + ms(3));
    notices.pop().unwrap()
}

/// Guards against a harmless request that is refused in the first moments of the crash of a rack, because an
/// earlier one, whose crashes another daemon has taken back, still counts as the beginning.
#[test]
fn crashes_that_were_taken_back_are_not_the_beginning_of_later_ones() {
    let mut now = START;
    let (mut table, mut other) = (CrashTable::default(), CrashTable::default());
    let reported = crash_rack(&mut other, now, 1);
    assert!(table.merge(now, reported));
    now = now + ms(30);
    assert!(other.record_success(now, KEY) > 0);
    assert!(table.merge(now, other.due_notices(now).pop().unwrap()));
    table.due_checks(now + ms(2_000));
    now = now + ms(4_000);
    let reported = crash_rack(&mut other, now, 2);
    assert!(table.merge(now + ms(4), reported));
    // Whether the request crashes them shows only by what becomes of it elsewhere.
    for elapsed in [5, 100, 1_000] {
        table.due_checks(now + ms(elapsed));
        let refused = table.trial_needed(now + ms(elapsed), KEY);
        assert_eq!(refused, None, "after {elapsed} ms");
    }
    // Without any success it is refused all the same.
    table.due_checks(now + ms(2_000));
    assert!(table.trial_needed(now + ms(2_000), KEY).is_some());
}
