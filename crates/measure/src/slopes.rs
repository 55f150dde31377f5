//! How the costs of a node grow with nodes, upstreams, requests, tokens, streams and journals.
//!
//! Each profile measures at several sizes and prints the points and the line that fits them best.
//! The page on capacity works out the target from these lines.

pub mod caller_path;
pub mod fit;
pub mod idle_nodes;
pub mod journals;
pub mod points;
pub mod upstreams;

use anyhow::{Context, ensure};

use crate::registry::MeasureOptions;

/// `Profile` is a part of the measurement that can run alone.
struct Profile {
    name: &'static str,
    run: fn(&MeasureOptions) -> anyhow::Result<()>,
}

const fn profile(name: &'static str, run: fn(&MeasureOptions) -> anyhow::Result<()>) -> Profile {
    Profile { name, run }
}

/// All profiles, those first that need an unused process for their memory.
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
    let wanted = options.profile.as_deref();
    let mut is_known = false;
    for profile in PROFILES {
        if wanted.is_none_or(|wanted| wanted == profile.name) {
            is_known = true;
            (profile.run)(options).with_context(|| format!("the profile {}", profile.name))?;
        }
    }
    ensure!(is_known, "measure: no such profile of slopes");
    Ok(())
}

/// Runs a part that needs processes and sockets.
///
/// # Errors
///
/// When the runtime cannot be started or the part fails.
pub fn on_runtime(part: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .context("cannot start the runtime")?
        .block_on(part)
}
