//! Nodes of the project, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::http::call;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// `Node` is a running node. Dropping it ends its process.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    process: Child,
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Node {
    /// Starts a node that reaches the store at `store` and the calls for duties at `duties`.
    pub fn start(
        dir: &Path,
        name: &str,
        store: SocketAddr,
        duties: SocketAddr,
    ) -> io::Result<Self> {
        let (callers, readiness) = (free_address()?, free_address()?);
        let (peers, metrics) = (free_address()?, free_address()?);
        // The template of the deploy file with the figures of the site crwc-permits.
        let settings = format!(
            r#"{{"mode":"relay","node":"{name}","availability_zone":"pnw-a",
"listeners":{{"callers":"{callers}","readiness":"{readiness}","peers":"{peers}","metrics":"{metrics}"}},
"platform":{{"kind":"users","store":"{store}","duties":"{duties}","writes_per_second":400,"reads_per_second":2000}},
"promises":{{"apply_ms":2000,"drain_ms":2000,"calm_ms":3000,"grace_s":8,"lease_ms":3000,"pass_ms":120}},
"retries":{{"ratio":0.2,"window_s":10,"extra":122}},
"quotas":{{"window_s":8,"overage":0.1,"slack":140000}},
"usage":{{"window_s":5,"late_s":10}},
"limits":{{"memory_mib":182,"descriptors":2870}},"log":"info"}}"#
        );
        let file = dir.join(format!("{name}.jsonc"));
        fs::write(&file, settings)?;
        Ok(Self {
            name: name.to_owned(),
            callers,
            readiness,
            process: spawn(dir, name)?,
        })
    }

    /// Waits until the node says that it is ready. Returns whether it does.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until {
            let head = "GET /readiness HTTP/1.1\r\nHost: node\r\n";
            let answer = call(self.readiness, head, b"", Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            sleep(Duration::from_millis(10));
        }
        false
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // The process was started here and is not waited for yet, so that its id is still its own.
        unsafe { kill(self.process.id() as i32, signal) };
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Starts the process of a node, whose settings are in `dir`.
fn spawn(dir: &Path, name: &str) -> io::Result<Child> {
    let log = File::options()
        .append(true)
        .create(true)
        .open(dir.join(format!("{name}.log")))?;
    Command::new(program()?)
        .args(["node", "--settings"])
        .arg(dir.join(format!("{name}.jsonc")))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn program() -> io::Result<PathBuf> {
    let program = PathBuf::from("target/release/verbenahead");
    match program.exists() {
        true => Ok(program),
        false => Err(io::Error::other("target/release/verbenahead is not built")),
    }
}
