//! `pollentally sign`: signatures of bundles.

#![allow(clippy::unwrap_used)]

mod workdir;

use standin::{
    StoreFault,
    StoreServer,
    StoreSettings, //
};
use workdir::{
    bundle_yaml,
    settings_yaml,
    workdir_with_store,
    WorkDir, //
};

#[test]
fn several_signers() {
    let dir = WorkDir::new();
    let store = StoreServer::spawn(StoreSettings::default()).unwrap();
    let keys = ["ann", "bob", "eve"].map(|name| (name, dir.keygen(name)));
    let signers: Vec<(&str, &str)> = keys
        .iter()
        .map(|(name, key)| (*name, key.as_str()))
        .collect();
    let trusted = &signers[..2];
    dir.write("settings.yaml", &settings_yaml(&store.url(), trusted, 2));
    dir.write("bundle.yaml", &bundle_yaml(trusted, 2, 2));
    let first = dir.sign("ann", "bundle.yaml", "ann.signed");
    assert!(first.stdout.contains("1 of 2 signatures"), "{first:?}");
    let early = dir.accept("ann.signed");
    assert_eq!(early.exit_code, 4);
    assert!(early.stderr.contains("1 of 2 signatures"), "{early:?}");
    assert!(store.keys().is_empty());
    let duplicate = dir.sign("ann", "ann.signed", "twice.signed");
    assert_eq!(duplicate.exit_code, 4);
    assert!(
        duplicate.stderr.contains("ann has already signed"),
        "{duplicate:?}"
    );
    let untrusted = dir.sign("eve", "ann.signed", "eve.signed");
    assert_eq!(untrusted.exit_code, 4);
    assert!(
        untrusted.stderr.contains("eve may not sign"),
        "{untrusted:?}"
    );
    let second = dir.sign("bob", "ann.signed", "both.signed");
    assert!(second.stdout.contains("2 of 2 signatures"), "{second:?}");
    assert_eq!(dir.accept("both.signed").exit_code, 0);
}

#[test]
fn invalid_arguments() {
    let (dir, store) = workdir_with_store();
    dir.keygen("bob");
    dir.write("bad.key", "not hex");
    dir.write(
        "bad.yaml",
        &dir.read("bundle.yaml").replace("slots: 2", "slots: 0"),
    );
    let cases = [
        // Signer, key, bundle, exit code, part of the message.
        ("ann", "none.key", "bundle.yaml", 1, "none.key"),
        (
            "ann",
            "bad.key",
            "bundle.yaml",
            2,
            "bad.key: not a private key",
        ),
        (
            "ann",
            "bob.key",
            "bundle.yaml",
            4,
            "the key is not the one listed for ann",
        ),
        (
            "ann",
            "ann.key",
            "bad.yaml",
            2,
            "bad.yaml:13: groups[0].slots",
        ),
        ("ann", "ann.key", "none.yaml", 1, "none.yaml"),
    ];
    for (signer, key, bundle, code, part) in cases {
        let result = dir.run(&[
            "sign",
            "--settings",
            "settings.yaml",
            "--signer",
            signer,
            "--key",
            key,
            "--out",
            "out.signed",
            bundle,
        ]);
        assert_eq!(result.exit_code, code, "{result:?}");
        assert!(result.stderr.contains(part), "{result:?}");
        assert!(!dir.path("out.signed").exists());
    }
    store.set_fault(StoreFault::Down);
    let down = dir.sign("ann", "bundle.yaml", "out.signed");
    assert_eq!(down.exit_code, 5);
    assert!(
        down.stderr.starts_with("error: the store at http"),
        "{down:?}"
    );
}
