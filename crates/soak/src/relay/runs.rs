//! Reads the runs that the replicas have recorded.

use std::collections::HashMap;

use http::HeaderMap;
use verbenahead_standins::users::RecordedRun;

use super::{
    caller::{MODEL, TOKEN_COUNT, body_of, target_of},
    configuration::WORKSPACE,
    fleet::Fleet,
    records::{RequestRecord, Run, lock},
};

/// `RunsById` holds the runs of all replicas by the id of the request, each with the index of its replica.
pub type RunsById = HashMap<String, Vec<(usize, RecordedRun)>>;

/// Reads the runs of all replicas.
pub fn read_runs(fleet: &Fleet) -> RunsById {
    let mut runs = RunsById::new();
    for (replica, slot) in lock(&fleet.replicas).iter().enumerate() {
        for run in slot.standin.runs() {
            let of_request = runs.entry(run.id.clone()).or_default();
            of_request.push((replica, run));
        }
    }
    runs
}

/// Returns the runs of a request in the order of their begin.
pub fn runs_of(fleet: &Fleet, runs: &RunsById, request: &RequestRecord) -> Vec<Run> {
    let replicas = lock(&fleet.replicas);
    let recorded = runs.get(&request.id).map_or(&[][..], Vec::as_slice);
    let mut runs: Vec<Run> = recorded
        .iter()
        .map(|(index, run)| {
            let replica = &replicas[*index];
            let state = lock(&replica.state);
            Run {
                replica: replica.id.clone(),
                at: run.at,
                is_moved: run.headers.contains_key("kv-from"),
                end: run.end,
                is_faithful: is_faithful(request, run),
                notice: state.notice_known_at,
                gone_at: state.gone_at,
            }
        })
        .collect();
    runs.sort_by_key(|run| run.at);
    runs
}

/// Returns whether a replica got what the caller sent.
fn is_faithful(request: &RequestRecord, run: &RecordedRun) -> bool {
    let model = request.kind.is_stream().then_some(MODEL);
    let tokens = request.kind.is_stream().then_some(TOKEN_COUNT);
    run.method == http::Method::POST
        && run.target == target_of(request.kind, &request.id)
        && run.body == body_of(&request.id)
        && text(&run.headers, "tenant") == Some(WORKSPACE)
        && text(&run.headers, "model") == model
        && text(&run.headers, "token-count") == tokens
        && !run.headers.contains_key("authorization")
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
