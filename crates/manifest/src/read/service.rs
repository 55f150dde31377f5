//! Parsing of services.

use std::time::Duration;

use verbenahead_core::{
    AvailabilityZone, HashMap, ServiceId,
    document::{Listed, Node, Object},
    units::Tokens,
};

use crate::model::{
    EngineFencing, ModelService, Objectives, PlainService, RoutingWeights, Service, ServiceKind,
};

use super::{fleet, objectives, plain};

const SERVICE_KEYS: &[&str] = &[
    "id",
    "model",
    "plain",
    "request_timeout_ms",
    "progress_timeout_ms",
    "objectives",
    "fleet",
];

const MODEL_KEYS: &[&str] = &["models", "max_answer_tokens", "fencing", "weights"];

const WEIGHT_KEYS: &[&str] = &["first_token", "recomputed_tokens", "cost", "zone_crossing"];

const FENCING_VALUES: &[&str] = &["checked", "ignored"];

/// Maximum timeout of a request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 24 * 60 * 60 * 1_000;

const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(120);

const DEFAULT_PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum value of `max_answer_tokens`.
const MAX_ANSWER_TOKENS: u64 = 10_000_000;

/// Maximum weight of a term of the routing score.
const MAX_WEIGHT: f64 = 1_000.0;

/// Parses the services and checks that their ids and models are unique.
pub(super) fn read_list<'d>(
    node: &Node<'d>,
    zones: Option<&Listed<'_, AvailabilityZone>>,
) -> Option<Listed<'d, Service>> {
    let mut model_paths = HashMap::default();
    let listed = node.list(|node| read(node, zones, &mut model_paths))?;
    let listed = listed.not_empty("service");
    Some(listed.unique("service id", |service| service.id.clone()))
}

fn read(
    node: &Node<'_>,
    zones: Option<&Listed<'_, AvailabilityZone>>,
    model_paths: &mut HashMap<String, String>,
) -> Option<Service> {
    let object = node.object(SERVICE_KEYS)?;
    let id: Option<ServiceId> = object.required("id").and_then(|node| node.parse());
    let kind = read_kind(&object, model_paths);
    let request_timeout = read_timeout(&object, "request_timeout_ms", DEFAULT_REQUEST_TIMEOUT);
    let progress_timeout = read_timeout(&object, "progress_timeout_ms", DEFAULT_PROGRESS_TIMEOUT);
    let objectives = object.read_or("objectives", Objectives::default(), objectives::read);
    let fleet = object.read_optional("fleet", |node| fleet::read(node, zones));
    let service = Service {
        id: id?,
        kind: kind?,
        request_timeout: request_timeout?,
        progress_timeout: progress_timeout?,
        objectives: objectives?,
        fleet: fleet?,
    };
    check_durations(&object, &service);
    Some(service)
}

fn read_kind(
    object: &Object<'_>,
    model_paths: &mut HashMap<String, String>,
) -> Option<ServiceKind> {
    match (object.optional("model"), object.optional("plain")) {
        (Some(node), None) => read_model(&node, model_paths).map(ServiceKind::Model),
        (None, Some(node)) => plain::read(&node).map(ServiceKind::Plain),
        (Some(_), Some(plain)) => {
            plain.report("a service has either `model` or `plain`, not both");
            None
        }
        (None, None) => {
            let message = "a service needs one of the keys `model` and `plain`";
            object.node().report(message);
            None
        }
    }
}

fn read_model(node: &Node<'_>, model_paths: &mut HashMap<String, String>) -> Option<ModelService> {
    let object = node.object(MODEL_KEYS)?;
    let models = object
        .required("models")
        .and_then(|node| read_models(&node, model_paths));
    let max_answer = object
        .required("max_answer_tokens")
        .and_then(|node| node.integer(1..=MAX_ANSWER_TOKENS))
        .map(Tokens);
    let fencing = object.read_or("fencing", EngineFencing::default(), |node| {
        node.choice(FENCING_VALUES)
    });
    let weights = object.read_or("weights", RoutingWeights::default(), read_weights);
    Some(ModelService {
        models: models?,
        max_answer: max_answer?,
        fencing: fencing?,
        weights: weights?,
    })
}

fn read_models(node: &Node<'_>, model_paths: &mut HashMap<String, String>) -> Option<Vec<String>> {
    let models = node.list(|node| {
        let model = node.text()?;
        if let Some(first) = model_paths.insert(model.clone(), node.path().to_owned()) {
            node.report(format!("the model `{model}` is already offered at {first}"));
        }
        Some(model)
    })?;
    Some(models.not_empty("model").into_values())
}

fn read_weights(node: &Node<'_>) -> Option<RoutingWeights> {
    let object = node.object(WEIGHT_KEYS)?;
    let default = RoutingWeights::default();
    let weight = |key, default| {
        object.read_or(key, default, |node: &Node<'_>| {
            node.decimal(0.0..=MAX_WEIGHT)
        })
    };
    let first_token = weight("first_token", default.first_token);
    let recomputed_tokens = weight("recomputed_tokens", default.recomputed_tokens);
    let cost = weight("cost", default.cost);
    let zone_crossing = weight("zone_crossing", default.zone_crossing);
    let weights = RoutingWeights {
        first_token: first_token?,
        recomputed_tokens: recomputed_tokens?,
        cost: cost?,
        zone_crossing: zone_crossing?,
    };
    if weights.first_token + weights.recomputed_tokens + weights.cost == 0.0 {
        node.report("one of `first_token`, `recomputed_tokens` and `cost` must be above 0");
    }
    Some(weights)
}

fn read_timeout(object: &Object<'_>, key: &'static str, default: Duration) -> Option<Duration> {
    object.read_or(key, default, |node| node.millis(1..=MAX_TIMEOUT_MS))
}

fn check_durations(object: &Object<'_>, service: &Service) {
    let limit = service.request_timeout.as_millis();
    let exceeds_timeout = |duration: Duration| duration > service.request_timeout;
    if exceeds_timeout(service.progress_timeout) {
        let message = format!("`progress_timeout_ms` is above the request timeout of {limit} ms");
        object.node().report(message);
    }
    if exceeds_timeout(service.objectives.first_token) {
        let message = format!("`first_token_ms` is above the request timeout of {limit} ms");
        object.node().report(message);
    }
    check_retention(object, service);
}

fn check_retention(object: &Object<'_>, service: &Service) {
    let ServiceKind::Plain(PlainService {
        ledger_retention, ..
    }) = &service.kind
    else {
        return;
    };
    // If a row expired while its call may still run, a retry would run the call again.
    if *ledger_retention < service.request_timeout {
        let limit = service.request_timeout.as_millis();
        let message = format!("`ledger_retention_ms` is below the request timeout of {limit} ms");
        object.node().report(message);
    }
}
