//! Help texts and usage errors.

#![allow(clippy::unwrap_used)]

mod workdir;

use std::process::Stdio;

use workdir::WorkDir;

const COMMANDS: [&str; 12] = [
    "check",
    "diff",
    "keygen",
    "sign",
    "accept",
    "history",
    "status",
    "drain",
    "query",
    "load",
    "explain",
    "completion",
];

#[test]
fn help_texts() {
    let dir = WorkDir::new();
    insta::assert_snapshot!("main", dir.run_ok(&["--help"]));
    for command in COMMANDS {
        insta::assert_snapshot!(command, dir.run_ok(&[command, "--help"]));
    }
}

#[test]
fn usage_errors() {
    let dir = WorkDir::new();
    let cases: [&[&str]; 4] = [&[], &["nope"], &["check"], &["load", "search"]];
    for args in cases {
        let result = dir.run(args);
        assert_eq!(result.exit_code, 2, "{args:?}");
        assert!(!result.stderr.is_empty(), "{args:?}");
        assert_eq!(result.stdout, "", "{args:?}");
    }
}

#[test]
fn broken_pipe() {
    let dir = WorkDir::new();
    let bundle = workdir::repository_file("deploy/trust/bundle.yaml");
    let mut command = dir.command(&["check", "--json"]);
    command.arg(bundle).stdout(Stdio::piped());
    let mut child = command.spawn().unwrap();
    drop(child.stdout.take());
    assert!(child.wait().unwrap().success());
}
