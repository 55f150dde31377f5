//! Whether a call ran at an upstream.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `RunOutcome` tells a caller whether its call ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The call did not run and no attempt of it can still run.
    #[display("not_run")]
    NotRun,
    /// The call ran.
    #[display("run")]
    Run,
    /// It is unknown whether the call ran.
    #[display("unknown")]
    Unknown,
}
