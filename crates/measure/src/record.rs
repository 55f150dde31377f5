//! Measured figures as JSON lines.

use serde::Serialize;

/// `Record` is one measured figure, printed as one JSON line.
#[derive(Debug, Clone, Serialize)]
pub struct Record<'a> {
    /// Name of the measurement.
    pub measure: &'a str,
    /// Profile of the deployment and the conditions, such as `cascade/zone_reclaimed`.
    pub profile: &'a str,
    /// Measured policy, variant or baseline.
    pub policy: &'a str,
    /// Seed of the run.
    pub seed: u64,
    /// The figure.
    pub value: f64,
    /// Unit of the figure.
    pub unit: &'a str,
}

impl Record<'_> {
    /// Prints the record to standard output.
    ///
    /// # Errors
    ///
    /// When the record cannot be written as JSON.
    pub fn print(&self) -> anyhow::Result<()> {
        println!("{}", serde_json::to_string(self)?);
        Ok(())
    }
}
