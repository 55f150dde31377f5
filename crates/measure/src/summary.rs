//! Median, minimum and maximum of a figure over seeds.

use crate::record::Record;

/// `Series` holds the values of one figure over several seeds.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name of the measurement.
    pub measure: &'static str,
    /// Profile and conditions.
    pub profile: String,
    /// Measured policy.
    pub policy: String,
    /// Unit of the figure.
    pub unit: &'static str,
    values: Vec<(u64, f64)>,
}

impl Series {
    /// Builds an empty series.
    pub fn new(
        measure: &'static str,
        profile: impl Into<String>,
        policy: impl Into<String>,
        unit: &'static str,
    ) -> Self {
        Self {
            measure,
            profile: profile.into(),
            policy: policy.into(),
            unit,
            values: Vec::new(),
        }
    }

    /// Adds the value for a seed.
    pub fn push(&mut self, seed: u64, value: f64) {
        self.values.push((seed, value));
    }

    /// Returns the median, NaN for an empty series.
    pub fn median(&self) -> f64 {
        let sorted = self.sorted();
        let middle = sorted.len() / 2;
        match sorted.len() {
            0 => f64::NAN,
            len if len % 2 == 1 => sorted[middle],
            _ => f64::midpoint(sorted[middle - 1], sorted[middle]),
        }
    }

    /// Prints the value for each seed, then the median, the minimum and the maximum.
    ///
    /// # Errors
    ///
    /// When a record cannot be written as JSON.
    pub fn print(&self) -> anyhow::Result<()> {
        for (seed, value) in &self.values {
            self.record(self.measure, *seed, *value).print()?;
        }
        let first = self.values.first().map_or(0, |(seed, _)| *seed);
        let sorted = self.sorted();
        let statistics = [
            ("median", Some(self.median())),
            ("least", sorted.first().copied()),
            ("most", sorted.last().copied()),
        ];
        for (name, value) in statistics {
            let measure = format!("{}.{name}", self.measure);
            self.record(&measure, first, value.unwrap_or(f64::NAN))
                .print()?;
        }
        Ok(())
    }

    fn sorted(&self) -> Vec<f64> {
        let mut sorted: Vec<_> = self.values.iter().map(|(_, value)| *value).collect();
        sorted.sort_by(f64::total_cmp);
        sorted
    }

    fn record<'a>(&'a self, measure: &'a str, seed: u64, value: f64) -> Record<'a> {
        Record {
            measure,
            profile: &self.profile,
            policy: &self.policy,
            seed,
            value,
            unit: self.unit,
        }
    }
}
