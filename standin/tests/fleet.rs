//! Tests of the fleet server and the VM list.

#![allow(clippy::unwrap_used)]

mod plain_http;

use std::time::Duration;

use plain_http::call;
use schema::{
    bundle::BundleBody,
    parse_yaml,
    platform::VmList,
    DeploymentSpec,
    KeySpan, //
};
use standin::{
    DrainMode,
    FleetServer,
    FleetSettings,
    VmServer,
    VmSettings, //
};

fn load_spec(folder: &str) -> DeploymentSpec {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy");
    let path = format!("{root}/{folder}/bundle.yaml");
    let text = std::fs::read_to_string(&path).unwrap();
    let body: BundleBody = parse_yaml(&path, &text).unwrap();
    DeploymentSpec::from_body(&BundleBody { version: 1, ..body }).unwrap()
}

fn read_list(vms: &VmServer) -> VmList {
    let (status, text) = call(vms.address(), "GET", "/v1/vms?after=0", "").unwrap();
    assert_eq!(status, 200);
    serde_json::from_str(&text).unwrap()
}

#[test]
fn starts_all_upstreams() {
    for (folder, upstreams) in [("trust", 83), ("hajtas", 97)] {
        let spec = load_spec(folder);
        let fleet = FleetServer::start(&spec, FleetSettings::default()).unwrap();
        assert_eq!(fleet.upstreams().count(), upstreams);
        let vms = read_list(fleet.vms()).vms;
        assert_eq!(vms.len(), upstreams);
        let group = &spec.groups[0];
        for shard in &group.shards {
            let mut zones: Vec<&str> = vms
                .iter()
                .filter(|vm| vm.group == group.name.as_str() && vm.shard == shard.name.as_str())
                .map(|vm| vm.zone.as_str())
                .collect();
            zones.sort_unstable();
            zones.dedup();
            assert_eq!(zones.len(), 3, "{folder}, shard {}", shard.name);
        }
    }
}

#[test]
fn faults_apply_to_named_upstream() {
    let spec = load_spec("trust");
    let fleet = FleetServer::start(&spec, FleetSettings::default()).unwrap();
    let upstream = fleet.upstream("plank-finder-0-0").unwrap();
    fleet.slow("plank-finder-0-0", 20.0).unwrap();
    assert_eq!(upstream.settings().slowdown_factor, 20.0);
    fleet
        .drain("plank-finder-0-0", DrainMode::Refusing, true)
        .unwrap();
    assert_eq!(upstream.settings().drain, DrainMode::Refusing);
    let leaving = |name: &str| {
        let vms = read_list(fleet.vms()).vms;
        vms.iter()
            .any(|vm| vm.name == name && vm.state == "leaving")
    };
    assert!(leaving("plank-finder-0-0"));
    assert!(!leaving("plank-finder-0-1"));
    fleet.restart("plank-finder-0-0").unwrap();
    assert_eq!(upstream.settings().drain, DrainMode::Off);
    assert!(!leaving("plank-finder-0-0"));
    let smaller_span = KeySpan::new(0, 100).unwrap();
    fleet.repartition("plank-finder", "0", &smaller_span.into());
    assert_eq!(upstream.settings().serves, smaller_span.into());
    assert!(fleet.kill("nobody").is_err());
}

#[test]
fn isolated_zone_heals() {
    let spec = load_spec("hajtas");
    let fleet = FleetServer::start(&spec, FleetSettings::default()).unwrap();
    let (isolated, _) = &spec.zones[0];
    fleet.isolate_zone(isolated);
    for (name, server) in fleet.upstreams() {
        let settings = server.settings();
        let inside = settings.zone == isolated.as_str();
        let expected = if inside { 2 } else { 1 };
        assert_eq!(settings.blocked_zones.len(), expected, "{name}");
        assert!(!settings.blocked_zones.contains(&settings.zone), "{name}");
    }
    fleet.heal_zones();
    assert!(fleet
        .upstreams()
        .all(|(_, upstream)| upstream.settings().blocked_zones.is_empty()));
}

#[test]
fn list_is_delayed() {
    let vms = VmServer::spawn(VmSettings::default()).unwrap();
    let entry = |name: &str| schema::platform::VmEntry {
        name: name.into(),
        ..Default::default()
    };
    vms.put([entry("a")]);
    let seen = read_list(&vms);
    assert_eq!(seen.vms, [entry("a")]);
    vms.set_lag(Duration::from_secs(3600));
    vms.remove("a");
    assert_eq!(read_list(&vms), seen);
    let path = format!("/v1/vms?after={}", seen.revision);
    let unchanged = call(vms.address(), "GET", &path, "").unwrap();
    assert_eq!(unchanged.0, 304);
    vms.set_lag(Duration::ZERO);
    vms.put([entry("b")]);
    assert_eq!(read_list(&vms).vms, [entry("b")]);
}
