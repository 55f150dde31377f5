//! The API for VMs over HTTP.

use async_trait::async_trait;
use http::{Method, StatusCode};
use verbenahead_core::{Incarnation, VmId};

use super::{
    platform::HttpPlatform,
    wire::{StartRefusedBody, StartedBody, percent_encode},
};
use crate::{
    calls::{Answer, decode, read_error, unexpected_status, write_error},
    cloud::{Cloud, ReclaimNotice, StartOutcome, StartVm},
    errors::Result,
    table::WriteOutcome,
};

const SERVICE: &str = "cloud";

#[async_trait]
impl Cloud for HttpPlatform {
    async fn start(&self, req: &StartVm) -> StartOutcome {
        match self.calls.post("/v1/vms", req).await {
            Ok(answer) => start_outcome(&answer),
            Err(error) => StartOutcome::Unknown(error.to_string()),
        }
    }

    async fn stop(&self, vm: &VmId, incarnation: Incarnation) -> WriteOutcome {
        let vm = percent_encode(vm.as_str());
        let path = format!("/v1/vms/{vm}?incarnation={incarnation}");
        match self.calls.send(Method::DELETE, &path).await {
            Ok(answer) if answer.status.is_success() => WriteOutcome::Done(Vec::new()),
            Ok(answer) => WriteOutcome::Unknown(unexpected_status(SERVICE, &answer).to_string()),
            Err(error) => write_error(error),
        }
    }

    async fn notices(&self) -> Result<Vec<ReclaimNotice>> {
        let answer = self.calls.send(Method::GET, "/v1/notices").await;
        let answer = answer.map_err(|error| read_error(SERVICE, error))?;
        if answer.status != StatusCode::OK {
            return Err(unexpected_status(SERVICE, &answer));
        }
        decode(SERVICE, &answer)
    }
}

fn start_outcome(answer: &Answer) -> StartOutcome {
    if answer.status.is_success() {
        return match decode::<StartedBody>(SERVICE, answer) {
            Ok(body) => StartOutcome::Started(body.vm),
            Err(error) => StartOutcome::Unknown(error.to_string()),
        };
    }
    if answer.status != StatusCode::CONFLICT {
        return StartOutcome::Unknown(unexpected_status(SERVICE, answer).to_string());
    }
    match decode::<StartRefusedBody>(SERVICE, answer) {
        Ok(body) => StartOutcome::Refused(body.reason),
        Err(error) => StartOutcome::Unknown(error.to_string()),
    }
}
