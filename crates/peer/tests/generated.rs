//! The committed code of the messages is what the generator writes.

use std::{fs, path::Path};

#[allow(dead_code)]
#[path = "../examples/generate.rs"]
mod generate;

const FILES: [&str; 2] = ["verbenahead.peer.v1.rs", "verbenahead.report.v1.rs"];

#[test]
fn a_fresh_run_of_the_generator_gives_the_same_bytes() {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&out).expect("the directory can be made");

    generate::generate(&out).expect("the messages are valid");

    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");
    for file in FILES {
        let fresh = fs::read(out.join(file)).expect("the file was written");
        let committed = fs::read(committed.join(file)).expect("the file is committed");
        assert!(
            fresh == committed,
            "run the generator and commit its output"
        );
    }
}
