//! Tests of reading documents and of the findings with their places.

use std::time::Duration;

use rstest::rstest;
use verbenahead_core::{
    AvailabilityZone,
    document::{self, Node},
    findings::Findings,
};

#[derive(Debug, PartialEq)]
struct Example {
    name: String,
    zones: Vec<AvailabilityZone>,
    timeout: Duration,
    ratio: f64,
}

fn read_example(node: &Node<'_>) -> Option<Example> {
    let object = node.object(&["name", "zones", "timeout_ms", "ratio"])?;
    let name = object.required("name").and_then(|node| node.text());
    let zones = object.required("zones").and_then(|node| {
        let zones = node.list(Node::parse)?.not_empty("zone");
        Some(zones.unique("zone", Clone::clone).into_values())
    });
    let timeout = object.read_or("timeout_ms", Duration::from_secs(1), |node| {
        node.millis(1..=5_000)
    });
    let ratio = object.read_or("ratio", 0.5, |node| node.decimal(0.0..=1.0));
    Some(Example {
        name: name?,
        zones: zones?,
        timeout: timeout?,
        ratio: ratio?,
    })
}

fn read(text: &str) -> Result<Example, Findings> {
    document::read("example.jsonc", text, read_example)
}

fn lines(findings: &Findings) -> Vec<String> {
    findings.iter().map(ToString::to_string).collect()
}

#[test]
fn a_document_with_comments_is_read() {
    let text = "// A comment.\n{\"name\": \"x\", /* zones */ \"zones\": [\"a\", \"b\",],}";

    let example = read(text).unwrap();

    assert_eq!(example.name, "x");
    assert_eq!(example.zones.len(), 2);
    assert_eq!(example.timeout, Duration::from_secs(1));
}

#[test]
fn all_findings_are_reported_together() {
    let text = "{\n  \"nmae\": \"x\",\n  \"zones\": [\"a\", 3, \"a b\"],\n  \"timeout_ms\": 9000,\n  \"ratio\": \"half\"\n}";

    let findings = read(text).unwrap_err();

    assert_eq!(
        lines(&findings),
        [
            "example.jsonc:2:3: nmae: unknown key `nmae` (did you mean `name`?)",
            "example.jsonc:1:1: the key `name` is missing",
            "example.jsonc:3:18: zones[1]: expected a string, found a number",
            "example.jsonc:3:21: zones[2]: core: invalid availability zone `a b`: only ASCII \
             letters, digits, `-`, `_` and `.` are allowed",
            "example.jsonc:4:17: timeout_ms: 9000 is out of range; it must be between 1 and 5000",
            "example.jsonc:5:12: ratio: expected a number, found a string",
        ]
    );
}

#[test]
fn columns_count_characters() {
    let text = "{\"name\": \"día\", \"zones\": [], \"x\": 1}";

    let findings = read(text).unwrap_err();

    assert_eq!(
        lines(&findings),
        [
            "example.jsonc:1:30: x: unknown key `x`",
            "example.jsonc:1:26: zones: at least one zone is needed",
        ]
    );
}

#[rstest]
#[case::repeated_key(
    "{\"name\": \"x\", \"zones\": [\"a\"], \"name\": \"y\"}",
    "the key `name` is repeated"
)]
#[case::repeated_element(
    "{\"name\": \"x\", \"zones\": [\"a\", \"a\"]}",
    "the zone `a` is repeated"
)]
#[case::negative(
    "{\"name\": \"x\", \"zones\": [\"a\"], \"timeout_ms\": -1}",
    "-1 is out of range"
)]
#[case::fraction(
    "{\"name\": \"x\", \"zones\": [\"a\"], \"timeout_ms\": 1.5}",
    "expected a whole number"
)]
#[case::huge(
    "{\"name\": \"x\", \"zones\": [\"a\"], \"timeout_ms\": 99999999999999999999999}",
    "out of range"
)]
#[case::null("{\"name\": null, \"zones\": [\"a\"]}", "the key `name` is missing")]
#[case::blank("{\"name\": \" \", \"zones\": [\"a\"]}", "the text is empty")]
#[case::control(
    "{\"name\": \"a\\rb\", \"zones\": [\"a\"]}",
    "the text has control characters"
)]
#[case::wrong_root("[]", "expected an object, found an array")]
#[case::empty("  // nothing\n", "the document is empty")]
#[case::cut_off("{\"name\": \"x\", ", "syntax error")]
#[case::two_values("{} {}", "syntax error")]
#[case::single_quotes("{'name': 'x'}", "syntax error")]
fn a_problem_is_reported(#[case] text: &str, #[case] expected: &str) {
    let findings = read(text).unwrap_err();

    let found = lines(&findings);
    assert!(
        found.iter().any(|line| line.contains(expected)),
        "{found:?}"
    );
}

#[test]
fn deep_nesting_is_rejected() {
    let text = "[".repeat(100_000);

    let findings = read(&text).unwrap_err();

    assert!(lines(&findings)[0].contains("syntax error"));
}
