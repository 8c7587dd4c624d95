//! Checks that the committed code is the output of the generator.

#![allow(clippy::expect_used)]

mod generator;

use std::{
    fs,
    path::Path, //
};

#[test]
fn committed_code_matches_the_proto_files() {
    let folder = tempfile::tempdir().expect("temporary folder");
    generator::generate(folder.path()).expect("schema compiles");
    let committed = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/src/generated"));
    let mut files = 0;
    for entry in fs::read_dir(folder.path()).expect("generated files") {
        let generated = entry.expect("entry").path();
        let name = generated.file_name().expect("file name");
        let expected = fs::read_to_string(committed.join(name)).expect("committed file");
        assert_eq!(
            fs::read_to_string(&generated).expect("generated file"),
            expected,
            "{name:?} differs from the generated code: run the generator"
        );
        files += 1;
    }
    assert_eq!(files, 6);
}
