//! Arguments of commands that call a node.

use std::{future::Future, net::SocketAddr, path::PathBuf};

use anyhow::Context;
use clap::Args;
use verbenahead::settings::SecretReference;

use super::client::OperatorClient;

/// Default environment variable with the credential.
const DEFAULT_CREDENTIAL_ENV: &str = "VERBENAHEAD_CREDENTIAL";

/// `OperatorArgs` say which nodes to call and with which credential.
#[derive(Debug, Args)]
pub(crate) struct OperatorArgs {
    /// Addresses of the operator listeners of some nodes. The first reachable node is used.
    #[arg(
        long,
        value_name = "ADDR,…",
        value_delimiter = ',',
        required = true,
        env = "VERBENAHEAD_OPERATOR"
    )]
    operator: Vec<SocketAddr>,
    /// File with the credential. Without it, the credential comes from the environment.
    #[arg(long, value_name = "FILE", env = "VERBENAHEAD_CREDENTIAL_FILE")]
    credential_file: Option<PathBuf>,
    /// Environment variable with the credential.
    #[arg(long, value_name = "NAME", default_value = DEFAULT_CREDENTIAL_ENV)]
    credential_env: String,
}

impl OperatorArgs {
    /// Builds a client of the operator API.
    ///
    /// # Errors
    ///
    /// Returns an error when the credential cannot be read.
    pub(crate) fn client(&self) -> anyhow::Result<OperatorClient> {
        let reference = match &self.credential_file {
            Some(path) => SecretReference::File(path.clone()),
            None => SecretReference::Env(self.credential_env.clone()),
        };
        Ok(OperatorClient::new(
            self.operator.clone(),
            reference.load()?,
        ))
    }
}

/// Runs the calls of a command to completion.
pub(crate) fn block_on<T>(calls: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime")?;
    runtime.block_on(calls)
}
