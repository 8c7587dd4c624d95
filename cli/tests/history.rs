//! `pollentally history`: list of versions.

#![allow(clippy::unwrap_used)]

mod workdir;

use workdir::workdir_with_store;

#[test]
fn lists_versions() {
    let (dir, _store) = workdir_with_store();
    let empty = dir.run(&["history", "--settings", "settings.yaml"]);
    assert_eq!(empty.exit_code, 5);
    assert_eq!(empty.stderr, "error: the store holds no bundle\n");
    for slots in 2..6 {
        let text = dir.read("bundle.yaml");
        let file = format!("{slots}.yaml");
        dir.write(
            &file,
            &text.replacen("slots: 2", &format!("slots: {slots}"), 1),
        );
        assert_eq!(dir.sign("ann", &file, "signed").exit_code, 0);
        assert_eq!(dir.accept("signed").exit_code, 0);
    }
    let out = dir.run_ok(&["history", "--settings", "settings.yaml", "--json"]);
    let list: Vec<serde_json::Value> = serde_json::from_str(&out).unwrap();
    let versions: Vec<u64> = list
        .iter()
        .map(|entry| entry["version"].as_u64().unwrap())
        .collect();
    assert_eq!(versions, [4, 3, 2, 1]);
    assert_eq!(list[0]["signed_by"][0], "ann");
    let short = dir.run_ok(&["history", "--settings", "settings.yaml", "--limit", "2"]);
    assert!(
        short.contains("versions before 3 are not listed"),
        "{short}"
    );
}
