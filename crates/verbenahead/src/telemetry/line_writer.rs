//! A writer of log lines that never waits.

use std::{
    fmt,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Duration,
};

use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait to be written. At some 300 bytes each they take about 600 KiB at most.
const MAX_WAITING_LINES: usize = 2048;

/// `LineWriter` hands lines to a thread that writes them. When the reader of the output does not
/// keep up, lines are dropped and counted, and the count is written once there is room again.
#[derive(Debug, Clone)]
pub struct LineWriter {
    tx: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

/// `Message` is what the writing thread is told.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// Says so when all lines before it are written.
    Flush(SyncSender<()>),
}

impl LineWriter {
    /// Starts the thread. It ends when all writers are dropped.
    ///
    /// # Errors
    ///
    /// When the thread cannot be started.
    pub fn spawn(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&rx, &counter, out))?;
        Ok(Self { tx, dropped })
    }

    /// Returns how many lines were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes a line that did not come through the log.
    pub fn note(&self, line: fmt::Arguments<'_>) {
        self.send(format!("{line}\n").into_bytes());
    }

    /// Waits at most `limit` until all lines so far are written. Returns whether they are. A reader
    /// that does not keep up costs the last lines, not the end of the process.
    pub fn flush(&self, limit: Duration) -> bool {
        let (tx, rx) = sync_channel(1);
        let is_asked = self.tx.try_send(Message::Flush(tx)).is_ok();
        is_asked && rx.recv_timeout(limit).is_ok()
    }

    fn send(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Message::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Stack of the thread, which only moves bytes.
const STACK_BYTES: usize = 64 * 1024;

fn write_lines(rx: &Receiver<Message>, dropped: &AtomicU64, mut out: impl Write) {
    let mut noted = 0;
    while let Ok(message) = rx.recv() {
        let line = match message {
            Message::Line(line) => line,
            Message::Flush(done) => {
                // Whoever asked may have stopped waiting.
                let _ = done.try_send(());
                continue;
            }
        };
        let dropped = dropped.load(Ordering::Relaxed);
        let lost = dropped - noted;
        noted = dropped;
        if lost > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{lost}}}\n"
            );
            if out.write_all(note.as_bytes()).is_err() {
                return;
            }
        }
        // Without a reader there is nobody left to tell.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// `Line` collects the bytes of one line.
#[derive(Debug)]
pub struct Line<'a> {
    writer: &'a LineWriter,
    bytes: Vec<u8>,
}

impl Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        if bytes.is_empty() {
            return;
        }
        self.writer.send(bytes);
    }
}

impl<'a> MakeWriter<'a> for LineWriter {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line {
            writer: self,
            bytes: Vec::with_capacity(LINE_BYTES),
        }
    }
}

/// Usual size of a line.
const LINE_BYTES: usize = 384;
