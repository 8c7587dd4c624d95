//! A folder of its own for a test of the real binary.

#![allow(dead_code, clippy::unwrap_used)]

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Command,
        Output, //
    },
};

use standin::{
    StoreServer,
    StoreSettings, //
};
use tempfile::TempDir;

/// A temporary folder that commands run in.
pub(crate) struct WorkDir {
    folder: TempDir,
}

/// What a command gave.
#[derive(Debug)]
pub(crate) struct RanCommand {
    pub(crate) code: i32,
    pub(crate) out: String,
    pub(crate) err: String,
}

impl WorkDir {
    pub(crate) fn new() -> Self {
        Self {
            folder: tempfile::tempdir().unwrap(),
        }
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub(crate) fn write(&self, name: &str, text: &str) {
        fs::write(self.path(name), text).unwrap();
    }

    pub(crate) fn read(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap()
    }

    pub(crate) fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pollentally"));
        command.current_dir(self.folder.path()).args(args);
        command.env("NO_COLOR", "1");
        command
    }

    pub(crate) fn run(&self, args: &[&str]) -> RanCommand {
        RanCommand::from(self.command(args).output().unwrap())
    }

    /// Runs a command that must succeed.
    pub(crate) fn ok(&self, args: &[&str]) -> String {
        let ran = self.run(args);
        assert_eq!(ran.code, 0, "{args:?}: {}", ran.err);
        ran.out
    }

    /// Makes a key and gives its public half in hex.
    pub(crate) fn keygen(&self, signer: &str) -> String {
        let out = self.ok(&[
            "keygen",
            signer,
            "--out",
            &format!("{signer}.key"),
            "--json",
        ]);
        let spec: serde_json::Value = serde_json::from_str(&out).unwrap();
        spec["key"].as_str().unwrap().to_owned()
    }

    /// Signs `bundle` by `signer` into `out`.
    pub(crate) fn sign(&self, signer: &str, bundle: &str, out: &str) -> RanCommand {
        let key = format!("{signer}.key");
        self.run(&[
            "sign",
            "--settings",
            "settings.yaml",
            "--signer",
            signer,
            "--key",
            &key,
            "--out",
            out,
            bundle,
        ])
    }

    pub(crate) fn accept(&self, signed: &str) -> RanCommand {
        self.run(&["accept", "--settings", "settings.yaml", signed])
    }
}

impl From<Output> for RanCommand {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// A bundle of one small group, signed by `signers`.
pub(crate) fn bundle_yaml(signers: &[(&str, &str)], required: u32, slots: u32) -> String {
    let mut text = "deployment: demo\nsigners:\n".to_owned();
    for (name, key) in signers {
        text += &format!("  - {{ name: {name}, key: \"{key}\" }}\n");
    }
    text += &format!(
        "signers_required: {required}
daemons: 1
zones:
  - {{ name: zone-1, region: region-1 }}
groups:
  - name: search
    mode: scatter
    shard_count: 2
    replicas: 2
    slots: {slots}
    connections: 25
  - name: orders
    mode: single
    once: true
    replicas: 2
    slots: 2
    connections: 25
"
    );
    text
}

/// Settings that name a store and trust `signers`.
pub(crate) fn settings_yaml(store: &str, signers: &[(&str, &str)], required: u32) -> String {
    let mut text = format!(
        "name: d1\ndeployment: demo\nzone: zone-1\nregion: region-1\n\
         platform:\n  store: {store}\ntrust:\n  required: {required}\n  signers:\n"
    );
    for (name, key) in signers {
        text += &format!("    - {{ name: {name}, key: \"{key}\" }}\n");
    }
    text
}

/// A store, and a folder with a key of ann, settings that trust her and `bundle.yaml`.
pub(crate) fn with_store() -> (WorkDir, StoreServer) {
    let dir = WorkDir::new();
    let store = StoreServer::spawn(StoreSettings::default()).unwrap();
    let key = dir.keygen("ann");
    let signers = [("ann", key.as_str())];
    dir.write("settings.yaml", &settings_yaml(&store.url(), &signers, 1));
    dir.write("bundle.yaml", &bundle_yaml(&signers, 1, 2));
    (dir, store)
}

/// A file of the project.
pub(crate) fn project_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(name)
}
