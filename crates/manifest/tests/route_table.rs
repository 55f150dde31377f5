//! Tests of the route table.

use std::time::Duration;

use rstest::rstest;
use verbenahead_core::{
    Digest, Generation, ServiceId, WorkspaceId,
    units::{ByteSize, Tokens},
};
use verbenahead_manifest::{
    CallerLimits, Quota, QuotaUnit, RetrySafety, Route, RouteTable, RouteTarget, RoutedWorkspace,
};

fn limits() -> CallerLimits {
    CallerLimits {
        max_header: ByteSize(16_384),
        max_body: ByteSize(4_194_304),
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}

fn service(name: &str) -> ServiceId {
    ServiceId::try_new(name).expect("valid id")
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        retry_safety: RetrySafety::Idempotent,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(300),
        gap_objective: None,
        rank: 0,
        targets: vec![RouteTarget {
            service: service("desk"),
            weight: 1,
        }],
        max_attempts: 2,
        allows_anonymous: false,
        has_prompts: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(Generation(7), routes, Vec::new(), Vec::new(), limits())
}

fn permits() -> RouteTable {
    table(vec![
        route("all", "permits.example", "/"),
        route("file", "permits.example", "/file/"),
        route("urgent", "permits.example", "/file/urgent/"),
        route("other", "other.example", "/file/"),
    ])
}

#[rstest]
#[case::longest("permits.example", "/file/urgent/7", Some("urgent"))]
#[case::shorter("permits.example", "/file/7", Some("file"))]
#[case::whole_prefix_only("permits.example", "/filet/7", Some("all"))]
#[case::other_host("other.example", "/file/7", Some("other"))]
#[case::no_route("other.example", "/lookup", None)]
#[case::no_host("nobody.example", "/file/7", None)]
#[case::with_port("permits.example:8080", "/file/7", Some("file"))]
#[case::in_capitals("Permits.Example", "/file/7", Some("file"))]
#[case::empty_host("", "/file/7", None)]
fn the_longest_matching_prefix_of_the_host_is_selected(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = permits();

    let found = table.route(host, path).map(|route| &*route.name);

    assert_eq!(found, expected);
}

#[rstest]
#[case::first(0.0, "desk")]
#[case::end_of_first(0.89, "desk")]
#[case::second(0.91, "spare")]
#[case::end(1.0, "spare")]
fn requests_are_distributed_over_targets_by_weight(#[case] sample: f64, #[case] expected: &str) {
    let mut route = route("split", "permits.example", "/");
    route.targets = vec![
        RouteTarget {
            service: service("desk"),
            weight: 90,
        },
        RouteTarget {
            service: service("spare"),
            weight: 10,
        },
    ];

    let target = route.target(sample).expect("there is a target");

    assert_eq!(target.service, service(expected));
}

#[test]
fn a_target_with_zero_weight_gets_no_requests() {
    let mut route = route("split", "permits.example", "/");
    route.targets = vec![RouteTarget {
        service: service("desk"),
        weight: 0,
    }];

    assert_eq!(route.target(0.5), None);
}

#[test]
fn keys_are_resolved_to_their_workspace() {
    let workspace = |name: &str, keys: &[&str]| RoutedWorkspace {
        id: WorkspaceId::try_new(name).expect("valid id"),
        key_digests: keys.iter().map(Digest::of).collect(),
        rank: None,
        quota: None,
    };
    let workspaces = vec![
        workspace("paving", &["k1", "k2"]),
        workspace("gas", &["k3"]),
    ];
    let table = RouteTable::new(Generation(1), Vec::new(), Vec::new(), workspaces, limits());

    let owner = |key: &str| {
        let found = table.workspace_of_key(&Digest::of(key));
        found.map(|workspace| workspace.id.as_str().to_owned())
    };

    assert_eq!(owner("k2").as_deref(), Some("paving"));
    assert_eq!(owner("k3").as_deref(), Some("gas"));
    assert_eq!(owner("k4"), None);
}

#[rstest]
#[case::requests(QuotaUnit::Requests, Some(Tokens(900)), 1)]
#[case::tokens(QuotaUnit::Tokens { default_cost: Tokens(200) }, Some(Tokens(900)), 900)]
#[case::without_size(QuotaUnit::Tokens { default_cost: Tokens(200) }, None, 200)]
fn the_cost_of_a_request_depends_on_the_unit(
    #[case] unit: QuotaUnit,
    #[case] size: Option<Tokens>,
    #[case] cost: u64,
) {
    let quota = Quota {
        unit,
        rate: 1.0,
        burst: 1.0,
    };

    assert_eq!(quota.cost(size), cost);
}
