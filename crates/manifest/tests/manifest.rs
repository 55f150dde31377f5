//! Tests of the validation, serialization and comparison of manifests.

use std::time::Duration;

use rstest::rstest;
use verbenahead_core::findings::Findings;
use verbenahead_manifest::{Manifest, ManifestWire, diff, parse};

const QUICKSTART: &str = include_str!("../../../examples/manifest.jsonc");
const CASCADE: &str = include_str!("../../../examples/cascade/manifest.jsonc");
const QUESADA: &str = include_str!("../../../examples/quesada/manifest.jsonc");

fn quickstart() -> Manifest {
    parse("manifest.jsonc", QUICKSTART).unwrap()
}

fn findings_of(from: &str, to: &str) -> Findings {
    assert!(QUICKSTART.contains(from), "the example lacks {from}");
    parse("m", &QUICKSTART.replacen(from, to, 1)).unwrap_err()
}

fn lines(findings: &Findings) -> Vec<String> {
    findings.iter().map(ToString::to_string).collect()
}

#[rstest]
#[case::quickstart(QUICKSTART)]
#[case::cascade(CASCADE)]
#[case::quesada(QUESADA)]
fn an_example_round_trips_through_its_wire_form(#[case] text: &str) {
    let manifest = parse("manifest.jsonc", text).unwrap();

    let wire = ManifestWire::from(&manifest);
    let read = Manifest::try_from(wire);

    assert_eq!(read, Ok(manifest));
}

#[rstest]
#[case::unknown_key(
    "\"deployment\"",
    "\"deploymnet\"",
    "deploymnet: unknown key `deploymnet` (did you mean `deployment`?)"
)]
#[case::no_zone("[\"a\", \"b\", \"c\"]", "[]", "at least one availability zone")]
#[case::same_zone(
    "[\"a\", \"b\", \"c\"]",
    "[\"a\", \"a\"]",
    "the availability zone `a` is repeated"
)]
#[case::same_workspace(
    "\"barbers\"",
    "\"crew\"",
    "workspaces[1]: the workspace id `crew` is repeated"
)]
#[case::same_service(
    "\"id\": \"booking\"",
    "\"id\": \"drafting\"",
    "services[1]: the service id `drafting` is repeated"
)]
#[case::zero_share(
    "\"share\": 2",
    "\"share\": 0",
    "workspaces[0].share: 0 is out of range"
)]
#[case::bad_priority("\"interactive\"", "\"interactiv\"", "(did you mean `interactive`?)")]
#[case::bad_digest("\"sha256:", "\"sha255:", "invalid digest")]
#[case::full_ratio("0.95", "1", "services[0].objectives.latency_ratio: 1 is out of range")]
#[case::same_model(
    "[\"draft-small\"]",
    "[\"m\", \"m\"]",
    "the model `m` is already offered at services[0].model.models[0]"
)]
#[case::no_model("[\"draft-small\"]", "[]", "at least one model is needed")]
#[case::no_answer("4096", "0", "services[0].model.max_answer_tokens: 0 is out of range")]
#[case::bad_prefix("\"/bookings\"", "\"bookings\"", "a path prefix starts with `/`")]
#[case::lower_case_method("\"POST\"", "\"post\"", "unknown value `post`")]
#[case::covered_rule(
    "\"POST\", \"path_prefix\": \"/bookings\"",
    "\"*\", \"path_prefix\": \"/\"",
    "services[1].plain.calls[1]: the rule is never used, since services[1].plain.calls[0]"
)]
#[case::needless_policy(
    "\"idempotent\": false",
    "\"idempotent\": true",
    "`missing_key` has no effect"
)]
#[case::short_retention(
    "3600000",
    "1000",
    "`ledger_retention_ms` is below the request timeout of 10000 ms"
)]
#[case::late_progress(
    "\"progress_timeout_ms\": 2000",
    "\"progress_timeout_ms\": 60001",
    "`progress_timeout_ms` is above"
)]
#[case::neither_kind(
    "\"plain\": {",
    "\"model\": {",
    "services[1].model.calls: unknown key `calls`"
)]
fn an_error_is_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let findings = findings_of(from, to);

    let found = lines(&findings);
    assert!(
        found.iter().any(|line| line.contains(expected)),
        "{found:?}"
    );
}

#[test]
fn a_key_cannot_belong_to_two_workspaces() {
    let manifest = quickstart();
    let first = manifest.workspaces[0].key_digests[0].to_string();
    let second = manifest.workspaces[1].key_digests[0].to_string();

    let findings = findings_of(&second, &first);

    let expected = "workspaces[1].key_digests[0]: the key digest is already used at workspaces[0].key_digests[0]";
    assert!(lines(&findings)[0].contains(expected), "{findings}");
}

#[test]
fn unknown_references_are_reported_with_a_suggestion() {
    let text = CASCADE
        .replacen(
            "\"workspace\": \"night-reports\"",
            "\"workspace\": \"nightreports\"",
            1,
        )
        .replacen("\"service\": \"drafting\"", "\"service\": \"draftin\"", 1)
        .replacen(
            "\"availability_zone\": \"pnw-c\"",
            "\"availability_zone\": \"pnw-x\"",
            1,
        );

    let findings = parse("m", &text).unwrap_err();

    let found = lines(&findings);
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found[0].ends_with("unknown availability zone `pnw-x` (did you mean `pnw-a`?)"));
    assert!(found[1].ends_with("unknown workspace `nightreports` (did you mean `night-reports`?)"));
    assert!(found[2].ends_with("unknown service `draftin` (did you mean `drafting`?)"));
}

#[test]
fn references_to_an_invalid_service_are_not_reported() {
    let text = CASCADE.replacen("\"max_answer_tokens\": 8192", "\"max_answer_tokens\": 0", 1);

    let findings = parse("m", &text).unwrap_err();

    assert_eq!(findings.iter().count(), 1, "{findings}");
}

#[test]
fn an_override_replaces_the_objectives_of_the_service() {
    let manifest = parse("m", CASCADE).unwrap();
    let night = "night-reports".parse().unwrap();
    let paving = "paving".parse().unwrap();
    let drafting = "drafting".parse().unwrap();

    let own = manifest.objectives(&night, &drafting).unwrap();
    let common = manifest.objectives(&paving, &drafting).unwrap();

    assert_eq!(own.first_token, Duration::from_secs(30));
    assert!((own.availability_ratio - common.availability_ratio).abs() < f64::EPSILON);
    assert_eq!(common.first_token, Duration::from_secs(1));
}

#[test]
fn a_zone_price_replaces_the_class_price() {
    let manifest = parse("m", CASCADE).unwrap();
    let fleet = manifest.services[0].fleet.as_ref().unwrap();

    let cheap = fleet.classes[0].reclaimable_price_in(&"pnw-c".parse().unwrap());
    let usual = fleet.classes[0].reclaimable_price_in(&"pnw-a".parse().unwrap());

    assert!((cheap.0 - 0.7).abs() < f64::EPSILON);
    assert!((usual.0 - 0.9).abs() < f64::EPSILON);
}

#[test]
fn a_diff_lists_all_changes() {
    let old = quickstart();
    let text = QUICKSTART
        .replacen("\"share\": 2", "\"share\": 5", 1)
        .replacen("\"id\": \"barbers\"", "\"id\": \"stylists\"", 1)
        .replacen("[\"a\", \"b\", \"c\"]", "[\"c\", \"b\", \"d\"]", 1);
    let new = parse("m", &text).unwrap();

    let changes = diff(&old, &new);

    let shown: Vec<_> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(shown.len(), 5, "{shown:?}");
    assert_eq!(shown[0], "- availability_zones[a]: \"a\"");
    assert_eq!(shown[1], "+ availability_zones[d]: \"d\"");
    assert_eq!(shown[2], "~ workspaces[crew].share: 2 -> 5");
    assert!(shown[3].starts_with("- workspaces[barbers]: "));
    assert!(shown[4].starts_with("+ workspaces[stylists]: "));
}

#[test]
fn the_diff_of_equal_manifests_is_empty() {
    let changes = diff(&quickstart(), &quickstart());

    assert!(changes.is_empty(), "{changes:?}");
}
