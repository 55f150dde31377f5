//! Child processes of tests.

use std::{
    env,
    io::{BufRead as _, BufReader, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, PoisonError, mpsc},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context as _, Result, bail};
use nix::{
    sys::{
        signal::{Signal, kill},
        wait::{Id, WaitPidFlag, WaitStatus, waitid},
    },
    unistd::Pid,
};
use serde_json::Value;

/// Time limit for a started process to print its ready line.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for all threads of a process to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between checks whether a process has exited.
const EXIT_POLL_PERIOD: Duration = Duration::from_millis(5);

/// `Process` is a child process, signalled by its own id only. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ready: Value,
    log: Arc<Mutex<String>>,
}

impl Process {
    /// Starts `program` with `args` and waits for its first line on standard output, which must be
    /// a JSON object such as `{"listening":"127.0.0.1:4000"}`.
    ///
    /// # Errors
    ///
    /// When the program cannot be started, exits early, or prints no such line within 30 s.
    pub fn start<S: AsRef<str>>(program: impl AsRef<Path>, args: &[S]) -> Result<Self> {
        let mut command = Command::new(program.as_ref());
        command.args(args.iter().map(AsRef::as_ref));
        Self::start_command(command)
    }

    /// Starts a prepared command, such as one with environment variables, as [`Process::start`]
    /// does.
    ///
    /// # Errors
    ///
    /// As [`Process::start`].
    pub fn start_command(command: Command) -> Result<Self> {
        Self::start_with_output(command, |_| {})
    }

    /// Starts a prepared command as [`Process::start`] does. Each line of its standard output is passed
    /// to `on_line`, the first one included.
    ///
    /// # Errors
    ///
    /// As [`Process::start`].
    pub fn start_with_output(
        mut command: Command,
        on_line: impl Fn(&str) + Send + 'static,
    ) -> Result<Self> {
        command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .with_context(|| format!("standins: cannot start {command:?}"))?;
        let log = Arc::default();
        if let Some(stderr) = child.stderr.take() {
            spawn_log_reader(stderr, Arc::clone(&log));
        }
        let first_line = child.stdout.take();
        let first_line = first_line.map(|stdout| spawn_line_reader(stdout, on_line));
        let mut process = Self {
            child,
            ready: Value::Null,
            log,
        };
        process.ready = process.wait_ready(first_line)?;
        Ok(process)
    }

    /// Returns the JSON object of the ready line.
    pub fn ready(&self) -> &Value {
        &self.ready
    }

    /// Returns the address in the field `name` of the ready line.
    ///
    /// # Errors
    ///
    /// When the field is missing or is not a socket address.
    pub fn address_of(&self, name: &str) -> Result<SocketAddr> {
        let text = self.ready.get(name).and_then(Value::as_str);
        let text = text.with_context(|| format!("standins: no field `{name}`"))?;
        Ok(text.parse()?)
    }

    /// Returns the address in the field `listening`.
    ///
    /// # Errors
    ///
    /// As [`Process::address_of`].
    pub fn address(&self) -> Result<SocketAddr> {
        self.address_of("listening")
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has written to standard error so far.
    pub fn log(&self) -> String {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.clone()
    }

    /// Sends a signal to this process unless it has exited.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn signal(&mut self, signal: Signal) -> Result<()> {
        // The id of a process that was waited for may already belong to another process.
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let id = Pid::from_raw(i32::try_from(self.child.id())?);
        Ok(kill(id, signal)?)
    }

    /// Sends SIGTERM, the request for a graceful shutdown.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Sends SIGSTOP and waits until all threads of the process have stopped.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent, or when the process does not stop.
    pub fn freeze(&mut self) -> Result<()> {
        self.signal(Signal::SIGSTOP)?;
        self.wait_until_stopped()
    }

    /// Waits until all threads of the process have stopped. The signal alone returns while some of
    /// them still run.
    fn wait_until_stopped(&mut self) -> Result<()> {
        let id = Pid::from_raw(i32::try_from(self.child.id())?);
        let flags = WaitPidFlag::WSTOPPED | WaitPidFlag::WNOHANG;
        let deadline = Instant::now() + STOP_TIMEOUT;
        while self.child.try_wait()?.is_none() {
            if waitid(Id::Pid(id), flags)? != WaitStatus::StillAlive {
                return Ok(());
            }
            if Instant::now() >= deadline {
                bail!("standins: process {id} does not stop");
            }
            thread::sleep(EXIT_POLL_PERIOD);
        }
        Ok(())
    }

    /// Sends SIGCONT, which continues a frozen process.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn unfreeze(&mut self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// When the process cannot be killed or waited for.
    pub fn kill(&mut self) -> Result<ExitStatus> {
        self.child.kill()?;
        Ok(self.child.wait()?)
    }

    /// Waits until the process exits. Returns `None` when it still runs after `limit`.
    ///
    /// # Errors
    ///
    /// When the process cannot be waited for.
    pub fn wait(&mut self, limit: Duration) -> Result<Option<ExitStatus>> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            thread::sleep(EXIT_POLL_PERIOD);
        }
    }

    fn wait_ready(&mut self, first_line: Option<mpsc::Receiver<String>>) -> Result<Value> {
        let first_line = first_line.context("standins: no standard output")?;
        let Ok(line) = first_line.recv_timeout(START_TIMEOUT) else {
            let log = self.log();
            bail!("standins: the process is not ready; its log: {log}");
        };
        serde_json::from_str(&line)
            .with_context(|| format!("standins: cannot read `{line}`; the log: {}", self.log()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// Returns the path of the program `name` of this workspace in the target directory that the
/// current test runs from.
///
/// # Errors
///
/// When the program has not been built.
pub fn workspace_program(name: &str) -> Result<PathBuf> {
    let test = env::current_exe()?;
    let found = test
        .ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join(name))
        .find(|path| path.is_file());
    found.with_context(|| format!("standins: {name} is not built; run `cargo build --bins`"))
}

fn spawn_line_reader(
    stdout: impl Read + Send + 'static,
    on_line: impl Fn(&str) + Send + 'static,
) -> mpsc::Receiver<String> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        // Reads on after the first line, so that the process never blocks on a full pipe.
        for line in BufReader::new(stdout)
            .lines()
            .map_while(std::result::Result::ok)
        {
            on_line(&line);
            // Only the first line is received.
            let _ = tx.send(line);
        }
    });
    rx
}

fn spawn_log_reader(stderr: impl Read + Send + 'static, log: Arc<Mutex<String>>) {
    thread::spawn(move || {
        for line in BufReader::new(stderr)
            .lines()
            .map_while(std::result::Result::ok)
        {
            let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
            log.push_str(&line);
            log.push('\n');
        }
    });
}
