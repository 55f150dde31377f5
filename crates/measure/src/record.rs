//! The output of measurements.

use serde::Serialize;

/// `Record` is one measured figure, printed as a line of JSON.
#[derive(Debug, Clone, Serialize)]
pub struct Record<'a> {
    /// Name of the measurement.
    pub measure: &'a str,
    /// Profile of the deployment and the conditions, such as `cascade/zone_reclaimed`.
    pub profile: &'a str,
    /// Policy or variant that was measured; baselines are named here too.
    pub policy: &'a str,
    /// Seed of the run.
    pub seed: u64,
    /// The figure.
    pub value: f64,
    /// Unit of the figure.
    pub unit: &'a str,
}

impl Record<'_> {
    /// Prints the record on standard output.
    ///
    /// # Errors
    ///
    /// When the record cannot be written as JSON.
    pub fn print(&self) -> anyhow::Result<()> {
        println!("{}", serde_json::to_string(self)?);
        Ok(())
    }
}
