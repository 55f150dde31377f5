//! Accounts of requests from the logs of nodes.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

use rstest::rstest;
use verbenahead::explain::{LogLine, RequestAccount, read_log};

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

fn lines_of(logs: &[(&str, &str)]) -> Vec<LogLine> {
    let read = |(name, log): &(&str, &str)| read_log(name, log.as_bytes()).expect("read");
    logs.iter().flat_map(read).collect()
}

fn ended(result: &str, decided: &str) -> String {
    let line = |second: u32, rest: &str| {
        format!(r#"{{"timestamp":"2026-07-05T01:00:0{second}Z","request":"r1",{rest}}}"#) + "\n"
    };
    line(1, &format!(r#""message":"{decided}""#))
        + &line(
            2,
            &format!(r#""message":"request ended","result":"{result}""#),
        )
}

#[test]
fn the_lines_of_all_nodes_are_in_order_with_what_the_nodes_knew() {
    let log = lines_of(&[("a.log", NODE_1), ("b.log", NODE_2)]);

    let account = RequestAccount::of("r1", &log);

    assert_eq!(
        messages(&account.lines),
        [
            ("n2", "request refused"),
            ("n1", "request sent"),
            ("n1", "attempt without an answer"),
            ("n1", "request ended"),
        ]
    );
    assert_eq!(
        messages(&account.beliefs),
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
#[case::no_repeat_left("own_answer", "repeat budget used up")]
#[case::replica_lost("cut_off", "stream interrupted")]
#[case::no_answer("own_answer", "attempt without an answer")]
#[case::failed("replica_failed", "replica failed the request")]
fn what_kept_a_request_from_its_answer_decides(#[case] result: &str, #[case] decided: &str) {
    let log = lines_of(&[("a.log", &ended(result, decided))]);

    let account = RequestAccount::of("r1", &log);

    assert_eq!(account.deciding, Some(0));
}

#[test]
fn a_request_that_was_answered_after_all_is_decided_by_its_end() {
    let log = lines_of(&[("a.log", &ended("answered", "attempt without an answer"))]);

    let account = RequestAccount::of("r1", &log);

    assert_eq!(account.deciding, Some(1));
}

#[rstest]
#[case::nothing("", 0)]
#[case::cut("{\"timestamp\":\"t\",\"message\":\"request se", 0)]
#[case::not_an_object("[1,2]", 0)]
#[case::no_message("{\"timestamp\":\"t\"}", 0)]
#[case::no_text("{\"timestamp\":\"t\",\"message\":7}", 0)]
#[case::not_utf8("\u{fffd} n3 {\"timestamp\":\"t\",\"message\":\"m\"}", 1)]
fn lines_that_are_no_log_lines_are_passed_over(#[case] log: &str, #[case] count: usize) {
    assert_eq!(lines_of(&[("a.log", log)]).len(), count);
}

#[test]
fn text_before_a_line_names_its_node() {
    let log = r#"   12.5000 front-1 {"timestamp":"t","message":"m","node":"other"}"#;

    assert_eq!(lines_of(&[("a.log", log)])[0].node, "front-1");
}

fn explain(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_verbenahead"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut stdin = child.stdin.take().expect("its input is piped");
    stdin.write_all(input.as_bytes()).expect("written");
    drop(stdin);
    child.wait_with_output().expect("it ends")
}

#[test]
fn the_command_marks_the_deciding_line() {
    let output = explain(&["explain", "r1", "-"], NODE_1);

    let text = String::from_utf8(output.stdout).expect("text");
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
fn a_request_that_no_line_is_about_is_a_finding() {
    let output = explain(&["explain", "r9", "-"], NODE_1);

    let text = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(text, "no line of - is about request `r9`\n");
}

#[test]
fn a_log_that_is_not_there_is_named() {
    let output = explain(&["explain", "r1", "missing.log"], "");

    let text = String::from_utf8(output.stderr).expect("text");
    assert_ne!(output.status.code(), Some(0));
    assert!(text.contains("cannot open the log missing.log"), "{text}");
}
