//! Validation of bundles, and the messages for invalid ones.

#![allow(clippy::expect_used)]

use insta::assert_snapshot;
use schema::{
    bundle::{
        BundleBody,
        GroupSpec,
        ShardSpec,
        SignerSpec,
        ZoneSpec, //
    },
    parse_yaml,
    DeploymentSpec,
    KEY_SPACE, //
};

fn valid_body() -> BundleBody {
    BundleBody {
        deployment: "trust".into(),
        version: 1,
        signers: vec![SignerSpec {
            name: "ana".into(),
            key: "11".repeat(32),
        }],
        signers_required: 1,
        daemons: 8,
        zones: vec![ZoneSpec {
            name: "kochi-1".into(),
            region: "kochi".into(),
        }],
        groups: vec![GroupSpec {
            name: "plank-finder".into(),
            mode: "scatter".into(),
            shard_count: 10,
            replicas: 3,
            slots: 2,
            connections: 25,
            connect_us: 5000,
            ..GroupSpec::default()
        }],
        ..BundleBody::default()
    }
}

#[test]
fn equal_shards_divide_the_key_space() {
    let spec = DeploymentSpec::from_body(&valid_body()).expect("valid bundle");
    let shards = &spec.groups[0].shards;
    assert_eq!(shards.len(), 10);
    assert_eq!(shards[0].span.start(), 0);
    assert_eq!(shards[9].span.end(), KEY_SPACE);
    assert!(shards
        .windows(2)
        .all(|pair| pair[0].span.end() == pair[1].span.start()));
}

#[test]
fn bad_fields_are_named() {
    type Edit = fn(&mut BundleBody);
    let shard = |name: &str, start, end| ShardSpec {
        name: name.into(),
        start,
        end,
    };
    let cases: Vec<(&str, Edit)> = vec![
        ("no deployment", |body| body.deployment.clear()),
        ("space in name", |body| body.deployment = "the trust".into()),
        ("version 0", |body| body.version = 0),
        ("no daemons", |body| body.daemons = 0),
        ("no zones", |body| body.zones.clear()),
        ("zone twice", |body| body.zones.push(body.zones[0].clone())),
        ("no groups", |body| body.groups.clear()),
        ("group twice", |body| {
            body.groups.push(body.groups[0].clone())
        }),
        ("mode", |body| body.groups[0].mode = "fan".into()),
        ("once scattered", |body| body.groups[0].once = true),
        ("no slots", |body| body.groups[0].slots = 0),
        ("no shards", |body| body.groups[0].shard_count = 0),
        ("too few connections", |body| body.groups[0].connections = 7),
        ("no signers", |body| body.signers.clear()),
        ("short key", |body| body.signers[0].key = "11".into()),
        ("budget", |body| {
            body.groups[0].policy = Some(schema::bundle::PolicySpec {
                budget_pct: 51,
                ..Default::default()
            });
        }),
        ("deadline over bound", |body| {
            body.groups[0].policy = Some(schema::bundle::PolicySpec {
                deadline_ms: 900,
                deadline_max_ms: 800,
                ..Default::default()
            });
        }),
    ];
    let mut lines = String::new();
    for (name, edit) in cases {
        let mut body = valid_body();
        edit(&mut body);
        let error = DeploymentSpec::from_body(&body).expect_err(name);
        lines += &format!("{name}: {error}\n");
    }
    let mut gap = valid_body();
    gap.groups[0].shards = vec![shard("a", 0, 100), shard("b", 200, KEY_SPACE)];
    lines += &format!(
        "gap: {}\n",
        DeploymentSpec::from_body(&gap).expect_err("gap")
    );
    let mut overlap = valid_body();
    overlap.groups[0].shards = vec![shard("a", 0, 100), shard("b", 99, KEY_SPACE)];
    lines += &format!(
        "overlap: {}\n",
        DeploymentSpec::from_body(&overlap).expect_err("overlap")
    );
    assert_snapshot!(lines);
}

#[test]
fn yaml_errors_name_file_line_and_field() {
    let texts = [
        ("unknown key", "deployment: trust\nversions: 1\n"),
        (
            "wrong type",
            "deployment: trust\ngroups:\n  - name: a\n    slots: many\n",
        ),
        ("negative", "daemons: -1\n"),
        ("not YAML", "deployment: [\n"),
        ("key twice", "version: 1\nversion: 2\n"),
    ];
    let mut lines = String::new();
    for (name, text) in texts {
        let error = parse_yaml::<BundleBody>("bundle.yaml", text).expect_err(name);
        lines += &format!("{name}: {error}\n");
    }
    assert_snapshot!(lines);
}

#[test]
fn find_line_returns_the_line_of_a_field() {
    let text = "deployment: trust\nversion: 1\n\ngroups:\n  - name: a\n    slots: 2\n  - name: b\n    policy:\n      goal_ms: 5\n";
    let cases = [
        ("version", 2),
        ("groups[0].slots", 6),
        ("groups[1].name", 7),
        ("groups[1].policy.goal_ms", 9),
        // The text does not contain these fields: the line of the closest ancestor is expected.
        ("groups[1].slots", 7),
        ("groups[1].policy.budget_pct", 9),
        ("daemons", 1),
    ];
    for (path, line) in cases {
        assert_eq!(schema::find_line(text, path), line, "{path}");
    }
    let error = schema::SchemaError::bad_field("groups[0].slots", 2, "at least 3");
    let located = schema::locate_error("bundle.yaml", text, error);
    let message = "bundle.yaml:6: groups[0].slots: \"2\" is not allowed, expected at least 3";
    assert_eq!(located.to_string(), message);
}
