//! Settings are checked with all findings, and secrets stay hidden.

use rstest::rstest;
use verbenahead::settings::{PeerCredentials, Secret, SecretReference, Settings, SettingsSource};

const EXAMPLE: &str = include_str!("../../../examples/settings.jsonc");
const CASCADE: &str = include_str!("../../../examples/cascade/settings.jsonc");
const QUESADA: &str = include_str!("../../../examples/quesada/settings.jsonc");

fn findings_of(text: &str, from: &str, to: &str) -> Vec<String> {
    assert!(text.contains(from), "the example lacks {from}");
    let findings = Settings::parse("s", &text.replacen(from, to, 1)).unwrap_err();
    findings.iter().map(ToString::to_string).collect()
}

#[rstest]
#[case::single_machine(EXAMPLE)]
#[case::cascade(CASCADE)]
#[case::quesada(QUESADA)]
fn an_example_has_no_findings(#[case] text: &str) {
    let settings = Settings::parse("settings.jsonc", text);

    assert!(settings.is_ok(), "{}", settings.unwrap_err());
}

#[test]
fn absent_parts_have_defaults() {
    let settings = Settings::parse("s", CASCADE).unwrap();

    assert_eq!(settings.limits.max_connections, 4_000);
    assert_eq!(settings.platform.request_timeout.as_millis(), 2_000);
    assert!(matches!(
        settings.peers.credentials,
        PeerCredentials::Tls(_)
    ));
}

#[test]
fn a_free_port_may_be_asked_for() {
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
#[case::same_address(
    "127.0.0.1:8081",
    "127.0.0.1:8080",
    "two listeners have the same address"
)]
#[case::any_address(
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
#[case::seed_port(
    "127.0.0.1:8182",
    "127.0.0.1:0",
    "peers.seeds[1]: port 0 cannot be connected to"
)]
#[case::same_seed(
    "127.0.0.1:8182",
    "127.0.0.1:8082",
    "the seed `127.0.0.1:8082` is repeated"
)]
#[case::other_platform("\"http\"", "\"htp\"", "(did you mean `http`?)")]
#[case::secret_in_place(
    "\"digest\": \"sha256:",
    "\"key\": \"sha256:",
    "a secret is given by reference"
)]
#[case::incarnation("\"start_time\"", "\"now\"", "unknown value `now`")]
#[case::log_filter("\"info\"", "\"info,[\"", "the log filter is not valid")]
#[case::small_header("16384", "100", "limits.max_header_bytes: 100 is out of range")]
#[case::no_drain("60000", "0", "drain.limit_ms: 0 is out of range")]
fn a_fault_is_found(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let found = findings_of(EXAMPLE, from, to);

    assert!(
        found.iter().any(|line| line.contains(expected)),
        "{found:?}"
    );
}

#[test]
fn faults_of_all_parts_are_reported_together() {
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
fn an_absent_secret_is_named_by_its_reference_only() {
    let reference = SecretReference::Env("VERBENAHEAD_TEST_ABSENT".to_owned());

    let error = reference.load().unwrap_err();

    let expected = "settings: cannot read the secret from the environment variable \
                    `VERBENAHEAD_TEST_ABSENT`: it is not set";
    assert_eq!(error.to_string(), expected);
}

#[test]
fn unreadable_secrets_are_all_listed() {
    let text = CASCADE.replace("_KEY\"", "_KEY_ABSENT\"");
    let settings = Settings::parse("s", &text).unwrap();

    let unreadable = settings.unreadable_secrets();

    assert_eq!(unreadable.len(), 6, "{unreadable:?}");
}

#[rstest]
#[case("-", SettingsSource::StandardInput)]
#[case("env:NODE_SETTINGS", SettingsSource::Env("NODE_SETTINGS".to_owned()))]
#[case("settings.jsonc", SettingsSource::File("settings.jsonc".into()))]
fn a_source_reads_what_it_prints(#[case] text: &str, #[case] expected: SettingsSource) {
    let source: SettingsSource = text.parse().unwrap();

    assert_eq!(source, expected);
    assert_eq!(source.to_string(), text);
}
