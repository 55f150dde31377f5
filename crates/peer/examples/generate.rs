//! Generates the Rust code of the messages from the files in `proto`.
//!
//! Run it with `cargo run -p verbenahead-peer --example generate` after changing a file in `proto`.

use std::{
    error::Error,
    path::{Path, PathBuf},
};

fn main() -> Result<(), Box<dyn Error>> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    generate(&root.join("src/generated"))
}

/// Generates the code into the directory `out`.
pub fn generate(out: &Path) -> Result<(), Box<dyn Error>> {
    let proto = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("proto");
    let descriptors = protox::compile(
        [proto.join("peer.proto"), proto.join("report.proto")],
        [&proto],
    )?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(out)
        .compile_fds(descriptors)?;
    Ok(())
}
