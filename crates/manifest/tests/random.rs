//! Property tests: random manifests round-trip, and findings of damaged texts have valid places.

use std::time::Duration;

use proptest::{
    collection::{btree_set, vec},
    option,
    prelude::*,
    sample::{Index, select},
    test_runner::{Config, RngSeed},
};
use verbenahead_core::{
    Digest,
    units::{HourlyPrice, TokenRate, Tokens},
};
use verbenahead_manifest::{
    CallRule, EngineFencing, FleetPlan, Manifest, ManifestWire, MissingKeyPolicy, ModelService,
    ObjectiveOverride, Objectives, PlainService, Priority, RoutingWeights, Service, ServiceKind,
    VmClass, Workspace, ZonePrice, diff, parse,
};

const QUICKSTART: &str = include_str!("../../../examples/manifest.jsonc");

fn config(seed: u64, cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn names() -> impl Strategy<Value = Vec<String>> {
    btree_set("[a-z][a-z0-9-]{0,11}", 1..5).prop_map(|names| names.into_iter().collect())
}

fn priority() -> impl Strategy<Value = Priority> {
    select(vec![
        Priority::Batch,
        Priority::Normal,
        Priority::Interactive,
    ])
}

fn objectives() -> impl Strategy<Value = Objectives> {
    (1..1_000_u64, 1..1_000_u64, 0.5..0.999_f64, 0.5..0.999_f64).prop_map(
        |(first_token, inter_token, latency_ratio, availability_ratio)| Objectives {
            first_token: Duration::from_millis(first_token),
            inter_token: Duration::from_millis(inter_token),
            latency_ratio,
            availability_ratio,
        },
    )
}

fn workspace(id: String) -> impl Strategy<Value = Workspace> {
    (1..1_000_u32, priority(), option::of(1.0..1e9_f64)).prop_map(
        move |(share, priority, limit)| Workspace {
            id: id.parse().unwrap(),
            key_digests: vec![Digest::of(&id)],
            share,
            priority,
            token_limit: limit.map(TokenRate),
        },
    )
}

fn model(id: String) -> impl Strategy<Value = ServiceKind> {
    (1..100_000_u64, any::<bool>(), 0.1..10.0_f64, 0.0..10.0_f64).prop_map(
        move |(max_answer, is_checked, first_token, cost)| {
            ServiceKind::Model(ModelService {
                models: vec![format!("{id}-small"), format!("{id} \"large\"")],
                max_answer: Tokens(max_answer),
                fencing: if is_checked {
                    EngineFencing::Checked
                } else {
                    EngineFencing::Ignored
                },
                weights: RoutingWeights {
                    first_token,
                    cost,
                    ..RoutingWeights::default()
                },
            })
        },
    )
}

fn plain() -> impl Strategy<Value = ServiceKind> {
    (any::<bool>(), 60_000..10_000_000_u64).prop_map(|(is_generated, retention)| {
        let rule = |method: &str, idempotent, missing_key| CallRule {
            method: method.to_owned(),
            path_prefix: "/".to_owned(),
            idempotent,
            missing_key,
        };
        let missing_key = if is_generated {
            MissingKeyPolicy::Generate
        } else {
            MissingKeyPolicy::Refuse
        };
        ServiceKind::Plain(PlainService {
            calls: vec![
                rule("POST", false, missing_key),
                rule("*", true, MissingKeyPolicy::default()),
            ],
            ledger_retention: Duration::from_millis(retention),
        })
    })
}

fn fleet(zone: String) -> impl Strategy<Value = FleetPlan> {
    (0..10_u32, 0..10_u32, 0.001..1e6_f64, 0.0..100.0_f64).prop_map(
        move |(min, more, capacity, price)| FleetPlan {
            min_upstreams: min,
            max_upstreams: min + more + 1,
            classes: vec![VmClass {
                name: "small".to_owned(),
                capacity: TokenRate(capacity),
                reclaimable_price: HourlyPrice(price),
                on_demand_price: HourlyPrice(price * 3.0),
                zone_prices: vec![ZonePrice {
                    zone: zone.parse().unwrap(),
                    reclaimable_price: HourlyPrice(price / 3.0),
                    on_demand_price: HourlyPrice(price),
                }],
            }],
        },
    )
}

fn service(id: String, zone: String) -> impl Strategy<Value = Service> {
    let kind = prop_oneof![model(id.clone()).boxed(), plain().boxed()];
    let times = (1_000..60_000_u64, 1..1_000_u64);
    (kind, times, objectives(), option::of(fleet(zone))).prop_map(
        move |(kind, (request, progress), objectives, fleet)| Service {
            id: id.parse().unwrap(),
            kind,
            request_timeout: Duration::from_millis(request),
            progress_timeout: Duration::from_millis(progress),
            objectives,
            fleet,
        },
    )
}

fn manifest() -> impl Strategy<Value = Manifest> {
    (names(), names(), names(), objectives()).prop_flat_map(
        |(zones, workspaces, services, objectives)| {
            let zone = zones[0].clone();
            let workspaces: Vec<_> = workspaces.into_iter().map(workspace).collect();
            let service = |id| service(id, zone.clone());
            let services: Vec<_> = services.into_iter().map(service).collect();
            (workspaces, services).prop_map(move |(workspaces, services)| Manifest {
                deployment: "a \"quoted\" \\ name".to_owned(),
                availability_zones: zones.iter().map(|zone| zone.parse().unwrap()).collect(),
                objective_overrides: vec![ObjectiveOverride {
                    workspace: workspaces[0].id.clone(),
                    service: services[0].id.clone(),
                    objectives,
                }],
                workspaces,
                services,
            })
        },
    )
}

/// Replaces ranges of the example by short sequences of characters that are significant in JSON.
fn damaged() -> impl Strategy<Value = String> {
    let edit = (
        any::<Index>(),
        0..20_usize,
        "[{}\\[\\]:,\"/*0-9a-z\\\\. é\n-]{0,6}",
    );
    vec(edit, 1..4).prop_map(|edits| {
        let mut text: Vec<char> = QUICKSTART.chars().collect();
        for (index, length, insert) in edits {
            let start = index.index(text.len());
            let end = (start + length).min(text.len());
            text.splice(start..end, insert.chars());
        }
        text.into_iter().collect()
    })
}

proptest! {
    #![proptest_config(config(31, 256))]

    #[test]
    fn a_manifest_round_trips_through_its_wire_form(manifest in manifest()) {
        let wire = ManifestWire::from(&manifest);

        let read = Manifest::try_from(wire);

        prop_assert_eq!(read.map_err(|findings| findings.to_string()), Ok(manifest));
    }

    #[test]
    fn the_diff_is_empty_only_for_equal_manifests(old in manifest(), new in manifest()) {
        let changes = diff(&old, &new);
        let none = diff(&old, &old);

        prop_assert_eq!(changes.is_empty(), old == new);
        prop_assert!(none.is_empty());
    }
}

proptest! {
    #![proptest_config(config(32, 2_000))]

    #[test]
    fn findings_of_a_damaged_manifest_have_valid_places(text in damaged()) {
        let result = parse("m", &text);

        let lines = text.lines().count().max(1);
        if let Err(findings) = result {
            prop_assert!(!findings.is_empty());
            for finding in findings.iter() {
                let place = &finding.place;
                prop_assert!((1..=lines + 1).contains(&place.line), "{finding}");
                prop_assert!(place.column >= 1, "{finding}");
            }
        }
    }
}
