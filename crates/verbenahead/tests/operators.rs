//! Tests of the operator API: authentication, publication of manifests, the status page and caching.

mod operator_backend;

use std::{sync::Arc, time::Duration};

use axum::{Router, body::Body};
use base64::{Engine, engine::general_purpose::STANDARD};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use rstest::rstest;
use serde_json::Value;
use tokio::sync::watch;
use tower::ServiceExt;
use verbenahead::{
    operators::{
        NodeState, NodeView, OperatorApi, OperatorApiOptions, OperatorKeys, Readiness,
        render_status, router,
    },
    settings::{CredentialSource, OperatorCredential, OperatorSettings},
    telemetry::metrics::Metrics,
};
use verbenahead_core::{Digest, Generation};
use verbenahead_policy::ClientMemoryOptions;
use verbenahead_relay::MemoryBudget;

use operator_backend::{FakeBackend, PublicationFault, QUICKSTART};

const METRICS_PAGE: &str = include_str!("../../../docs/METRICS.md");

struct Fixture {
    backend: Arc<FakeBackend>,
    metrics: Metrics,
    router: Router,
    closing: Option<watch::Sender<()>>,
}

impl Fixture {
    fn new(backend: FakeBackend) -> Self {
        let backend = Arc::new(backend);
        let credentials = [("room", "room-key"), ("pipeline", "pipeline-key")];
        let credential = |(name, key): (&str, &str)| OperatorCredential {
            name: name.to_owned(),
            source: CredentialSource::Digest(Digest::of(key)),
        };
        let settings = OperatorSettings {
            credentials: credentials.map(credential).to_vec(),
        };
        let keys = OperatorKeys::try_new(&settings).unwrap();
        let metrics = Metrics::try_new().unwrap();
        let (closing, closed) = watch::channel(());
        let options = OperatorApiOptions {
            max_pages: 1,
            ..OperatorApiOptions::default()
        };
        let memory = MemoryBudget::new(ClientMemoryOptions::default());
        let api = OperatorApi::new(
            backend.clone(),
            keys,
            metrics.clone(),
            closed,
            memory,
            options,
        );
        Self {
            backend,
            metrics,
            router: router(api),
            closing: Some(closing),
        }
    }

    async fn send(&self, req: Request<Body>) -> Response<Body> {
        self.router.clone().oneshot(req).await.unwrap()
    }

    async fn get(&self, path: &str) -> Response<Body> {
        let req = Request::get(path).header(header::AUTHORIZATION, "Bearer room-key");
        self.send(req.body(Body::empty()).unwrap()).await
    }

    async fn put(&self, if_match: Option<&str>, body: impl Into<Body>) -> Response<Body> {
        let mut req =
            Request::put("/v1/manifest").header(header::AUTHORIZATION, "Bearer pipeline-key");
        if let Some(if_match) = if_match {
            req = req.header(header::IF_MATCH, if_match);
        }
        self.send(req.body(body.into()).unwrap()).await
    }
}

async fn text(response: Response<Body>) -> String {
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(bytes.to_vec()).unwrap()
}

async fn json(response: Response<Body>) -> Value {
    serde_json::from_str(&text(response).await).unwrap()
}

fn basic(name: &str, key: &str) -> String {
    format!("Basic {}", STANDARD.encode(format!("{name}:{key}")))
}

#[rstest]
#[case::none(None, Method::GET, StatusCode::UNAUTHORIZED)]
#[case::bearer(Some("Bearer room-key".to_owned()), Method::GET, StatusCode::OK)]
#[case::other_case(Some("bearer pipeline-key".to_owned()), Method::GET, StatusCode::OK)]
#[case::unknown(Some("Bearer room-kex".to_owned()), Method::GET, StatusCode::UNAUTHORIZED)]
#[case::empty(Some("Bearer ".to_owned()), Method::GET, StatusCode::UNAUTHORIZED)]
#[case::browser(Some(basic("anyone", "room-key")), Method::GET, StatusCode::OK)]
#[case::browser_write(Some(basic("room", "room-key")), Method::PUT, StatusCode::UNAUTHORIZED)]
#[case::bad_basic(Some("Basic ***".to_owned()), Method::GET, StatusCode::UNAUTHORIZED)]
#[tokio::test]
async fn authentication_status_by_credential(
    #[case] authorization: Option<String>,
    #[case] method: Method,
    #[case] expected: StatusCode,
) {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));
    let mut req = Request::builder().method(method).uri("/v1/manifest");
    if let Some(authorization) = authorization {
        req = req.header(header::AUTHORIZATION, authorization);
    }

    let response = fixture.send(req.body(Body::empty()).unwrap()).await;

    assert_eq!(response.status(), expected);
    let is_challenged = response.headers().contains_key(header::WWW_AUTHENTICATE);
    assert_eq!(is_challenged, expected == StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn challenges_use_separate_header_fields() {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));
    let req = Request::builder().uri("/").body(Body::empty()).unwrap();

    let response = fixture.send(req).await;

    let challenges = response.headers().get_all(header::WWW_AUTHENTICATE);
    let schemes: Vec<_> = challenges
        .iter()
        .map(|value| value.to_str().unwrap().split(' ').next().unwrap())
        .collect();
    assert_eq!(schemes, ["Basic", "Bearer"]);
}

#[rstest]
#[case("/")]
#[case("/events")]
#[case("/room.js")]
#[case("/burn")]
#[case("/metrics")]
#[case("/v1/status")]
#[case("/v1/burn")]
#[case("/v1/manifest/1")]
#[case("/v1/manifest/history")]
#[case("/no/such/path")]
#[tokio::test]
async fn paths_without_a_credential_are_unauthorized(#[case] path: &str) {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));

    let response = fixture
        .send(Request::get(path).body(Body::empty()).unwrap())
        .await;

    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn health_endpoints_need_no_credential() {
    let fixture = Fixture::new(FakeBackend::default());
    let get = |path: &str| fixture.send(Request::get(path).body(Body::empty()).unwrap());

    let health = get("/healthz").await.status();
    let ready = get("/readyz").await.status();
    fixture
        .backend
        .set_readiness(Readiness::NotReady("draining".to_owned()));
    let draining = get("/readyz").await;

    assert_eq!((health, ready), (StatusCode::OK, StatusCode::OK));
    assert_eq!(draining.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(json(draining).await["detail"], "draining");
}

#[tokio::test]
async fn publication_records_the_credential_name() {
    let fixture = Fixture::new(FakeBackend::default());

    let response = fixture.put(Some("\"0\""), QUICKSTART).await;

    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(response.headers()[header::ETAG], "\"1\"");
    let head = json(response).await;
    assert_eq!(head["generation"], 1);
    assert_eq!(head["publisher"], "pipeline");
}

#[rstest]
#[case::absent(None, StatusCode::PRECONDITION_REQUIRED)]
#[case::any(Some("*"), StatusCode::BAD_REQUEST)]
#[case::weak(Some("W/\"0\""), StatusCode::BAD_REQUEST)]
#[case::several(Some("\"0\", \"1\""), StatusCode::BAD_REQUEST)]
#[case::unquoted(Some("0"), StatusCode::BAD_REQUEST)]
#[case::signed(Some("\"+0\""), StatusCode::BAD_REQUEST)]
#[case::huge(Some("\"99999999999999999999999\""), StatusCode::BAD_REQUEST)]
#[tokio::test]
async fn publication_without_a_valid_if_match_is_refused(
    #[case] if_match: Option<&str>,
    #[case] expected: StatusCode,
) {
    let fixture = Fixture::new(FakeBackend::default());

    let response = fixture.put(if_match, QUICKSTART).await;

    assert_eq!(response.status(), expected);
    assert_eq!(json(response).await["outcome"], "not_run");
    assert_eq!(fixture.backend.publications(), 0);
}

#[tokio::test]
async fn conflicting_publication_returns_the_difference() {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));
    let text = QUICKSTART.replacen("\"share\": 2", "\"share\": 9", 1);

    let response = fixture.put(Some("\"0\""), text).await;

    assert_eq!(response.status(), StatusCode::PRECONDITION_FAILED);
    let problem = json(response).await;
    assert_eq!(problem["outcome"], "not_run");
    assert_eq!(problem["head"]["generation"], 1);
    assert_eq!(problem["difference"][0]["path"], "workspaces[crew].share");
    assert_eq!(problem["difference"][0]["after"], 9);
}

#[tokio::test]
async fn invalid_manifest_is_refused_with_all_findings() {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));
    let text = QUICKSTART
        .replacen("\"share\": 2", "\"share\": 0", 1)
        .replacen("\"deployment\"", "\"deploymnet\"", 1);

    let response = fixture.put(Some("\"1\""), text).await;

    assert_eq!(response.status(), StatusCode::UNPROCESSABLE_ENTITY);
    let problem = json(response).await;
    assert_eq!(problem["findings"].as_array().unwrap().len(), 3);
    assert_eq!(problem["findings"][0]["suggestion"], "deployment");
    assert_eq!(fixture.backend.publications(), 0);
}

#[rstest]
#[case::not_sent(PublicationFault::NotSent, "not_run")]
#[case::answer_lost(PublicationFault::AnswerLost, "unknown")]
#[case::write_lost(PublicationFault::WriteLost, "unknown")]
#[tokio::test]
async fn publication_outcome_after_a_platform_fault(
    #[case] fault: PublicationFault,
    #[case] outcome: &str,
) {
    let fixture = Fixture::new(FakeBackend::default());
    fixture.backend.set_fault(fault);

    let response = fixture.put(Some("\"0\""), QUICKSTART).await;

    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key(header::RETRY_AFTER));
    assert_eq!(json(response).await["outcome"], outcome);
}

#[tokio::test]
async fn oversized_and_binary_bodies_are_refused() {
    let fixture = Fixture::new(FakeBackend::default());

    let large = fixture
        .put(Some("\"0\""), vec![b' '; 8 * 1024 * 1024 + 1])
        .await;
    let binary = fixture.put(Some("\"0\""), vec![b'{', 0xff, b'}']).await;

    assert_eq!(large.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(binary.status(), StatusCode::BAD_REQUEST);
    assert_eq!(fixture.backend.publications(), 0);
}

#[tokio::test(start_paused = true)]
async fn stalled_body_times_out() {
    let fixture = Fixture::new(FakeBackend::default());
    let stalled = futures_util::stream::pending::<Result<bytes::Bytes, std::io::Error>>();

    let response = fixture.put(Some("\"0\""), Body::from_stream(stalled)).await;

    assert_eq!(response.status(), StatusCode::REQUEST_TIMEOUT);
}

#[tokio::test]
async fn manifests_are_returned_as_published() {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));
    fixture.backend.accept("pipeline", "{}");

    let head = fixture.get("/v1/manifest").await;
    let first = fixture.get("/v1/manifest/1").await;
    let absent = fixture.get("/v1/manifest/3").await;
    let history = json(fixture.get("/v1/manifest/history?limit=1").await).await;

    assert_eq!(head.headers()[header::ETAG], "\"2\"");
    assert_eq!(text(head).await, "{}");
    assert_eq!(text(first).await, QUICKSTART);
    assert_eq!(absent.status(), StatusCode::NOT_FOUND);
    assert_eq!(history["manifests"].as_array().unwrap().len(), 1);
    assert_eq!(history["manifests"][0]["publisher"], "pipeline");
}

#[tokio::test]
async fn reads_fail_while_the_platform_is_unavailable() {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));
    fixture.backend.set_down(true);

    let response = fixture.get("/v1/manifest").await;

    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        json(response).await["detail"]
            .as_str()
            .unwrap()
            .contains("no answer")
    );
}

#[tokio::test]
async fn markup_in_names_is_escaped() {
    let backend = FakeBackend::default();
    backend.accept("<script>alert(1)</script>", QUICKSTART);
    backend.change_status(|status| {
        status.deployment = Some("<script>alert(2)</script>\" onload='x'".to_owned());
        status.upstreams[0].state = "\"><script>alert(3)</script>".to_owned();
        status.nodes[0].version = "<img src=x onerror=alert(4)>".to_owned();
    });
    let fixture = Fixture::new(backend);

    let response = fixture.get("/").await;

    let policy = response.headers()[header::CONTENT_SECURITY_POLICY]
        .to_str()
        .unwrap();
    assert!(policy.starts_with("default-src 'none'"), "{policy}");
    let page = text(response).await;
    assert_eq!(page.matches("<script").count(), 1, "{page}");
    assert!(!page.contains("<img"), "{page}");
    assert!(!page.contains("\" onload"), "{page}");
    assert!(page.contains("&lt;script&gt;alert(1)"));
}

#[tokio::test]
async fn status_page_has_no_external_resources() {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));

    let page = text(fixture.get("/").await).await;

    assert!(
        !page.contains("http://") && !page.contains("https://"),
        "{page}"
    );
    assert!(page.contains("<script src=\"/room.js\">"));
    assert!(page.contains("generation 1 is in force on all nodes (2)"));
    assert!(page.contains("reclaims in progress, 1:"));
}

#[test]
fn differing_generations_are_shown_with_their_age() {
    let mut status = operator_backend::status();
    status.nodes[1].generation = Generation(4);
    status.nodes[1].last_heard_ms = 7_000;
    status.nodes[0].state = NodeState::Suspect;
    status.nodes[0].last_heard_ms = 180_000;

    let page = render_status(&status, None);

    assert!(page.contains("views differ:"), "{page}");
    assert!(
        page.contains("node-a1 had generation 1 and does not answer, heard 3 min ago;"),
        "{page}"
    );
    assert!(page.contains("newest is 4"), "{page}");
    assert!(page.contains("heard 7 s ago"), "{page}");
}

#[test]
fn unknown_head_differs_from_no_manifest() {
    let mut status = operator_backend::status();

    let shown = (status.to_string(), render_status(&status, None));
    status
        .nodes
        .iter_mut()
        .for_each(|node| node.generation = Generation(0));
    let none = status.to_string();

    let expected = "who published generation 1 is not known here";
    assert!(
        shown.0.contains(expected) && shown.1.contains(expected),
        "{shown:?}"
    );
    assert!(none.contains("no manifest is known"), "{none}");
}

#[test]
fn node_without_a_report_has_no_age() {
    let mut status = operator_backend::status();
    status.nodes[1].state = NodeState::Suspect;
    status.nodes[1].last_heard_ms = NodeView::NEVER_HEARD;

    let page = render_status(&status, None);
    let text = status.to_string();

    assert!(
        page.contains("node-b1 had generation 1 and does not answer, not heard yet;"),
        "{page}"
    );
    assert!(text.contains("not heard yet"), "{text}");
}

#[tokio::test(start_paused = true)]
async fn status_report_is_cached() {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));
    let first = text(fixture.get("/v1/status").await).await;
    fixture
        .backend
        .change_status(|status| status.taken_at.0 += 1_000);

    let second = text(fixture.get("/v1/status").await).await;
    tokio::time::advance(Duration::from_millis(500)).await;
    let third = text(fixture.get("/v1/status").await).await;

    assert_eq!(first, second);
    assert_ne!(second, third);
}

#[test]
fn older_generation_is_shown_with_its_age() {
    let mut status = operator_backend::status();
    status.nodes[0].generation = Generation(5);
    status.nodes[1].last_heard_ms = 9_000;

    let page = render_status(&status, None);

    assert!(
        page.contains("node-b1 has generation 1, heard 9 s ago;"),
        "{page}"
    );
}

#[tokio::test(start_paused = true)]
async fn events_show_changes_until_shutdown() {
    let mut fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));
    let response = fixture.get("/events").await;
    let mut body = response.into_body();
    let frame = body.frame().await.unwrap().unwrap();
    let first = String::from_utf8(frame.into_data().unwrap().to_vec()).unwrap();
    fixture
        .backend
        .change_status(|status| status.nodes[0].generation = Generation(2));

    let frame = body.frame().await.unwrap().unwrap();
    let second = String::from_utf8(frame.into_data().unwrap().to_vec()).unwrap();
    drop(fixture.closing.take());
    let end = body.frame().await;

    assert!(first.starts_with("event: room\ndata: "), "{first}");
    assert!(first.contains("is in force on all nodes (2)"), "{first}");
    assert!(second.contains("views differ"), "{second}");
    assert!(end.is_none());
}

#[tokio::test]
async fn open_event_streams_are_limited_and_released() {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));

    let first = fixture.get("/events").await;
    let second = fixture.get("/events").await;
    drop(first);
    let third = fixture.get("/events").await;

    assert_eq!(second.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(third.status(), StatusCode::OK);
}

#[tokio::test]
async fn burn_report_requires_a_manifest() {
    let fixture = Fixture::new(FakeBackend::default());

    let before = fixture.get("/v1/burn").await.status();
    fixture.backend.accept("room", QUICKSTART);
    let after = fixture.get("/burn").await;

    assert_eq!(before, StatusCode::NOT_FOUND);
    assert!(text(after).await.contains("NO ANSWER FROM node-c1"));
}

#[tokio::test(start_paused = true)]
async fn burn_report_is_rebuilt_after_its_maximum_age() {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));
    let first = json(fixture.get("/v1/burn").await).await;
    fixture
        .backend
        .change_status(|status| status.taken_at.0 += 1_000);

    let second = json(fixture.get("/v1/burn").await).await;
    tokio::time::advance(Duration::from_secs(15)).await;
    let third = json(fixture.get("/v1/burn").await).await;

    assert_eq!(first["made_at_ms"], second["made_at_ms"]);
    assert_ne!(second["made_at_ms"], third["made_at_ms"]);
}

#[tokio::test(start_paused = true)]
async fn status_page_does_not_wait_for_a_burn_report() {
    let fixture = Fixture::new(FakeBackend::with_head(QUICKSTART));
    fixture.backend.set_burn_delay(Duration::from_secs(20));
    let started = tokio::time::Instant::now();

    let first = text(fixture.get("/").await).await;
    let waited = started.elapsed();
    tokio::time::sleep(Duration::from_secs(21)).await;
    let second = text(fixture.get("/").await).await;

    assert_eq!(waited, Duration::ZERO);
    assert!(first.contains("not known yet"), "{first}");
    assert!(second.contains("no answer from node-c1"), "{second}");
}

#[tokio::test]
async fn publications_are_counted_by_outcome() {
    let fixture = Fixture::new(FakeBackend::default());
    fixture.put(Some("\"0\""), QUICKSTART).await;
    fixture.put(Some("\"0\""), QUICKSTART).await;

    let metrics = text(fixture.get("/metrics").await).await;

    let accepted = "verbenahead_manifest_publications_total{outcome=\"accepted\"} 1";
    let conflict = "verbenahead_manifest_publications_total{outcome=\"conflict\"} 1";
    assert!(
        metrics.contains(accepted) && metrics.contains(conflict),
        "{metrics}"
    );
}

#[test]
fn metrics_page_lists_each_metric() {
    let fixture = Fixture::new(FakeBackend::default());
    let m = &fixture.metrics;
    for counters in [
        &m.requests,
        &m.tokens,
        &m.attempts,
        &m.stream_moves,
        &m.refusals,
        &m.connections_closed,
    ] {
        touch(counters, |labels| counters.with_label_values(labels).inc());
    }
    for counters in [&m.ledger_calls, &m.platform_calls, &m.publications] {
        touch(counters, |labels| counters.with_label_values(labels).inc());
    }
    for gauges in [
        &m.requests_in_progress,
        &m.nodes,
        &m.upstreams,
        &m.connections,
    ] {
        touch(gauges, |labels| gauges.with_label_values(labels).inc());
    }
    for histograms in [&m.first_token, &m.inter_token, &m.platform_call_time] {
        touch(histograms, |labels| {
            histograms.with_label_values(labels).observe(0.1);
        });
    }

    let encoded = m.encode().unwrap();

    let names = encoded
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP "));
    let names: Vec<_> = names.filter_map(|line| line.split(' ').next()).collect();
    assert_eq!(names.len(), 23);
    for name in names {
        assert!(
            METRICS_PAGE.contains(&format!("`{name}`")),
            "{name} is not on the page"
        );
    }
}

/// Creates a series of a metric, since a metric without a series is not exported.
fn touch(collector: &impl prometheus::core::Collector, observe: impl FnOnce(&[&str])) {
    let labels = collector.desc()[0].variable_labels.len();
    observe(&vec!["x"; labels]);
}
