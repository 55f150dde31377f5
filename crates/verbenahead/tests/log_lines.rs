//! Tests of the log line writer and of the rate limit per callsite.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use tracing_subscriber::{
    Layer, filter::FilterExt, fmt::MakeWriter, layer::SubscriberExt, registry,
};
use verbenahead::telemetry::{
    line_writer::LineWriter,
    rate_limit::{RateLimitFilter, RateLimitOptions},
};

/// `Pipe` is an output whose reader can be blocked.
#[derive(Clone, Default)]
struct Pipe {
    state: Arc<(Mutex<PipeState>, Condvar)>,
}

#[derive(Default)]
struct PipeState {
    is_blocked: bool,
    text: String,
}

impl Pipe {
    fn set_blocked(&self, is_blocked: bool) {
        self.state.0.lock().expect("not poisoned").is_blocked = is_blocked;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        self.state.0.lock().expect("not poisoned").text.clone()
    }

    fn wait_for(&self, part: &str) {
        let until = Instant::now() + Duration::from_secs(10);
        while !self.text().contains(part) {
            assert!(
                Instant::now() < until,
                "{part} is missing in {}",
                self.text()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.0.lock().expect("not poisoned");
        let is_blocked = |state: &mut PipeState| state.is_blocked;
        let mut state = self
            .state
            .1
            .wait_while(state, is_blocked)
            .expect("not poisoned");
        state
            .text
            .push_str(std::str::from_utf8(bytes).expect("text"));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_line(writer: &LineWriter, line: &str) {
    writer
        .make_writer()
        .write_all(line.as_bytes())
        .expect("the writer accepts the line");
}

#[test]
fn lines_are_written_in_order() {
    let pipe = Pipe::default();
    let writer = LineWriter::spawn(pipe.clone()).expect("a thread");

    for n in 0..100 {
        write_line(&writer, &format!("line {n}\n"));
    }

    pipe.wait_for("line 99\n");
    let expected: String = (0..100).map(|n| format!("line {n}\n")).collect();
    assert_eq!(pipe.text(), expected);
}

#[test]
fn flush_waits_for_the_last_line() {
    let pipe = Pipe::default();
    let writer = LineWriter::spawn(pipe.clone()).expect("a thread");
    (0..1_000).for_each(|n| write_line(&writer, &format!("line {n}\n")));

    let is_written = writer.flush(Duration::from_secs(10));

    assert!(is_written);
    assert!(pipe.text().ends_with("line 999\n"));
}

#[test]
fn flush_times_out_when_the_reader_is_blocked() {
    let pipe = Pipe::default();
    pipe.set_blocked(true);
    let writer = LineWriter::spawn(pipe.clone()).expect("a thread");
    write_line(&writer, "line\n");

    let is_written = writer.flush(Duration::from_millis(20));

    assert!(!is_written);
    pipe.set_blocked(false);
}

#[test]
fn blocked_reader_does_not_block_logging_and_dropped_lines_are_reported() {
    let pipe = Pipe::default();
    pipe.set_blocked(true);
    let writer = LineWriter::spawn(pipe.clone()).expect("a thread");
    let started = Instant::now();

    for n in 0..5_000 {
        write_line(&writer, &format!("line {n}\n"));
    }
    let elapsed = started.elapsed();
    let dropped = writer.dropped();
    pipe.set_blocked(false);
    pipe.wait_for("line 2000\n");
    write_line(&writer, "after\n");

    pipe.wait_for("after\n");
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    assert!(dropped >= 2_900, "{dropped}");
    assert!(pipe.text().contains(r#""message":"log lines dropped""#));
}

#[test]
fn flood_from_one_callsite_does_not_suppress_others() {
    let pipe = Pipe::default();
    let writer = LineWriter::spawn(pipe.clone()).expect("a thread");
    let options = RateLimitOptions {
        rate: 10.0,
        burst: 20.0,
        notice_interval: Duration::ZERO,
    };
    let rate_limit = RateLimitFilter::new(options, writer.clone());
    let lines = tracing_subscriber::fmt::layer().json().with_writer(writer);
    let all = tracing_subscriber::filter::LevelFilter::INFO;
    let subscriber = registry().with(lines.with_filter(all.and(rate_limit)));

    tracing::subscriber::with_default(subscriber, || {
        for n in 0..500 {
            tracing::info!(n, "flood");
        }
        tracing::info!("rare");
    });

    pipe.wait_for("rare");
    let text = pipe.text();
    let flood = text
        .lines()
        .filter(|line| line.contains("\"flood\""))
        .count();
    assert!((20..60).contains(&flood), "{flood}");
    assert!(text.contains(r#""message":"log lines left out""#), "{text}");
}
