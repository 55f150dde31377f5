//! Non-blocking writer of log lines.

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

/// Capacity of the queue of lines. At about 300 bytes per line, a full queue takes 600 KiB.
const MAX_QUEUED_LINES: usize = 2048;

/// `LineWriter` sends lines to a thread that writes them. When the reader of the output does not
/// keep up, lines are dropped and counted, and the count is logged once the queue has space again.
/// Clones share the thread.
#[derive(Debug, Clone)]
pub struct LineWriter {
    tx: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

/// `Message` is a message to the writer thread.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// Signals the sender when all earlier lines are written.
    Flush(SyncSender<()>),
}

impl LineWriter {
    /// Starts the writer thread, which ends when all writers are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread cannot be started.
    pub fn spawn(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&rx, &counter, out))?;
        Ok(Self { tx, dropped })
    }

    /// Returns the number of lines that were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes a line that is not a `tracing` event.
    pub fn write_line(&self, line: fmt::Arguments<'_>) {
        self.send(format!("{line}\n").into_bytes());
    }

    /// Waits up to `timeout` until all earlier lines are written, and returns whether they are.
    ///
    /// With a reader that does not keep up, the last lines are lost, but the process still exits.
    pub fn flush(&self, timeout: Duration) -> bool {
        let (tx, rx) = sync_channel(1);
        let is_queued = self.tx.try_send(Message::Flush(tx)).is_ok();
        is_queued && rx.recv_timeout(timeout).is_ok()
    }

    fn send(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Message::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Stack size of the writer thread, which only copies bytes.
const STACK_BYTES: usize = 64 * 1024;

fn write_lines(rx: &Receiver<Message>, dropped: &AtomicU64, mut out: impl Write) {
    let mut reported = 0;
    while let Ok(message) = rx.recv() {
        let line = match message {
            Message::Line(line) => line,
            Message::Flush(done) => {
                // The sender may have timed out.
                let _ = done.try_send(());
                continue;
            }
        };
        let dropped = dropped.load(Ordering::Relaxed);
        let unreported = dropped - reported;
        reported = dropped;
        if unreported > 0 {
            let notice = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{unreported}}}\n"
            );
            if out.write_all(notice.as_bytes()).is_err() {
                return;
            }
        }
        // A failed write means that the output is closed, so the error cannot be reported.
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// `Line` buffers one line and sends it to the writer thread when dropped.
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
            bytes: Vec::with_capacity(LINE_CAPACITY_BYTES),
        }
    }
}

/// Initial capacity of the buffer of a line, in bytes.
const LINE_CAPACITY_BYTES: usize = 384;
