//! `pollentally query`: answers and errors.

#![allow(clippy::unwrap_used)]

mod live;
mod workdir;

use live::LiveDeployment;
use workdir::WorkDir;

#[test]
fn answers_and_refusals() {
    let live = LiveDeployment::new(1);
    live.put_in_force();
    let daemon = live.start_daemon("d1");
    live.wait_ready(&daemon);
    let address = daemon.caller.to_string();
    let cases: [(&str, i32, &[&str]); 7] = [
        ("whole", 0, &["search", "oak"]),
        ("one item", 0, &["--items", "1", "search", "oak"]),
        ("unknown group", 6, &["nothing", "oak"]),
        ("key missing", 6, &["orders", "washi"]),
        (
            "deadline too long",
            6,
            &["--deadline-ms", "999999", "search", "oak"],
        ),
        ("bad user", 6, &["--user", "two words", "search", "oak"]),
        (
            "coverage over 100",
            6,
            &["--min-coverage", "101", "search", "oak"],
        ),
    ];
    let mut outputs = String::new();
    for (index, (name, code, args)) in cases.into_iter().enumerate() {
        let request = format!("r{index}");
        let mut all = vec!["query", "--daemon", &address, "--request", &request];
        if name != "bad user" {
            all.extend(["--user", "kiosk-1"]);
        }
        all.extend(args);
        let result = live.dir.run(&all);
        assert_eq!(result.exit_code, code, "{name}: {result:?}");
        outputs += &format!("# {name}\n{}{}\n", result.stdout, result.stderr);
    }
    // Whether another daemon received a copy of the charge in time varies from run to run.
    let outputs = outputs
        .replace("(uncopied)", "(none)")
        .replace("(copied)", "(none)");
    insta::assert_snapshot!(outputs);
}

#[test]
fn unreachable_daemon() {
    let dir = WorkDir::new();
    let result = dir.run(&["query", "--daemon", "127.0.0.1:1", "search", "oak"]);
    assert_eq!(result.exit_code, 5);
    insta::assert_snapshot!(result.stderr, @"error: the daemon at 127.0.0.1:1: cannot connect");
    let result = dir.run(&["query", "--daemon", "localhost", "search", "oak"]);
    assert_eq!(result.exit_code, 2);
}
