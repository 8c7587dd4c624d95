//! `pollentally completion`: completion scripts.

#![allow(clippy::unwrap_used)]

mod workdir;

use workdir::WorkDir;

#[test]
fn prints_scripts() {
    let dir = WorkDir::new();
    for shell in ["bash", "zsh", "fish", "elvish"] {
        let script = dir.run_ok(&["completion", shell]);
        assert!(script.contains("bpaf-complete-rev"), "{shell}");
    }
    let result = dir.run(&["completion", "csh"]);
    assert_eq!(result.exit_code, 2);
    insta::assert_snapshot!(result.stderr, @"error: SHELL: csh is not allowed, expected bash, zsh, fish or elvish");
}
