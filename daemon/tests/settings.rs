//! Settings files and flags of the daemon.

#![allow(clippy::unwrap_used)]

use daemon::{
    config::{
        parse_settings,
        LimitConfig,
        LogConfig,
        StopConfig, //
    },
    daemon_flags,
    DaemonConfig, //
};

const SAMPLE: &str = include_str!("../../deploy/sample-settings.yaml");

fn parse(text: &str) -> Result<DaemonConfig, schema::SchemaError> {
    parse_settings("settings.yaml", text, |_| {})
}

#[test]
fn sample_is_valid_and_names_every_key() {
    let config = parse(SAMPLE).unwrap();
    assert_eq!(config.name.as_str(), "entry-1");
    let yaml: schema::settings::DaemonSettings = schema::parse_yaml("s", SAMPLE).unwrap();
    for section in [
        "listen", "platform", "trust", "log", "trace", "limits", "stop", "seeds", "cell",
    ] {
        assert!(SAMPLE.contains(&format!("\n{section}:")), "{section}");
    }
    let debug_text = format!("{yaml:?}");
    assert!(
        !debug_text.contains(": None"),
        "a section is missing: {debug_text}"
    );
}

#[test]
fn sample_shows_the_default_values() {
    let config = parse(SAMPLE).unwrap();
    assert_eq!(config.limits, LimitConfig::default());
    assert_eq!(config.stop, StopConfig::default());
    assert_eq!(config.listen, DaemonConfig::default().listen);
    let without_log_keys: String = SAMPLE
        .lines()
        .filter(|line| !line.starts_with("log:") && !line.trim().starts_with("format:"))
        .filter(|line| !line.trim().starts_with("level:"))
        .map(|line| format!("{line}\n"))
        .collect();
    assert_eq!(parse(&without_log_keys).unwrap().log, LogConfig::default());
}

#[test]
fn errors_name_file_line_and_field() {
    let cases = [
        ("name: entry-1", "name: \"\""),
        ("name: entry-1", "name: a b"),
        ("name: entry-1", "nome: entry-1"),
        ("name: entry-1", "name: [1]"),
        ("zone: kochi", "zone: kochi\nzone: kollam"),
        ("caller: 127.0.0.1:7100", "caller: localhost:7100"),
        ("caller: 127.0.0.1:7100", "callers: 127.0.0.1:7100"),
        ("peer: 127.0.0.1:7102", "peer: 7102"),
        ("  - 192.0.2.2:7102", "  - 192.0.2.2"),
        (
            "store: http://192.0.2.10:7000",
            "store: https://192.0.2.10:7000",
        ),
        ("store: http://192.0.2.10:7000", "store: 192.0.2.10:7000"),
        ("store_timeout_ms: 500", "store_timeout_ms: soon"),
        ("store_timeout_ms: 500", "store_timeout_ms: -1"),
        ("key: \"d75a", "key: \"x75a"),
        ("required: 1", "required: 2"),
        ("required: 1", "required: 0"),
        ("format: json", "format: xml"),
        ("level: info", "level: loud"),
        ("sample_pct: 1", "sample_pct: 101"),
        ("memory_mb: 512", "memory_mb: 1"),
        ("descriptors: 16584", "descriptors: 100"),
        ("bound_ms: 30000", "bound_ms: 5000"),
        ("peer_key: \"00", "peer_key: \"0"),
    ];
    let mut errors = Vec::new();
    for (from, to) in cases {
        assert!(SAMPLE.contains(from), "{from}");
        let error = parse(&SAMPLE.replacen(from, to, 1)).unwrap_err();
        errors.push(format!("{to}\n    {error}"));
    }
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn deployed_settings_are_valid() {
    let mut names = std::collections::BTreeSet::new();
    for deployment in ["trust", "hajtas"] {
        let folder = format!("../deploy/{deployment}");
        for entry in std::fs::read_dir(&folder).unwrap() {
            let path = entry.unwrap().path();
            let file = path.file_name().unwrap().to_str().unwrap().to_owned();
            if !file.starts_with("settings") {
                continue;
            }
            let config = parse(&std::fs::read_to_string(&path).unwrap()).unwrap();
            assert!(names.insert(config.name.clone()), "{file}: name not unique");
        }
    }
    assert_eq!(names.len(), 16);
}

#[test]
fn flags_override_the_file() {
    let flags = daemon_flags()
        .run_inner(
            &[
                "--settings",
                "x.yaml",
                "--name",
                "entry-9",
                "--caller",
                "127.0.0.1:0",
                "--log-level",
                "error",
            ][..],
        )
        .unwrap();
    assert_eq!(flags.settings.to_str(), Some("x.yaml"));
    let config = parse_settings("x.yaml", SAMPLE, |settings| flags.apply_to(settings)).unwrap();
    assert_eq!(config.name.as_str(), "entry-9");
    assert_eq!(config.listen.caller.port(), 0);
    assert_eq!(config.listen.admin.port(), 7101);
    assert_eq!(config.log.level, slog::Level::Error);
}

#[test]
fn help_text() {
    let failure = daemon_flags().run_inner(&["--help"][..]).unwrap_err();
    insta::assert_snapshot!(failure.unwrap_stdout());
}
