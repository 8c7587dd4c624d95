//! `pollentally explain`: lines in the format of the daemons' logs.

#![allow(clippy::unwrap_used)]

mod workdir;

use workdir::WorkDir;

const FIRST_LOG: &str = r#"{"message":"attempt failed","level":"WARNING","time_us":1792861214642585,"age_ms":18.4,"cause":"unconnected","replica":"i-d0faff6b54","service":"bawu68a","query":170,"request":"6612804a2c8a02c0","event":"E7003"}
{"message":"replica not reached, avoided","level":"WARNING","time_us":1792861214642600,"period_ms":250.0,"service":"bawu68a","replica":"i-d0faff6b54","event":"E7006"}
not a line of JSON
{"message":"request ended","level":"INFO","time_us":1792861214880109,"table":7,"missing":1,"sends":11,"age_ms":255.8,"result":"partial","route":"r-qbd6p5v","request":"6612804a2c8a02c0","event":"E7001"}
{"message":"replica not reached, avoided","level":"WARNING","time_us":1792861214642700,"period_ms":250.0,"service":"x","replica":"i-another","event":"E7006"}
"#;
const SECOND_LOG: &str = r#"{"message":"sent to another replica","level":"INFO","time_us":1792861214642617,"budget_left":19,"age_ms":18.4,"cause":"failed","replica":"i-ae77eb3d3e","service":"bawu68a","query":170,"request":"6612804a2c8a02c0","event":"E7002"}
{"message":"request ended","level":"INFO","time_us":1,"result":"served","request":"another","event":"E7001"}
{"no":"time"}
"#;

#[test]
fn sorts_lines_of_a_request_by_time() {
    let dir = WorkDir::new();
    dir.write("one.log", FIRST_LOG);
    dir.write("two.log", SECOND_LOG);
    let out = dir.run_ok(&["explain", "6612804a2c8a02c0", "one.log", "two.log"]);
    let expected = "      \
        0.0 ms  one  E7003 attempt failed  age_ms=18.4  cause=unconnected  replica=i-d0faff6b54  service=bawu68a\n      \
        0.0 ms  one  E7006 replica not reached, avoided  period_ms=250.0  replica=i-d0faff6b54  service=bawu68a\n      \
        0.0 ms  two  E7002 sent to another replica  age_ms=18.4  budget_left=19  cause=failed  replica=i-ae77eb3d3e  service=bawu68a\n    \
        237.5 ms  one  E7001 request ended  age_ms=255.8  missing=1  result=partial  route=r-qbd6p5v  sends=11  table=7\n\
        2 lines skipped that are not JSON log lines\n";
    assert_eq!(out, expected);
}

#[test]
fn unknown_request_id() {
    let dir = WorkDir::new();
    dir.write("one.log", FIRST_LOG);
    let out = dir.run_ok(&["explain", "nope", "one.log"]);
    assert!(out.starts_with("no log line of request nope"), "{out}");
}

#[test]
fn missing_log_file() {
    let dir = WorkDir::new();
    let result = dir.run(&["explain", "nope", "none.log"]);
    assert_ne!(result.exit_code, 0);
    assert!(result.stderr.contains("none.log"), "{}", result.stderr);
}
