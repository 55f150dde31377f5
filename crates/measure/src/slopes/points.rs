//! Measured points and their least-squares line, printed as records.

use anyhow::Context;

use crate::{record::Record, registry::MeasureOptions, slopes::fit::LinearFit};

const MEASURE: &str = "slopes";

/// `Points` are the values of one figure at several sizes.
pub struct Points<'a> {
    profile: &'a str,
    /// Measured quantity with its unit and, where needed, the role of the node.
    figure: &'a str,
    /// Unit of the sizes, in the singular.
    per: &'a str,
    seed: u64,
    points: Vec<(f64, f64)>,
}

impl<'a> Points<'a> {
    /// Builds an empty series of `figure`, a quantity with its unit, over sizes counted in `per`.
    pub fn new(options: &MeasureOptions, profile: &'a str, figure: &'a str, per: &'a str) -> Self {
        Self {
            profile,
            figure,
            per,
            seed: options.seed,
            points: Vec::new(),
        }
    }

    /// Adds the value at a size and prints it.
    ///
    /// # Errors
    ///
    /// When the record cannot be written.
    pub fn push(&mut self, size: f64, value: f64) -> anyhow::Result<()> {
        self.points.push((size, value));
        self.print(&format!("at {size} {}", self.per), value)
    }

    /// Prints the least-squares line through the points.
    ///
    /// # Errors
    ///
    /// When there are fewer than two distinct sizes or the record cannot be written.
    pub fn print_fit(&self) -> anyhow::Result<()> {
        let fit = LinearFit::through(&self.points)
            .context("fewer than two distinct sizes to fit a line")?;
        self.print("fit: intercept", fit.intercept)?;
        self.print(&format!("fit: slope per {}", self.per), fit.slope)?;
        self.print("fit: r squared", fit.r_squared)
    }

    fn print(&self, policy: &str, value: f64) -> anyhow::Result<()> {
        let record = Record {
            measure: MEASURE,
            profile: self.profile,
            policy,
            seed: self.seed,
            value,
            unit: self.figure,
        };
        record.print()
    }
}
