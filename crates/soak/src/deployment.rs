//! The processes of a run: platform, engines, booking replicas and nodes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use anyhow::Result;
use tokio::task::spawn_blocking;
use verbenahead_standins::{
    booking::Runs,
    client::JsonClient,
    process::{Process, workspace_program},
};

use crate::{
    invariant::BrokenInvariant,
    node_directory::NodeDirectory,
    node_process::NodeProcess,
    schedule::{BOOKING_ZONES, ENGINE_ZONES, NODE_ZONES},
};

/// Model that the engines serve.
pub const MODEL: &str = "draft-small";

/// Time of one generated token, in milliseconds.
const TOKEN_MS: &str = "10";

/// Maximum log lines that are printed, or kept of an ended process.
const TAIL_LINES: usize = 60;

/// Texts in the log of a node that show a fault in it.
const FAULT_PATTERNS: [&str; 2] = ["invariant broken", "panicked at"];

/// `Upstream` is an engine or a booking replica.
#[derive(Debug)]
pub struct Upstream {
    /// Id of its VM.
    pub vm: String,
    /// The process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
}

/// `Deployment` keeps the processes by slot. A slot keeps its availability zone for the whole run;
/// the process in it changes.
#[derive(Debug)]
pub struct Deployment {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Nodes that run.
    pub directory: Arc<NodeDirectory>,
    _platform_process: Process,
    nodes: Vec<Mutex<NodeProcess>>,
    engines: Vec<Mutex<Upstream>>,
    bookings: Vec<Mutex<Upstream>>,
    started: AtomicU64,
    past_runs: Mutex<BTreeMap<String, u64>>,
    past_logs: Mutex<Vec<(String, String)>>,
}

impl Deployment {
    /// Starts all processes.
    ///
    /// # Errors
    ///
    /// When a program has not been built or does not start.
    pub async fn start() -> Result<Self> {
        let directory = Arc::new(NodeDirectory::default());
        let process = spawn_blocking(|| start_standin(&["platform"])).await??;
        let platform = process.address()?;
        let mut deployment = Self {
            platform,
            directory,
            _platform_process: process,
            nodes: Vec::new(),
            engines: Vec::new(),
            bookings: Vec::new(),
            started: AtomicU64::new(0),
            past_runs: Mutex::default(),
            past_logs: Mutex::default(),
        };
        for slot in 0..ENGINE_ZONES.len() {
            let engine = deployment.start_engine(slot).await?;
            deployment.engines.push(Mutex::new(engine));
        }
        for slot in 0..BOOKING_ZONES.len() {
            let booking = deployment.start_booking(slot).await?;
            deployment.bookings.push(Mutex::new(booking));
        }
        for slot in 0..NODE_ZONES.len() {
            let node = deployment.start_node(slot).await?;
            deployment.nodes.push(Mutex::new(node));
        }
        Ok(deployment)
    }

    /// Returns the node of a slot.
    pub fn node(&self, slot: usize) -> MutexGuard<'_, NodeProcess> {
        lock(&self.nodes[slot])
    }

    /// Returns the engine of a slot.
    pub fn engine(&self, slot: usize) -> MutexGuard<'_, Upstream> {
        lock(&self.engines[slot])
    }

    /// Returns the booking replica of a slot.
    pub fn booking(&self, slot: usize) -> MutexGuard<'_, Upstream> {
        lock(&self.bookings[slot])
    }

    /// Starts a new node in a slot whose node has ended.
    ///
    /// # Errors
    ///
    /// When the node does not start.
    pub async fn replace_node(&self, slot: usize) -> Result<()> {
        let node = self.start_node(slot).await?;
        let old = std::mem::replace(&mut *self.node(slot), node);
        lock(&self.past_logs).push((old.entry.name, old.process.log()));
        Ok(())
    }

    /// Starts a new engine in a slot whose engine has ended.
    ///
    /// # Errors
    ///
    /// When the engine does not start.
    pub async fn replace_engine(&self, slot: usize) -> Result<()> {
        let engine = self.start_engine(slot).await?;
        *self.engine(slot) = engine;
        Ok(())
    }

    /// Starts a new booking replica in a slot whose replica has ended.
    ///
    /// # Errors
    ///
    /// When the replica does not start.
    pub async fn replace_booking(&self, slot: usize) -> Result<()> {
        let booking = self.start_booking(slot).await?;
        *self.booking(slot) = booking;
        Ok(())
    }

    /// Keeps the runs of a booking replica that is about to be killed.
    pub fn add_past_runs(&self, runs: Runs) {
        let mut past = lock(&self.past_runs);
        for (key, count) in runs.runs {
            *past.entry(key).or_default() += count;
        }
    }

    /// Returns the number of runs by idempotency key, over all replicas, ended ones included.
    ///
    /// # Errors
    ///
    /// When a replica does not answer.
    pub async fn runs(&self) -> Result<BTreeMap<String, u64>> {
        let addresses: Vec<_> = (0..self.bookings.len())
            .map(|slot| self.booking(slot).address)
            .collect();
        let mut sums = lock(&self.past_runs).clone();
        for address in addresses {
            let runs: Runs = JsonClient::new(address).get("/control/runs").await?;
            for (key, count) in runs.runs {
                *sums.entry(key).or_default() += count;
            }
        }
        Ok(sums)
    }

    /// Checks the logs of all nodes, then truncates those of ended nodes to their last lines.
    ///
    /// # Errors
    ///
    /// [`BrokenInvariant`] when a log shows a fault in the node.
    pub fn check_logs(&self) -> Result<(), BrokenInvariant> {
        for (name, log) in self.logs() {
            let line = log
                .lines()
                .find(|line| FAULT_PATTERNS.iter().any(|pattern| line.contains(pattern)));
            if let Some(line) = line {
                return Err(
                    BrokenInvariant::new("no log tells of a fault", line).with_nodes([name])
                );
            }
        }
        for (_, log) in lock(&self.past_logs).iter_mut() {
            *log = tail(log);
        }
        Ok(())
    }

    /// Returns the last lines of the logs of the named nodes, or of all when none is named.
    pub fn log_tails(&self, names: &[String]) -> Vec<(String, String)> {
        self.logs()
            .into_iter()
            .filter(|(name, _)| names.is_empty() || names.contains(name))
            .map(|(name, log)| (name, tail(&log)))
            .collect()
    }

    fn logs(&self) -> Vec<(String, String)> {
        let mut logs = lock(&self.past_logs).clone();
        for slot in 0..self.nodes.len() {
            let node = self.node(slot);
            logs.push((node.entry.name.clone(), node.process.log()));
        }
        logs
    }

    async fn start_node(&self, slot: usize) -> Result<NodeProcess> {
        let platform = self.platform;
        let zone = NODE_ZONES[slot];
        let name = self.new_name("node", zone);
        let node = spawn_blocking(move || NodeProcess::start(platform, &name, zone)).await??;
        self.directory.put(node.entry.clone());
        Ok(node)
    }

    async fn start_engine(&self, slot: usize) -> Result<Upstream> {
        let zone = ENGINE_ZONES[slot];
        let extra = [
            "--service",
            "drafting",
            "--models",
            MODEL,
            "--token-ms",
            TOKEN_MS,
        ];
        self.start_upstream("engine", zone, &extra).await
    }

    async fn start_booking(&self, slot: usize) -> Result<Upstream> {
        let zone = BOOKING_ZONES[slot];
        self.start_upstream("booking", zone, &["--service", "booking"])
            .await
    }

    async fn start_upstream(&self, kind: &str, zone: &str, extra: &[&str]) -> Result<Upstream> {
        let vm = self.new_name(kind, zone);
        let platform = self.platform.to_string();
        let mut args = vec![kind, "--platform", &platform, "--vm", &vm, "--zone", zone];
        args.extend(extra);
        let args: Vec<String> = args.into_iter().map(str::to_owned).collect();
        let process = spawn_blocking(move || start_standin(&args)).await??;
        let address = process.address()?;
        Ok(Upstream {
            vm,
            process,
            address,
        })
    }

    fn new_name(&self, kind: &str, zone: &str) -> String {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        format!("{kind}-{zone}-{number}")
    }
}

fn start_standin<S: AsRef<str>>(args: &[S]) -> Result<Process> {
    Process::start(workspace_program("verbenahead-standins")?, args)
}

fn tail(log: &str) -> String {
    let lines: Vec<_> = log.lines().collect();
    lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
