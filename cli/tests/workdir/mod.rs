//! Temporary directory in which a test runs the command-line binary, with sample files.

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

/// A temporary working directory for commands; removed when dropped.
pub(crate) struct WorkDir {
    temp_dir: TempDir,
}

/// Exit code and output of a finished command.
#[derive(Debug)]
pub(crate) struct CommandResult {
    pub(crate) exit_code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl WorkDir {
    pub(crate) fn new() -> Self {
        Self {
            temp_dir: tempfile::tempdir().unwrap(),
        }
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.temp_dir.path().join(name)
    }

    pub(crate) fn write(&self, name: &str, text: &str) {
        fs::write(self.path(name), text).unwrap();
    }

    pub(crate) fn read(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap()
    }

    pub(crate) fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pollentally"));
        command.current_dir(self.temp_dir.path()).args(args);
        command.env("NO_COLOR", "1");
        command
    }

    pub(crate) fn run(&self, args: &[&str]) -> CommandResult {
        CommandResult::from(self.command(args).output().unwrap())
    }

    /// Runs a command that must succeed and returns its standard output.
    pub(crate) fn run_ok(&self, args: &[&str]) -> String {
        let result = self.run(args);
        assert_eq!(result.exit_code, 0, "{args:?}: {}", result.stderr);
        result.stdout
    }

    /// Generates a key pair for `signer` and returns the public key in hex.
    pub(crate) fn keygen(&self, signer: &str) -> String {
        let out = self.run_ok(&[
            "keygen",
            signer,
            "--out",
            &format!("{signer}.key"),
            "--json",
        ]);
        let spec: serde_json::Value = serde_json::from_str(&out).unwrap();
        spec["key"].as_str().unwrap().to_owned()
    }

    /// Signs the file `bundle` with the key of `signer` and writes the result to `out`.
    pub(crate) fn sign(&self, signer: &str, bundle: &str, out: &str) -> CommandResult {
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

    pub(crate) fn accept(&self, signed: &str) -> CommandResult {
        self.run(&["accept", "--settings", "settings.yaml", signed])
    }
}

impl From<Output> for CommandResult {
    fn from(output: Output) -> Self {
        Self {
            exit_code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// YAML of a bundle that lists `signers` and has a scatter and a single group; `slots` is set for
/// the scatter group.
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

/// YAML of daemon settings with the URL of the store and the trusted `signers`.
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

/// Starts a store; the directory has a key of the signer `ann`, settings that trust it and
/// `bundle.yaml`.
pub(crate) fn workdir_with_store() -> (WorkDir, StoreServer) {
    let dir = WorkDir::new();
    let store = StoreServer::spawn(StoreSettings::default()).unwrap();
    let key = dir.keygen("ann");
    let signers = [("ann", key.as_str())];
    dir.write("settings.yaml", &settings_yaml(&store.url(), &signers, 1));
    dir.write("bundle.yaml", &bundle_yaml(&signers, 1, 2));
    (dir, store)
}

/// Path of a file in the repository.
pub(crate) fn repository_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(name)
}
