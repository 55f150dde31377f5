//! Explanations of requests from the logs of nodes.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

use rstest::rstest;
use verbenahead::explain::{LogLine, RequestExplanation, read_log};

const NODE_1: &str = r#"{"timestamp":"2026-07-05T01:00:00.000000Z","level":"INFO","message":"node started","node":"n1"}
{"timestamp":"2026-07-05T01:00:01.000000Z","level":"WARN","message":"dependency lost","dependency":"store","table":"replicas"}
{"timestamp":"2026-07-05T01:00:02.000000Z","level":"INFO","message":"request sent","request":"r1","attempt":1,"upstream":"i-1"}
not a line of the log
{"timestamp":"2026-07-05T01:00:04.000000Z","level":"INFO","message":"attempt without an answer","request":"r1","upstream":"i-1","outcome":"unknown: reset"}
{"timestamp":"2026-07-05T01:00:04.100000Z","level":"INFO","message":"request ended","request":"r1","result":"own_answer","status":"502"}
{"timestamp":"2026-07-05T01:00:05.000000Z","level":"INFO","message":"replica removed","upstream":"i-1","reason":"registration gone"}
"#;

const NODE_2: &str = r#"{"timestamp":"2026-07-05T01:00:00.500000Z","level":"INFO","message":"node started","node":"n2"}
{"timestamp":"2026-07-05T01:00:01.500000Z","level":"INFO","message":"request refused","request":"r1","outcome":"quota_used_up"}
{"timestamp":"2026-07-05T01:00:03.000000Z","level":"INFO","message":"replica removed","upstream":"i-1","reason":"registration gone"}
"#;

fn read_logs(logs: &[(&str, &str)]) -> Vec<LogLine> {
    let read =
        |(name, log): &(&str, &str)| read_log(name, log.as_bytes()).expect("the log can be read");
    logs.iter().flat_map(read).collect()
}

fn log_of_ended_request(result: &str, decisive_message: &str) -> String {
    let line = |second: u32, rest: &str| {
        format!(r#"{{"timestamp":"2026-07-05T01:00:0{second}Z","request":"r1",{rest}}}"#) + "\n"
    };
    line(1, &format!(r#""message":"{decisive_message}""#))
        + &line(
            2,
            &format!(r#""message":"request ended","result":"{result}""#),
        )
}

#[test]
fn lines_of_all_nodes_are_ordered_by_time_with_their_context() {
    let log = read_logs(&[("a.log", NODE_1), ("b.log", NODE_2)]);

    let explanation = RequestExplanation::from_log("r1", &log);

    assert_eq!(
        messages(&explanation.lines),
        [
            ("n2", "request refused"),
            ("n1", "request sent"),
            ("n1", "attempt without an answer"),
            ("n1", "request ended"),
        ]
    );
    assert_eq!(
        messages(&explanation.context),
        [("n1", "dependency lost"), ("n2", "replica removed")]
    );
}

fn messages(lines: &[LogLine]) -> Vec<(&str, &str)> {
    let shown = lines.iter();
    shown
        .map(|line| (line.node.as_str(), line.message.as_str()))
        .collect()
}

#[rstest]
#[case::refused("own_answer", "request refused")]
#[case::quota("own_answer", "quota used up")]
#[case::retry_budget_used_up("own_answer", "repeat budget used up")]
#[case::stream_interrupted("cut_off", "stream interrupted")]
#[case::no_answer("own_answer", "attempt without an answer")]
#[case::failed("replica_failed", "replica failed the request")]
fn the_reason_for_a_failed_request_is_decisive(#[case] result: &str, #[case] message: &str) {
    let log = read_logs(&[("a.log", &log_of_ended_request(result, message))]);

    let explanation = RequestExplanation::from_log("r1", &log);

    assert_eq!(explanation.decisive_line, Some(0));
}

#[test]
fn the_end_of_an_answered_request_is_decisive() {
    let log = read_logs(&[(
        "a.log",
        &log_of_ended_request("answered", "attempt without an answer"),
    )]);

    let explanation = RequestExplanation::from_log("r1", &log);

    assert_eq!(explanation.decisive_line, Some(1));
}

#[rstest]
#[case::empty_log("", 0)]
#[case::truncated_line("{\"timestamp\":\"t\",\"message\":\"request se", 0)]
#[case::not_an_object("[1,2]", 0)]
#[case::no_message("{\"timestamp\":\"t\"}", 0)]
#[case::message_not_a_string("{\"timestamp\":\"t\",\"message\":7}", 0)]
#[case::not_utf8("\u{fffd} n3 {\"timestamp\":\"t\",\"message\":\"m\"}", 1)]
fn lines_that_are_not_log_lines_are_skipped(#[case] log: &str, #[case] count: usize) {
    assert_eq!(read_logs(&[("a.log", log)]).len(), count);
}

#[test]
fn a_prefix_names_the_node_of_a_line() {
    let log = r#"   12.5000 front-1 {"timestamp":"t","message":"m","node":"other"}"#;

    assert_eq!(read_logs(&[("a.log", log)])[0].node, "front-1");
}

fn run_command(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_verbenahead"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program can be started");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin
        .write_all(input.as_bytes())
        .expect("standard input can be written");
    drop(stdin);
    child
        .wait_with_output()
        .expect("the output can be collected")
}

#[test]
fn the_command_marks_the_decisive_line() {
    let output = run_command(&["explain", "r1", "-"], NODE_1);

    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    assert_eq!(output.status.code(), Some(0));
    assert!(
        text.contains("> 2026-07-05T01:00:04.000000Z n1: attempt without an answer"),
        "{text}"
    );
    assert!(
        text.contains("decided by: 2026-07-05T01:00:04.000000Z"),
        "{text}"
    );
}

#[test]
fn a_request_without_log_lines_is_a_finding() {
    let output = run_command(&["explain", "r9", "-"], NODE_1);

    let text = String::from_utf8(output.stderr).expect("the output is UTF-8");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(text, "no line of - is about request `r9`\n");
}

#[test]
fn a_missing_log_is_named_in_the_error() {
    let output = run_command(&["explain", "r1", "missing.log"], "");

    let text = String::from_utf8(output.stderr).expect("the output is UTF-8");
    assert_ne!(output.status.code(), Some(0));
    assert!(text.contains("cannot open the log missing.log"), "{text}");
}
