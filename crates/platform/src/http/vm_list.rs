//! The list of VMs over HTTP.

use async_trait::async_trait;
use http::{Method, StatusCode};

use super::platform::{HttpPlatform, decode, read_error, unexpected_status};
use crate::{
    errors::Result,
    vm_list::{VmList, VmRecord},
};

const SERVICE: &str = "VM list";

#[async_trait]
impl VmList for HttpPlatform {
    async fn vms(&self) -> Result<Vec<VmRecord>> {
        let answer = self.calls.send(Method::GET, "/v1/vms").await;
        let answer = answer.map_err(|error| read_error(SERVICE, error))?;
        if answer.status != StatusCode::OK {
            return Err(unexpected_status(SERVICE, &answer));
        }
        decode(SERVICE, &answer)
    }
}
