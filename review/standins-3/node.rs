//! Nodes as processes, started with the command of the deploy file, and what a case writes down.

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, json::Json};

pub const HOST: &str = "desk.example";
pub const KEY: &str = "paving-key";

/// `Record` is the file in which a case writes what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            began: Instant::now(),
        })
    }

    pub fn write(&self, line: &str) {
        self.write_at(Instant::now(), line);
    }

    pub fn write_at(&self, at: Instant, line: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = writeln!(file, "{seconds:9.3} s  {line}") {
            eprintln!("record not written: {error}");
        }
    }
}

/// `NodeSettings` are what the settings of the nodes of a case differ in.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    pub name: String,
    pub zone: String,
    pub store: SocketAddr,
    pub memory_mib: u32,
}

/// `Node` is a node of the deployment, with a process or without.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    program: PathBuf,
    root: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// First of the ports that nodes get, and their number. They lie below those that the kernel gives to clients, so that
/// a node finds its ports free when it is started again.
const FIRST_PORT: u16 = 16_000;
const PORTS: u16 = 14_000;

/// Returns a port that is free for TCP and UDP, and was not returned before.
fn free_port() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    for _ in 0..PORTS {
        let offset = std::process::id() as u16 % PORTS;
        let number = (offset + NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + number));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port"))
}

impl Node {
    /// Writes the settings of a node, as the template of the deploy file makes them for a small deployment.
    pub fn new(root: &Path, folder: &Path, settings: &NodeSettings) -> io::Result<Self> {
        let (callers, readiness) = (free_port()?, free_port()?);
        let (peers, metrics) = (free_port()?, free_port()?);
        let address = |address: SocketAddr| Json::text(address.to_string());
        let text = Json::object([
            ("mode", Json::text("relay")),
            ("node", Json::text(&settings.name)),
            ("availability_zone", Json::text(&settings.zone)),
            (
                "listeners",
                Json::object([
                    ("callers", address(callers)),
                    ("readiness", address(readiness)),
                    ("peers", address(peers)),
                    ("metrics", address(metrics)),
                ]),
            ),
            (
                "platform",
                Json::object([
                    ("kind", Json::text("users")),
                    ("store", address(settings.store)),
                    ("duties", address(settings.store)),
                    ("writes_per_second", Json::number(400)),
                    ("reads_per_second", Json::number(2000)),
                ]),
            ),
            (
                "promises",
                Json::object([
                    ("apply_ms", Json::number(2000)),
                    ("drain_ms", Json::number(2000)),
                    ("calm_ms", Json::number(3000)),
                    ("grace_s", Json::number(8)),
                    ("lease_ms", Json::number(3000)),
                    ("pass_ms", Json::number(120)),
                ]),
            ),
            (
                "retries",
                Json::object([
                    ("ratio", Json::number(0.2)),
                    ("window_s", Json::number(10)),
                    ("extra", Json::number(122)),
                ]),
            ),
            (
                "quotas",
                Json::object([
                    ("window_s", Json::number(8)),
                    ("overage", Json::number(0.1)),
                    ("slack", Json::number(140_000)),
                ]),
            ),
            (
                "usage",
                Json::object([("window_s", Json::number(5)), ("late_s", Json::number(10))]),
            ),
            (
                "limits",
                Json::object([
                    ("memory_mib", Json::number(settings.memory_mib)),
                    ("descriptors", Json::number(2870)),
                ]),
            ),
            ("log", Json::text("info")),
        ]);
        let path = folder.join(format!("{}.conf", settings.name));
        fs::write(&path, text.to_string())?;
        Ok(Self {
            name: settings.name.clone(),
            callers,
            readiness,
            program: root.join("target/release/verbenahead"),
            root: root.to_owned(),
            settings: path,
            child: None,
        })
    }

    /// Starts the process. Its log is read and dropped.
    pub fn start(&mut self) -> io::Result<()> {
        let mut child = Command::new(&self.program)
            .arg("node")
            .arg("--settings")
            .arg(&self.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        if let Some(out) = child.stdout.take() {
            thread::spawn(move || BufReader::new(out).lines().for_each(drop));
        }
        self.child = Some(child);
        Ok(())
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only when the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the readiness check passes. Returns whether it does within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let request = b"GET /readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
            let answer = http::call(self.readiness, request, Duration::from_secs(1));
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Returns a route of the configuration.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u32) -> Json {
    Json::object([
        ("name", Json::text(name)),
        ("host", Json::text(HOST)),
        ("prefix", Json::text(format!("/{name}/"))),
        ("kind", Json::text(kind)),
        ("timeout_ms", Json::number(timeout_ms)),
        ("target_latency_ms", Json::number(300)),
        ("priority", Json::number(1)),
        ("service", Json::text(service)),
        ("max_attempts", Json::number(1)),
        ("anonymous", Json::Bool(false)),
        ("session_affinity", Json::Bool(false)),
        ("resumable", Json::Bool(false)),
    ])
}

/// Returns the configuration with these routes.
pub fn configuration(routes: Vec<Json>, services: &[&str]) -> Json {
    let service = |name: &&str| {
        Json::object([
            ("name", Json::text(*name)),
            ("health_path", Json::text("/health")),
            ("max_connections", Json::number(232)),
        ])
    };
    let tenant = Json::object([
        ("name", Json::text("paving")),
        ("api_keys", Json::List(vec![Json::text(KEY)])),
    ]);
    Json::object([
        ("version", Json::number(1)),
        ("routes", Json::List(routes)),
        ("services", Json::List(services.iter().map(service).collect())),
        (
            "limits",
            Json::object([
                ("max_header_bytes", Json::number(16_384)),
                ("max_body_bytes", Json::number(4_194_304)),
                ("header_timeout_ms", Json::number(3_000)),
                ("idle_timeout_ms", Json::number(15_000)),
            ]),
        ),
        ("tenants", Json::List(vec![tenant])),
    ])
}

/// Returns the registration of a ready replica.
pub fn registration(service: &str, zone: &str, address: SocketAddr, sequence: u32) -> Json {
    Json::object([
        ("service", Json::text(service)),
        ("address", Json::text(address.to_string())),
        ("zone", Json::text(zone)),
        ("version", Json::text("v1")),
        ("slots", Json::number(64)),
        ("state", Json::text("ready")),
        ("cold_remaining_ms", Json::number(0)),
        ("sequence", Json::number(sequence)),
        ("born", Json::number(1_772_997_287_021.0)),
    ])
}

/// Returns the bytes of a client's request without a body.
pub fn request(path: &str, id: &str, deadline_ms: u32) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {KEY}\r\n\r\n"
    )
    .into_bytes()
}

/// Returns the folder of the repository and the folder of the case, which the script passes.
pub fn folders() -> Option<(PathBuf, PathBuf)> {
    let mut arguments = std::env::args().skip(1);
    Some((arguments.next()?.into(), arguments.next()?.into()))
}

/// Returns whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|trouble| trouble == "0")
}

/// Returns a new folder for the settings of a run.
pub fn temporary_folder(name: &str) -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
