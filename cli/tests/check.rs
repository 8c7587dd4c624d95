//! `pollentally check`: validation of bundles and settings.

#![allow(clippy::unwrap_used)]

mod workdir;

use platform_standin::boot_text;
use workdir::{
    bundle_yaml,
    repository_file,
    WorkDir, //
};

const KEY: &str = "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a";

#[test]
fn sample_deployments() {
    let dir = WorkDir::new();
    for name in ["trust", "hajtas"] {
        let path = repository_file(&format!("deploy/{name}/bundle.yaml"));
        let out = dir.run_ok(&["check", &path.display().to_string()]);
        insta::assert_snapshot!(name, out);
    }
}

#[test]
fn bad_bundles() {
    let dir = WorkDir::new();
    let good = bundle_yaml(&[("ann", KEY)], 1, 2);
    let cases = [
        ("slots: 2", "slots: 0"),
        ("slots: 2", "slot: 2"),
        ("slots: 2", "slots: many"),
        ("mode: single", "mode: double"),
        ("connections: 25", "connections: 0"),
        ("daemons: 1", "daemons: 30"),
        ("name: orders", "name: search"),
        ("signers_required: 1", "signers_required: 2"),
        ("key: \"d75a", "key: \"zzzz"),
        ("deployment: demo", "deployment: \"two words\""),
        ("deployment: demo\n", ""),
        ("zones:", "zones: ["),
    ];
    let mut errors = String::new();
    for (old, new) in cases {
        dir.write("bad.yaml", &good.replacen(old, new, 1));
        let result = dir.run(&["check", "bad.yaml"]);
        assert_eq!(
            (result.exit_code, result.stdout.as_str()),
            (2, ""),
            "{old} -> {new}"
        );
        errors += &result.stderr;
    }
    let result = dir.run(&["check", "none.yaml"]);
    assert_eq!(result.exit_code, 1);
    errors += &result.stderr;
    insta::assert_snapshot!(errors);
}

#[test]
fn json() {
    let dir = WorkDir::new();
    dir.write("bundle.yaml", &bundle_yaml(&[("ann", KEY)], 1, 2));
    insta::assert_snapshot!(dir.run_ok(&["check", "--json", "bundle.yaml"]));
}

#[test]
fn daemon_settings() {
    let dir = WorkDir::new();
    let path = repository_file("deploy/sample-settings.yaml");
    let out = dir.run_ok(&["check", "--settings", &path.display().to_string()]);
    assert!(
        out.ends_with("ok; daemon entry-1 in data centre kochi\n"),
        "{out}"
    );
    let good = std::fs::read_to_string(&path).unwrap();
    dir.write("bad.yaml", &good.replacen("zone: kochi", "zone: [1]", 1));
    let result = dir.run(&["check", "--settings", "bad.yaml"]);
    assert_eq!((result.exit_code, result.stdout.as_str()), (2, ""));
    assert!(
        result.stderr.contains("bad.yaml") && result.stderr.contains("zone"),
        "{}",
        result.stderr
    );
    let result = dir.run(&["check", "--settings", "none.yaml"]);
    assert_eq!(result.exit_code, 1, "{result:?}");
}

#[test]
fn platform_settings() {
    let dir = WorkDir::new();
    let store = "127.0.0.1:9".parse().unwrap();
    let good = boot_text("d1", [127, 0, 0, 1], "z1", store, &[]);
    dir.write("boot.json", &good);
    let out = dir.run_ok(&["check", "--platform", "boot.json"]);
    assert_eq!(out, "boot.json: ok; daemon d1 in data centre z1\n");
    let out = dir.run_ok(&["check", "--json", "--platform", "boot.json"]);
    assert!(out.contains("\"zone\": \"z1\""), "{out}");
    let bad = good.replacen("127.0.0.1:9", "nowhere", 1);
    assert_ne!(bad, good);
    dir.write("boot.json", &bad);
    let result = dir.run(&["check", "--platform", "boot.json"]);
    assert_eq!((result.exit_code, result.stdout.as_str()), (2, ""));
    assert!(
        result.stderr.contains("boot.json") && result.stderr.contains("address"),
        "{}",
        result.stderr
    );
}
