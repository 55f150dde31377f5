//! Output and exit codes of the program's commands, run against a node.

mod operator_backend;

use std::{
    io::Write,
    net::SocketAddr,
    process::{Command, Output, Stdio},
    sync::Arc,
    thread,
    time::Duration,
};

use rstest::rstest;
use serde_json::Value;
use tokio::{net::TcpListener, runtime::Runtime, sync::watch};
use verbenahead::{
    operators::{NodeState, OperatorApi, OperatorApiOptions, OperatorKeys, router},
    settings::{CredentialSource, OperatorCredential, OperatorSettings},
    telemetry::metrics::Metrics,
};
use verbenahead_core::{Digest, Generation};
use verbenahead_policy::ClientMemoryOptions;
use verbenahead_relay::MemoryBudget;

use operator_backend::{FakeBackend, PublicationFault, QUICKSTART};

const KEY: &str = "room-key";

/// A node that runs only the operator API. Dropping it stops the server.
struct Node {
    backend: Arc<FakeBackend>,
    address: SocketAddr,
    _closing: watch::Sender<()>,
    _runtime: Runtime,
}

impl Node {
    fn start(backend: FakeBackend) -> Self {
        let backend = Arc::new(backend);
        let settings = OperatorSettings {
            credentials: vec![OperatorCredential {
                name: "room".to_owned(),
                source: CredentialSource::Digest(Digest::of(KEY)),
            }],
        };
        let keys = OperatorKeys::try_new(&settings).unwrap();
        let (closing, closed) = watch::channel(());
        let metrics = Metrics::try_new().unwrap();
        let options = OperatorApiOptions::default();
        let memory = MemoryBudget::new(ClientMemoryOptions::default());
        let api = OperatorApi::new(backend.clone(), keys, metrics, closed, memory, options);
        let runtime = Runtime::new().unwrap();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        runtime.spawn(async move { axum::serve(listener, router(api)).await });
        Self {
            backend,
            address,
            _closing: closing,
            _runtime: runtime,
        }
    }

    /// Runs a command that calls this node.
    fn run(&self, args: &[&str], input: &str) -> Output {
        let address = self.address.to_string();
        let args = [args, &["--operator", &address]].concat();
        run(&args, input)
    }
}

fn run(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_verbenahead"))
        .args(args)
        .env("VERBENAHEAD_CREDENTIAL", KEY)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    let input = input.to_owned();
    // A command that does not read its input may close it before all is written.
    thread::spawn(move || stdin.write_all(input.as_bytes()).ok());
    child.wait_with_output().unwrap()
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn stdout_json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap()
}

#[rstest]
#[case("text")]
#[case("json")]
fn a_closed_output_pipe_is_not_an_error(#[case] format: &str) {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/manifest.jsonc");

    let status = Command::new(env!("CARGO_BIN_EXE_verbenahead"))
        .args(["--output", format, "manifest", "check", example])
        .stdout(writer)
        .status()
        .unwrap();

    assert_eq!(status.code(), Some(0));
}

#[test]
fn findings_of_a_manifest_have_paths() {
    let text = QUICKSTART.replacen("\"share\": 2", "\"shre\": 2", 1);

    let shown = run(&["manifest", "check", "-"], &text);
    let listed = run(&["--output", "json", "manifest", "check", "-"], &text);

    assert_eq!((exit_code(&shown), exit_code(&listed)), (1, 1));
    let expected = "workspaces[0].shre: unknown key `shre` (did you mean `share`?)";
    assert!(stderr(&shown).contains(expected), "{}", stderr(&shown));
    assert_eq!(stdout_json(&listed)["findings"][0]["suggestion"], "share");
}

#[test]
fn settings_are_read_from_an_environment_variable() {
    let output = Command::new(env!("CARGO_BIN_EXE_verbenahead"))
        .args(["settings", "check", "env:NODE_SETTINGS"])
        .env(
            "NODE_SETTINGS",
            include_str!("../../../examples/settings.jsonc"),
        )
        .output()
        .unwrap();

    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert!(stdout(&output).contains("node-a1"));
}

#[test]
fn a_node_with_invalid_settings_does_not_start() {
    let output = run(&["node", "--settings", "-"], "{}");

    assert_eq!(exit_code(&output), 1);
    assert_eq!(stderr(&output).lines().count(), 6, "{}", stderr(&output));
}

#[rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["manifest", "publsh"])]
#[case::no_expected_generation(&["manifest", "publish", "-"])]
#[case::limit_without_wait(&["manifest", "publish", "-", "--expect", "0", "--wait-limit", "1"])]
#[case::host_name(&["status", "--operator", "localhost:1"])]
fn wrong_usage_has_its_own_exit_code(#[case] args: &[&str]) {
    let output = run(args, "");

    assert_eq!(exit_code(&output), 2, "{}", stderr(&output));
}

#[test]
fn a_manifest_is_published_and_read_back() {
    let node = Node::start(FakeBackend::default());

    let published = node.run(&["manifest", "publish", "-", "--expect", "0"], QUICKSTART);
    let shown = node.run(&["manifest", "show"], "");
    let history = node.run(&["--output", "json", "manifest", "history"], "");

    assert_eq!(exit_code(&published), 0, "{}", stderr(&published));
    assert!(stdout(&published).starts_with("accepted: generation 1, published by room"));
    assert_eq!(stdout(&shown), QUICKSTART);
    assert_eq!(stdout_json(&history)["manifests"][0]["generation"], 1);
}

#[test]
fn diff_shows_changes_without_publishing() {
    let node = Node::start(FakeBackend::with_head(QUICKSTART));
    let text = QUICKSTART.replacen("\"share\": 2", "\"share\": 3", 1);

    let changed = node.run(&["manifest", "diff", "-"], &text);
    let same = node.run(&["--output", "json", "manifest", "diff", "-"], QUICKSTART);

    assert_eq!(stdout(&changed), "~ workspaces[crew].share: 2 -> 3\n");
    assert_eq!(stdout_json(&same)["changes"].as_array().unwrap().len(), 0);
    assert_eq!(node.backend.publications(), 0);
}

#[test]
fn a_publication_over_a_newer_head_is_refused_with_the_difference() {
    let node = Node::start(FakeBackend::with_head(QUICKSTART));
    let text = QUICKSTART.replacen("\"share\": 2", "\"share\": 3", 1);

    let output = node.run(&["manifest", "publish", "-", "--expect", "0"], &text);

    assert_eq!(exit_code(&output), 1);
    assert!(
        stderr(&output).contains("the head is generation 1"),
        "{}",
        stderr(&output)
    );
    assert!(
        stderr(&output).contains("~ workspaces[crew].share: 2 -> 3"),
        "{}",
        stderr(&output)
    );
}

#[rstest]
#[case::accepted(PublicationFault::AnswerLost, 0, "accepted: generation 1")]
#[case::stays_unknown(PublicationFault::WriteLost, 4, "unknown: ")]
fn an_unknown_outcome_is_read_back(
    #[case] fault: PublicationFault,
    #[case] expected: i32,
    #[case] shown: &str,
) {
    let node = Node::start(FakeBackend::default());
    node.backend.set_fault(fault);

    let output = node.run(&["manifest", "publish", "-", "--expect", "0"], QUICKSTART);

    assert_eq!(exit_code(&output), expected, "{}", stderr(&output));
    assert!(stdout(&output).starts_with(shown), "{}", stdout(&output));
}

#[test]
fn a_publication_that_never_reached_the_platform_is_refused() {
    let node = Node::start(FakeBackend::default());
    node.backend.set_fault(PublicationFault::NotSent);

    let output = node.run(&["manifest", "publish", "-", "--expect", "0"], QUICKSTART);

    assert_eq!(exit_code(&output), 1);
    assert!(
        stderr(&output).contains("the manifest is not accepted"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn wait_ends_when_the_manifest_is_in_force_on_all_nodes() {
    let node = Node::start(FakeBackend::default());

    let args = ["manifest", "publish", "-", "--expect", "0", "--wait"];
    let output = node.run(&args, QUICKSTART);

    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    assert!(
        stdout(&output).contains("in force on all nodes (2)"),
        "{}",
        stdout(&output)
    );
}

#[test]
fn wait_names_the_nodes_without_the_manifest() {
    let node = Node::start(FakeBackend::default());
    node.backend.change_status(|status| {
        status.nodes[0].generation = Generation(0);
        status.nodes[1].state = NodeState::Suspect;
    });

    let publish = [
        "--output", "json", "manifest", "publish", "-", "--expect", "0",
    ];
    let args = [&publish[..], &["--wait", "--wait-limit", "1"]].concat();
    let output = node.run(&args, QUICKSTART);

    assert_eq!(exit_code(&output), 5, "{}", stderr(&output));
    let in_force = &stdout_json(&output)["in_force"];
    assert_eq!(in_force["behind"][0], "node-a1");
    assert_eq!(in_force["not_heard_from"][0], "node-b1");
}

#[test]
fn wait_names_a_node_that_leaves_meanwhile() {
    let node = Node::start(FakeBackend::default());
    node.backend
        .change_status(|status| status.nodes[1].state = NodeState::Suspect);
    let backend = Arc::clone(&node.backend);
    let removal = thread::spawn(move || {
        while backend.status_reads() == 0 {
            thread::sleep(Duration::from_millis(10));
        }
        backend.change_status(|status| status.nodes.truncate(1));
    });

    let args = ["manifest", "publish", "-", "--expect", "0", "--wait"];
    let output = node.run(&args, QUICKSTART);

    removal.join().unwrap();
    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
    let expected = "in force on all nodes (1); gone while waiting node-b1";
    assert!(stdout(&output).contains(expected), "{}", stdout(&output));
}

#[test]
fn an_unreachable_node_is_skipped() {
    let node = Node::start(FakeBackend::with_head(QUICKSTART));
    let both = format!("127.0.0.1:1,{}", node.address);

    let one = run(&["status", "--operator", "127.0.0.1:1"], "");
    let other = run(&["status", "--operator", &both], "");

    assert_eq!(exit_code(&one), 3, "{}", stderr(&one));
    assert_eq!(exit_code(&other), 0, "{}", stderr(&other));
    assert!(stdout(&other).contains("generation 1 is in force on all nodes"));
}

#[test]
fn an_unknown_credential_is_refused() {
    let node = Node::start(FakeBackend::default());

    let output = Command::new(env!("CARGO_BIN_EXE_verbenahead"))
        .args(["status", "--operator", &node.address.to_string()])
        .env("VERBENAHEAD_CREDENTIAL", "another-key")
        .output()
        .unwrap();

    assert_eq!(exit_code(&output), 1);
    assert!(
        stderr(&output).contains("a known credential is needed"),
        "{}",
        stderr(&output)
    );
    assert!(!stderr(&output).contains("another-key"));
}

#[test]
fn a_burn_report_names_nodes_that_did_not_answer() {
    let node = Node::start(FakeBackend::with_head(QUICKSTART));

    let text = node.run(&["report", "burn"], "");
    let listed = node.run(&["--output", "json", "report", "burn"], "");

    assert!(
        stdout(&text).contains("NO ANSWER FROM node-c1"),
        "{}",
        stdout(&text)
    );
    assert_eq!(stdout_json(&listed)["missing"][0], "node-c1");
}
