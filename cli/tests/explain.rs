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

/// A request that was refused because of the crashes of earlier ones, at two daemons, and a crash
/// under another request.
const CRASH_LOGS: [&str; 2] = [
    r#"{"message":"crash counted","level":"WARNING","time_us":1000000,"crashes":1,"print":"c6","replica":"i-1","service":"s1","query":1,"request":"first","event":"E7014"}
{"message":"crash counted","level":"WARNING","time_us":1200000,"crashes":1,"print":"77","replica":"i-1","service":"s1","query":2,"request":"another","event":"E7014"}
{"message":"crash counted","level":"WARNING","time_us":1500000,"crashes":2,"print":"c6","replica":"i-2","service":"s1","query":3,"request":"","event":"E7014"}
"#,
    r#"{"message":"reported","level":"WARNING","time_us":1600000,"replicas":"i-2,i-1","crashes":2,"print":"c6","event":"E7016"}
{"message":"crash counted","level":"WARNING","time_us":2000000,"crashes":3,"print":"c6","replica":"i-3","service":"s1","query":9,"request":"second","event":"E7014"}
{"message":"quarantined","level":"ERROR","time_us":2000000,"period_ms":60000.0,"crashes":3,"print":"c6","service":"s1","event":"E7015"}
{"message":"not sent","level":"WARNING","time_us":3000000,"retry_after_ms":59000.0,"replicas":"i-3,i-2,i-1","crashes":3,"print":"c6","service":"s1","query":10,"request":"third","event":"E7017"}
{"message":"request ended","level":"INFO","time_us":3000100,"result":"quarantined","sends":0,"request":"third","event":"E7001"}
"#,
];

#[test]
fn shows_the_crashes_for_which_a_request_was_refused() {
    let dir = WorkDir::new();
    dir.write("one.log", CRASH_LOGS[0]);
    dir.write("two.log", CRASH_LOGS[1]);
    let out = dir.run_ok(&["explain", "third", "one.log", "two.log"]);
    let expected = "  \
        -2000.0 ms  one  E7014 crash counted  crashes=1  print=c6  replica=i-1  service=s1\n  \
        -1500.0 ms  one  E7014 crash counted  crashes=2  print=c6  replica=i-2  service=s1\n  \
        -1400.0 ms  two  E7016 reported  crashes=2  print=c6  replicas=i-2,i-1\n  \
        -1000.0 ms  two  E7014 crash counted  crashes=3  print=c6  replica=i-3  service=s1\n  \
        -1000.0 ms  two  E7015 quarantined  crashes=3  period_ms=60000.0  print=c6  service=s1\n      \
        0.0 ms  two  E7017 not sent  crashes=3  print=c6  replicas=i-3,i-2,i-1  retry_after_ms=59000.0  service=s1\n      \
        0.1 ms  two  E7001 request ended  result=quarantined  sends=0\n";
    assert_eq!(out, expected);
}

/// A request that a daemon without links relayed to another one.
const RELAY_LOGS: [&str; 2] = [
    r#"{"message":"lost","level":"WARNING","time_us":1000000,"evidence":"silent","event":"E7023"}
{"message":"back","level":"INFO","time_us":2000000,"period_ms":1000.0,"event":"E7024"}
{"message":"lost","level":"WARNING","time_us":3000000,"evidence":"silent","event":"E7023"}
{"message":"relayed","level":"INFO","time_us":4000000,"helper":"two","request":"r1","event":"E7026"}
{"message":"ended","level":"INFO","time_us":4020000,"result":"served","helper":"two","request":"r1","event":"E7001"}
{"message":"back","level":"INFO","time_us":5000000,"period_ms":2000.0,"event":"E7024"}
"#,
    r#"{"message":"lost","level":"WARNING","time_us":100000,"evidence":"silent","event":"E7023"}
{"message":"ended","level":"INFO","time_us":4015000,"result":"served","relayed_by":"one","request":"r1","event":"E7001"}
"#,
];

#[test]
fn shows_since_when_links_were_lost_for_a_relayed_request() {
    let dir = WorkDir::new();
    dir.write("one.log", RELAY_LOGS[0]);
    dir.write("two.log", RELAY_LOGS[1]);
    let out = dir.run_ok(&["explain", "r1", "one.log", "two.log"]);
    let expected = "  \
        -1000.0 ms  one  E7023 lost  evidence=silent\n      \
        0.0 ms  one  E7026 relayed  helper=two\n     \
        15.0 ms  two  E7001 ended  relayed_by=one  result=served\n     \
        20.0 ms  one  E7001 ended  helper=two  result=served\n";
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
