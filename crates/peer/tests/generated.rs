//! The committed code of the messages equals the output of the generator.

use std::{fs, path::Path};

#[allow(dead_code)]
#[path = "../examples/generate.rs"]
mod generate;

const FILES: [&str; 2] = ["verbenahead.peer.v1.rs", "verbenahead.report.v1.rs"];

#[test]
fn committed_code_equals_generator_output() {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&out).expect("the directory can be created");

    generate::generate(&out).expect("the messages are valid");

    let committed = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/generated");
    for file in FILES {
        let generated = fs::read(out.join(file)).expect("the file was written");
        let committed = fs::read(committed.join(file)).expect("the file is committed");
        assert!(
            generated == committed,
            "run the generator and commit its output"
        );
    }
}
