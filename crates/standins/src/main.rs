//! Runs one stand-in until it receives SIGTERM or SIGINT.

use anyhow::Result;
use clap::{Parser, Subcommand};
use serde_json::{Value, json};
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;
use verbenahead_standins::{
    booking::{self, BookingOptions},
    engine::{self, EngineOptions},
    link::{Link, LinkOptions},
    platform::{self, PlatformStandinOptions},
};

/// Stand-ins for the platform, engines and plain services for tests of verbenahead.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    standin: Standin,
}

#[derive(Debug, Subcommand)]
enum Standin {
    /// Table, object store, cloud API and list of VMs.
    Platform(PlatformStandinOptions),
    /// Model engine.
    Engine(EngineOptions),
    /// Plain service that counts the requests it runs.
    Booking(BookingOptions),
    /// TCP proxy that can cut, silence or delay its connections.
    Link(LinkOptions),
}

#[tokio::main]
async fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    match arguments.standin {
        Standin::Platform(options) => {
            let server = platform::start(options).await?;
            run_until_signal(&json!({ "listening": server.address() })).await
        }
        Standin::Engine(options) => {
            let server = engine::start(options).await?;
            run_until_signal(&json!({ "listening": server.address() })).await
        }
        Standin::Booking(options) => {
            let server = booking::start(options).await?;
            run_until_signal(&json!({ "listening": server.address() })).await
        }
        Standin::Link(options) => {
            let link = Link::start(options).await?;
            let ready = json!({ "listening": link.address(), "control": link.control() });
            run_until_signal(&ready).await
        }
    }
}

/// Prints the `ready` object and waits for SIGTERM or SIGINT.
async fn run_until_signal(ready: &Value) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    println!("{ready}");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
