//! Growth of a node's resource use with nodes, upstreams, requests, tokens, streams and journals.
//!
//! Each profile measures at several sizes and prints the points and their least-squares line.
//! Capacity planning extrapolates these lines to the target size.

pub mod caller_path;
pub mod fit;
pub mod idle_nodes;
pub mod journals;
pub mod points;
pub mod upstreams;

use anyhow::{Context, ensure};

use crate::registry::MeasureOptions;

/// `Profile` is a part of the measurement that can be selected by name.
struct Profile {
    name: &'static str,
    run: fn(&MeasureOptions) -> anyhow::Result<()>,
}

const fn profile(name: &'static str, run: fn(&MeasureOptions) -> anyhow::Result<()>) -> Profile {
    Profile { name, run }
}

/// All profiles. Those that measure the memory of this process run first, before other profiles
/// have grown its heap.
const PROFILES: &[Profile] = &[
    profile("directory", upstreams::directory),
    profile("journals", journals::run),
    profile("idle_nodes", idle_nodes::run),
    profile("listed_upstreams", upstreams::listed),
    profile("requests", caller_path::requests),
    profile("tokens", caller_path::tokens),
    profile("streams", caller_path::streams),
];

/// Runs the measurement.
///
/// # Errors
///
/// When there is no such profile, a process cannot be started or a call fails.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    let selected = options.profile.as_deref();
    let mut is_known = false;
    for profile in PROFILES {
        if selected.is_none_or(|name| name == profile.name) {
            is_known = true;
            (profile.run)(options).with_context(|| format!("the profile {}", profile.name))?;
        }
    }
    ensure!(is_known, "measure: no such profile of slopes");
    Ok(())
}

/// Runs a profile's future on a multi-threaded runtime with timers and I/O.
///
/// # Errors
///
/// When the runtime cannot be started or the future fails.
pub fn on_runtime(future: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("cannot start the runtime")?
        .block_on(future)
}
