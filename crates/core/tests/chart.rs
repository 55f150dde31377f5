//! Tests of reading and checking state charts, with all findings reported together.

use derive_more::Display;
use rstest::rstest;
use verbenahead_core::{
    chart::{Chart, ChartSymbol, Vocabulary},
    findings::Findings,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
enum DoorState {
    Open,
    Shut,
    Locked,
    Usable,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
enum DoorEvent {
    Push,
    Turn,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
enum DoorGuard {
    HasKey,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
enum DoorAction {
    Ring,
}

impl ChartSymbol for DoorState {
    const ALL: &'static [Self] = &[Self::Open, Self::Shut, Self::Locked, Self::Usable];
}

impl ChartSymbol for DoorEvent {
    const ALL: &'static [Self] = &[Self::Push, Self::Turn];
}

impl ChartSymbol for DoorGuard {
    const ALL: &'static [Self] = &[Self::HasKey];
}

impl ChartSymbol for DoorAction {
    const ALL: &'static [Self] = &[Self::Ring];
}

#[derive(Debug)]
struct Door;

impl Vocabulary for Door {
    type State = DoorState;
    type Event = DoorEvent;
    type Guard = DoorGuard;
    type Action = DoorAction;
}

const DOOR: &str = r#"{
  // A door that rings when it is closed.
  "initial": "open",
  "states": [
    { "state": "usable" },
    { "state": "open", "superstate": "usable" },
    { "state": "shut", "superstate": "usable" },
    { "state": "locked", "final": true },
  ],
  "transitions": [
    { "state": "open", "event": "push", "action": "ring", "target": "shut" },
    { "state": "shut", "event": "push", "target": "open" },
    { "state": "usable", "event": "turn", "guard": "has_key", "target": "locked" },
  ],
}"#;

fn door(text: &str) -> Result<Chart<Door>, Findings> {
    Chart::try_new("door.jsonc", text)
}

#[test]
fn a_transition_has_its_target_and_action() {
    let chart = door(DOOR).expect("the chart is valid");

    let transition = chart.transition(DoorState::Open, DoorEvent::Push, |_| false);

    let transition = transition.expect("the transition applies");
    assert_eq!(transition.target, Some(DoorState::Shut));
    assert_eq!(transition.action, Some(DoorAction::Ring));
    assert_eq!(chart.initial(), DoorState::Open);
}

#[rstest]
#[case(true, Some(DoorState::Locked))]
#[case(false, None)]
fn a_guarded_transition_of_a_superstate_is_inherited(
    #[case] has_key: bool,
    #[case] target: Option<DoorState>,
) {
    let chart = door(DOOR).expect("the chart is valid");

    let own = chart.transition(DoorState::Shut, DoorEvent::Turn, |_| has_key);
    let transition = chart.inherited_transition(DoorState::Shut, DoorEvent::Turn, |_| has_key);

    assert_eq!(own, None);
    assert_eq!(transition.and_then(|transition| transition.target), target);
}

#[rstest]
#[case(
    r#""event": "push", "target": "open" }"#,
    r#""event": "psuh", "target": "open" }"#,
    "door.jsonc:12:33: transitions[1].event: unknown event `psuh` (did you mean `push`?)"
)]
#[case(
    r#""guard": "has_key""#,
    r#""guard": "has_kee""#,
    "door.jsonc:13:52: transitions[2].guard: unknown guard `has_kee` (did you mean `has_key`?)"
)]
#[case(
    r#""action": "ring""#,
    r#""action": "shout""#,
    "unknown action `shout`"
)]
#[case(
    r#""target": "locked""#,
    r#""target": "lokced""#,
    "unknown state `lokced` (did you mean `locked`?)"
)]
#[case(
    r#""target": "locked""#,
    r#""target": "usable""#,
    "`usable` is a superstate"
)]
#[case(
    r#""target": "locked""#,
    r#""target": "open""#,
    "door.jsonc:8:16: states[3].state: state `locked` cannot be reached"
)]
#[case(
    r#""state": "locked", "final": true"#,
    r#""state": "locked""#,
    "state `locked` has no way out and is not final"
)]
#[case(
    r#"    { "state": "locked", "final": true },"#,
    "",
    "state `locked` is missing"
)]
#[case(
    r#""state": "usable" }"#,
    r#""state": "usable", "superstate": "open" }"#,
    "is its own superstate"
)]
#[case(r#""initial": "open""#, r#""initial": 7"#, "`initial` is not a string")]
#[case(r#""initial": "open","#, "", "`initial` is missing")]
#[case(
    r#""final": true"#,
    r#""finel": true"#,
    "unknown key `finel` (did you mean `final`?)"
)]
#[case(
    r#""action": "ring", "target": "shut""#,
    r#""guard": "has_key""#,
    "neither an action nor a target"
)]
#[case("{\n", "[\n", "door.jsonc:")]
fn an_invalid_chart_is_rejected(#[case] from: &str, #[case] to: &str, #[case] finding: &str) {
    let text = DOOR.replacen(from, to, 1);
    assert_ne!(text, DOOR);

    let findings = door(&text).expect_err("the chart is invalid");

    let printed = findings.to_string();
    assert!(printed.contains(finding), "{printed}");
}

#[test]
fn all_findings_are_reported_together() {
    let text = DOOR
        .replace("has_key", "has_kee")
        .replace("\"action\": \"ring\"", "\"action\": \"rung\"");

    let findings = door(&text).expect_err("the chart is invalid");

    assert_eq!(findings.iter().count(), 2, "{findings}");
}
