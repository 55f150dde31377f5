//! Tests of requests that crash replicas, by a part of their prompts or by themselves, on one node.

mod support;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use rstest::rstest;
use support::{Fixture, quota, request, route_table, service, start};
use tokio::time::{Instant, sleep};
use verbenahead_core::{ContentKey, ContentKind, QuarantinedContent, UpstreamId, units::Tokens};
use verbenahead_membership::NameKey;
use verbenahead_policy::hash::hash_bytes;
use verbenahead_relay::{Fingerprint, RequestContent, dialect::PromptPart};
use verbenahead_standins::users::{ReplicaBehaviour, UsersReplica};

const HARMFUL: u64 = 0xbad0;

const STREAM: ReplicaBehaviour = ReplicaBehaviour::Stream(3, Duration::ZERO);

/// Time between two crashes that count as two.
const APART: Duration = Duration::from_millis(120);

/// Returns a request for a stream whose prompt has these parts before its own.
fn prompt_request(path: &str, id: &str, parts: &str) -> Request<Full<Bytes>> {
    let mut req = request(Method::POST, path, id);
    let mut insert = |name: &'static str, value: &str| {
        let value = HeaderValue::from_str(value).expect("valid header");
        req.headers_mut().insert(name, value);
    };
    insert("model", "m");
    insert("token-count", "300,40");
    let own = hash_bytes(0, id.as_bytes());
    insert("prompt-prefix", &format!("{parts},{own:x}:50"));
    req
}

/// Quarantines the harmful part for ten minutes.
fn quarantine_harmful(fixture: &Fixture) {
    let key = ContentKey {
        service: NameKey::from(&service()).0,
        kind: ContentKind::PromptPart,
        id: HARMFUL,
    };
    let until = fixture.clock.now().saturating_add(Duration::from_secs(600));
    let from = SocketAddr::from(([127, 0, 0, 1], 1));
    let quarantined = QuarantinedContent {
        key,
        until,
        times: 1,
    };
    fixture.quarantine.merge(&[quarantined], from);
}

fn is_quarantined(fixture: &Fixture) -> bool {
    let part = PromptPart {
        id: HARMFUL,
        tokens: Tokens(50),
    };
    let content = RequestContent::new(&service(), Fingerprint(0), &[part]);
    fixture.quarantine.find(&content).is_some()
}

#[rstest]
#[case::run_once("/draft/1")]
#[case::resumable("/notes/1")]
#[tokio::test]
async fn a_request_with_a_quarantined_part_is_refused_at_once(#[case] path: &str) {
    let fixture = start(2, STREAM).await;
    quarantine_harmful(&fixture);
    let started = Instant::now();

    let response = fixture
        .call(prompt_request(path, "r1", "1a:200,bad0:50"))
        .await;

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let delay = response.retry_after().expect("a delay");
    assert!((590.0..=600.0).contains(&delay), "{delay}");
    assert!(started.elapsed() < Duration::from_millis(500));
    assert!(fixture.run_ids().is_empty());
}

#[rstest]
#[case::same_first_part("1a:200,c1:50")]
#[case::same_part_as_its_own("1a:200")]
#[tokio::test]
async fn other_requests_are_served(#[case] parts: &str) {
    let fixture = start(2, STREAM).await;
    quarantine_harmful(&fixture);
    let mut req = prompt_request("/notes/1", "r1", parts);
    if parts == "1a:200" {
        // The last part belongs to the request itself, even if its id is the same.
        let own = HeaderValue::from_static("1a:200,bad0:50");
        req.headers_mut().insert("prompt-prefix", own);
    }

    let response = fixture.call(req).await;

    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test]
async fn refused_requests_leave_the_quota_to_sound_ones() {
    let fixture = start(1, STREAM).await;
    let limited = route_table(8, Some(quota(10.0, 400.0)));
    fixture.routes.send_replace(Some(limited.into()));
    quarantine_harmful(&fixture);

    for n in 0..20 {
        let req = prompt_request("/notes/1", &format!("h{n}"), "1a:200,bad0:50");
        fixture.call(req).await;
    }
    let sound = fixture
        .call(prompt_request("/notes/1", "s", "1a:200,c1:50"))
        .await;

    assert_eq!(sound.status, StatusCode::OK);
}

#[tokio::test]
async fn a_request_that_may_have_run_is_not_sent_again_after_a_quarantine() {
    let fixture = start(3, ReplicaBehaviour::Hang).await;
    let opening = fixture.open(prompt_request("/notes/1", "r1", "1a:200,bad0:50"));
    let crash = async {
        sleep(Duration::from_millis(100)).await;
        quarantine_harmful(&fixture);
        let running = fixture.replicas.iter().find(|r| !r.runs().is_empty());
        running.expect("a replica runs it").crash();
    };

    let (response, ()) = tokio::join!(opening, crash);

    let status = response.expect("an answer").status();
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert_eq!(fixture.run_ids(), ["r1"]);
}

#[rstest]
#[case::before_the_head(ReplicaBehaviour::Hang, "/draft/1")]
#[case::before_the_first_event(ReplicaBehaviour::SilentStream(0), "/draft/1")]
#[case::resumable(ReplicaBehaviour::SilentStream(0), "/notes/1")]
#[tokio::test]
async fn a_request_is_cancelled_when_its_part_is_quarantined_before_its_answer_begins(
    #[case] behaviour: ReplicaBehaviour,
    #[case] path: &str,
) {
    let fixture = start(2, behaviour).await;
    let started = Instant::now();
    let call = fixture.call(prompt_request(path, "r1", "1a:200,bad0:50"));
    let quarantine = async {
        sleep(Duration::from_millis(100)).await;
        quarantine_harmful(&fixture);
    };

    let (response, ()) = tokio::join!(call, quarantine);

    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert!(started.elapsed() < Duration::from_millis(600));
    assert_eq!(fixture.run_ids(), ["r1"]);
    let cancelled = || {
        fixture
            .replicas
            .iter()
            .map(UsersReplica::cancelled)
            .sum::<u64>()
    };
    for _ in 0..50 {
        if cancelled() > 0 {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(cancelled(), 1);
}

#[tokio::test]
async fn a_stream_that_has_begun_goes_on_when_its_part_is_quarantined() {
    let fixture = start(1, ReplicaBehaviour::Stream(30, Duration::from_millis(10))).await;
    let call = fixture.call(prompt_request("/draft/1", "r1", "1a:200,bad0:50"));
    let quarantine = async {
        sleep(Duration::from_millis(100)).await;
        quarantine_harmful(&fixture);
    };

    let (response, ()) = tokio::join!(call, quarantine);

    assert!(response.is_complete);
    assert_eq!(response.event_ids(), (1..=30).collect::<Vec<_>>());
}

/// Failure patterns of a replica that crashes as it begins to answer.
#[derive(Debug, Clone, Copy)]
enum CrashPoint {
    BeforeTheHead,
    BeforeTheFirstEvent,
    AfterTheFirstEvent,
    WithinTheBody,
}

impl CrashPoint {
    /// Returns the behaviour of a replica up to its crash.
    fn behaviour(self) -> ReplicaBehaviour {
        match self {
            Self::BeforeTheHead => ReplicaBehaviour::Hang,
            Self::BeforeTheFirstEvent => ReplicaBehaviour::SilentStream(0),
            Self::AfterTheFirstEvent => ReplicaBehaviour::SilentStream(1),
            Self::WithinTheBody => ReplicaBehaviour::SilentBody,
        }
    }
}

/// Sends a request and lets each replica crash that begins to run it. Removes the registrations of these
/// replicas.
async fn crash_with(fixture: &Fixture, req: Request<Full<Bytes>>) {
    let call = fixture.call(req);
    let crash = async {
        loop {
            sleep(Duration::from_millis(10)).await;
            let replicas = fixture.replicas.iter();
            let running = replicas.filter(|r| r.crashed_at().is_none() && !r.runs().is_empty());
            for replica in running {
                sleep(Duration::from_millis(20)).await;
                replica.crash();
            }
        }
    };
    tokio::select! {
        _ = call => {}
        () = crash => {}
    }
    remove_used(fixture);
}

#[rstest]
#[case::before_the_head(CrashPoint::BeforeTheHead, "/draft/1")]
#[case::before_the_first_event(CrashPoint::BeforeTheFirstEvent, "/draft/1")]
#[case::after_the_first_event(CrashPoint::AfterTheFirstEvent, "/draft/1")]
#[case::resumable(CrashPoint::BeforeTheFirstEvent, "/notes/1")]
#[case::within_the_body(CrashPoint::WithinTheBody, "/file/1")]
#[case::repeatable(CrashPoint::WithinTheBody, "/look/1")]
#[tokio::test]
async fn three_replicas_that_crash_as_they_begin_lead_to_a_quarantine(
    #[case] point: CrashPoint,
    #[case] path: &str,
) {
    let fixture = start(10, point.behaviour()).await;

    for n in 0..4 {
        let req = prompt_request(path, &format!("h{n}"), "1a:200,bad0:50");
        crash_with(&fixture, req).await;
        sleep(APART).await;
    }
    sleep(Duration::from_millis(300)).await;

    assert!(is_quarantined(&fixture));
    let runs = fixture.run_ids().len();
    let spare = fixture.replicas.iter().position(|r| r.runs().is_empty());
    assert!(spare.is_some());
    fixture
        .call(prompt_request(path, "last", "1a:200,bad0:50"))
        .await;
    assert_eq!(fixture.run_ids().len(), runs);
}

/// Guards against the incident BUDGET: nothing was remembered of a request without a prompt, so it was sent
/// to one replica after the other whenever it came again.
#[rstest]
#[case::run_once(CrashPoint::BeforeTheHead, "/file/1")]
#[case::repeatable(CrashPoint::BeforeTheHead, "/look/1")]
#[case::within_the_body(CrashPoint::WithinTheBody, "/look/1")]
#[case::stream(CrashPoint::BeforeTheFirstEvent, "/draft/1")]
#[case::resumable_stream(CrashPoint::AfterTheFirstEvent, "/notes/1")]
#[tokio::test]
async fn a_request_that_crashed_three_replicas_is_refused_and_others_are_not(
    #[case] point: CrashPoint,
    #[case] path: &str,
) {
    let fixture = start(10, point.behaviour()).await;
    let with_body = |id: &str, body: &'static str| {
        request(Method::POST, path, id).map(|_| Full::from(body.as_bytes()))
    };

    for n in 0..3 {
        crash_with(&fixture, with_body(&format!("h{n}"), "harmful")).await;
        sleep(APART).await;
    }
    sleep(Duration::from_millis(300)).await;
    let runs = fixture.run_ids().len();
    let refused = fixture.call(with_body("last", "harmful")).await;
    let others = fixture.replicas.iter().filter(|r| r.runs().is_empty());
    others.for_each(|r| r.set_behaviour(STREAM));
    let other = fixture.call(with_body("other", "sound")).await;

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.retry_after().is_some());
    assert_eq!(fixture.run_ids().len(), runs + 1);
    assert_eq!(other.status, StatusCode::OK);
}

/// Removes the registrations of the replicas that have run a request, as if they had crashed.
fn remove_used(fixture: &Fixture) {
    for (n, replica) in fixture.replicas.iter().enumerate() {
        if !replica.runs().is_empty() {
            let id = UpstreamId::try_new(format!("i-{n}")).expect("valid id");
            fixture.registry.remove(&id);
        }
    }
}

/// Failure patterns that say nothing of the prompt.
#[rstest]
#[case::full(ReplicaBehaviour::Full)]
#[case::server_error(ReplicaBehaviour::Answer(StatusCode::INTERNAL_SERVER_ERROR, Duration::ZERO))]
#[case::foreign_answer(ReplicaBehaviour::ForeignId)]
#[case::no_answer(ReplicaBehaviour::Hang)]
#[case::complete(STREAM)]
#[case::lost_answer(ReplicaBehaviour::LoseAnswer)]
#[case::broken_before_the_first_event(ReplicaBehaviour::BreakStream(0))]
#[case::broken_after_the_first_event(ReplicaBehaviour::BreakStream(1))]
#[tokio::test]
async fn other_failures_lead_to_no_quarantine(#[case] behaviour: ReplicaBehaviour) {
    let fixture = start(8, behaviour).await;

    for n in 0..6 {
        let mut req = prompt_request("/draft/1", &format!("h{n}"), "1a:200,bad0:50");
        req.headers_mut().insert("deadline-ms", 150.into());
        fixture.call(req).await;
        remove_used(&fixture);
        sleep(APART).await;
    }
    sleep(Duration::from_millis(200)).await;

    assert!(!is_quarantined(&fixture));
}

#[tokio::test]
async fn a_stream_that_breaks_late_leads_to_no_quarantine() {
    let fixture = start(4, ReplicaBehaviour::Stream(400, Duration::from_millis(10))).await;

    for n in 0..4 {
        let req = prompt_request("/draft/1", &format!("h{n}"), "1a:200,bad0:50");
        let crash = async {
            sleep(Duration::from_millis(1_300)).await;
            let running = fixture
                .replicas
                .iter()
                .find(|r| r.crashed_at().is_none() && !r.runs().is_empty());
            running.expect("a replica runs it").crash();
        };
        tokio::join!(fixture.call(req), crash);
    }
    sleep(Duration::from_millis(200)).await;

    assert!(!is_quarantined(&fixture));
}

/// Answers of a first replica before others crash with the same part.
#[rstest]
#[case::complete(STREAM, "/draft/1", false)]
#[case::complete_body(
    ReplicaBehaviour::Answer(StatusCode::OK, Duration::ZERO),
    "/file/1",
    false
)]
#[case::not_found(
    ReplicaBehaviour::Answer(StatusCode::NOT_FOUND, Duration::ZERO),
    "/draft/1",
    true
)]
#[case::body_not_found(
    ReplicaBehaviour::Answer(StatusCode::NOT_FOUND, Duration::ZERO),
    "/file/1",
    true
)]
#[tokio::test]
async fn a_part_is_not_quarantined_after_a_complete_answer_with_success(
    #[case] first: ReplicaBehaviour,
    #[case] path: &str,
    #[case] is_expected: bool,
) {
    let fixture = start(10, first).await;
    fixture
        .call(prompt_request(path, "s", "1a:200,bad0:50"))
        .await;
    remove_used(&fixture);
    let silent = CrashPoint::BeforeTheFirstEvent.behaviour();
    fixture
        .replicas
        .iter()
        .for_each(|r| r.set_behaviour(silent.clone()));

    for n in 0..4 {
        let req = prompt_request("/draft/1", &format!("h{n}"), "1a:200,bad0:50");
        crash_with(&fixture, req).await;
        sleep(APART).await;
    }
    sleep(Duration::from_millis(300)).await;

    assert_eq!(is_quarantined(&fixture), is_expected);
}
