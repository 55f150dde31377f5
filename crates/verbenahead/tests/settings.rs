//! Settings: all findings are reported, and secrets are never printed.

use rstest::rstest;
use verbenahead::settings::{PeerCredentials, Secret, SecretReference, Settings, SettingsSource};

const EXAMPLE: &str = include_str!("../../../examples/settings.jsonc");
const CASCADE: &str = include_str!("../../../examples/cascade/settings.jsonc");
const QUESADA: &str = include_str!("../../../examples/quesada/settings.jsonc");

fn findings_after_replacing(text: &str, from: &str, to: &str) -> Vec<String> {
    assert!(text.contains(from), "the example does not contain {from}");
    let findings = Settings::parse("s", &text.replacen(from, to, 1)).unwrap_err();
    findings.iter().map(ToString::to_string).collect()
}

#[rstest]
#[case::single_machine(EXAMPLE)]
#[case::cascade(CASCADE)]
#[case::quesada(QUESADA)]
fn examples_have_no_findings(#[case] text: &str) {
    let settings = Settings::parse("settings.jsonc", text);

    assert!(settings.is_ok(), "{}", settings.unwrap_err());
}

#[test]
fn absent_sections_take_defaults() {
    let settings = Settings::parse("s", CASCADE).unwrap();

    assert_eq!(settings.limits.max_connections, 4_000);
    assert_eq!(settings.platform.request_timeout.as_millis(), 2_000);
    assert!(matches!(
        settings.peers.credentials,
        PeerCredentials::Tls(_)
    ));
}

#[test]
fn listener_port_zero_is_accepted() {
    let text = EXAMPLE.replace("\"127.0.0.1:8080\"", "\"127.0.0.1:0\"");

    let settings = Settings::parse("s", &text).unwrap();

    assert_eq!(settings.listeners.callers.port(), 0);
}

#[rstest]
#[case::unknown_key(
    "\"listeners\"",
    "\"listners\"",
    "listners: unknown key `listners` (did you mean `listeners`?)"
)]
#[case::host_name(
    "\"127.0.0.1:8080\"",
    "\"localhost:8080\"",
    "`localhost:8080` is not an IP address with a port"
)]
#[case::memory_below_the_bodies(
    "\"max_body_bytes\": 4194304",
    "\"memory_mib\": 64, \"max_body_bytes\": 9000000",
    "`memory_mib` must hold 8 bodies of `max_body_bytes`"
)]
#[case::same_address(
    "127.0.0.1:8081",
    "127.0.0.1:8080",
    "two listeners have the same address"
)]
#[case::unspecified_address(
    "\"peers\": \"127.0.0.1:8082\"",
    "\"peers\": \"0.0.0.0:8082\"",
    "other nodes cannot reach this address"
)]
#[case::remote_plaintext(
    "127.0.0.1:8182",
    "10.0.0.1:8182",
    "plain text is for the loopback interface only, not for 10.0.0.1:8182"
)]
#[case::no_credentials(
    "\"plaintext_on_loopback\": true",
    "\"plaintext_on_loopback\": false",
    "nodes need credentials"
)]
#[case::seed_port_zero(
    "127.0.0.1:8182",
    "127.0.0.1:0",
    "peers.seeds[1]: port 0 cannot be connected to"
)]
#[case::repeated_seed(
    "127.0.0.1:8182",
    "127.0.0.1:8082",
    "the seed `127.0.0.1:8082` is repeated"
)]
#[case::unknown_platform_kind("\"http\"", "\"htp\"", "(did you mean `http`?)")]
#[case::inline_secret(
    "\"digest\": \"sha256:",
    "\"key\": \"sha256:",
    "a secret is given by reference"
)]
#[case::unknown_incarnation("\"start_time\"", "\"now\"", "unknown value `now`")]
#[case::invalid_log_filter("\"info\"", "\"info,[\"", "the log filter is not valid")]
#[case::small_header("16384", "100", "limits.max_header_bytes: 100 is out of range")]
#[case::connect_timeout_too_long(
    "\"connect_timeout_ms\": 500",
    "\"connect_timeout_ms\": 2000",
    "`connect_timeout_ms` must be less than `request_timeout_ms`"
)]
#[case::zero_drain_limit("60000", "0", "drain.limit_ms: 0 is out of range")]
fn an_invalid_value_is_reported(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let findings = findings_after_replacing(EXAMPLE, from, to);

    assert!(
        findings.iter().any(|line| line.contains(expected)),
        "{findings:?}"
    );
}

#[test]
fn findings_of_all_sections_are_reported_together() {
    let text = EXAMPLE
        .replace("\"node-a1\"", "\"node a1\"")
        .replace("127.0.0.1:7070", "platform:7070")
        .replace("\"max_connections\": 4000", "\"max_connections\": \"many\"")
        .replace("\"limit_ms\"", "\"limit\"");

    let findings = Settings::parse("s", &text).unwrap_err();

    assert_eq!(findings.iter().count(), 4, "{findings}");
}

#[test]
fn a_secret_is_never_printed() {
    let secret = Secret::new("swordfish");

    let printed = format!("{secret} {secret:?} {:?}", Some(&secret));

    assert!(!printed.contains("swordfish"), "{printed}");
}

#[test]
fn an_absent_secret_is_reported_by_its_reference() {
    let reference = SecretReference::Env("VERBENAHEAD_TEST_ABSENT".to_owned());

    let error = reference.load().unwrap_err();

    let expected = "settings: cannot read the secret from the environment variable \
                    `VERBENAHEAD_TEST_ABSENT`: it is not set";
    assert_eq!(error.to_string(), expected);
}

#[test]
fn all_unreadable_secrets_are_listed() {
    let text = CASCADE.replace("_KEY\"", "_KEY_ABSENT\"");
    let settings = Settings::parse("s", &text).unwrap();

    let unreadable = settings.unreadable_secrets();

    assert_eq!(unreadable.len(), 6, "{unreadable:?}");
}

#[rstest]
#[case("-", SettingsSource::StandardInput)]
#[case("env:NODE_SETTINGS", SettingsSource::Env("NODE_SETTINGS".to_owned()))]
#[case("settings.jsonc", SettingsSource::File("settings.jsonc".into()))]
fn a_source_round_trips_through_its_text(#[case] text: &str, #[case] expected: SettingsSource) {
    let source: SettingsSource = text.parse().unwrap();

    assert_eq!(source, expected);
    assert_eq!(source.to_string(), text);
}
