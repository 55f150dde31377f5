//! Parsing of numbers within a range.

use std::ops::RangeInclusive;

/// Parses a whole number within `range`. The error is the message of a finding.
pub(super) fn integer(text: &str, range: &RangeInclusive<u64>) -> Result<u64, String> {
    let is_integral = text.bytes().all(|b| b.is_ascii_digit());
    let is_negative = text.starts_with('-');
    if !is_integral && !is_negative {
        return Err(format!("expected a whole number, found {text}"));
    }
    match text.parse() {
        Ok(number) if range.contains(&number) => Ok(number),
        _ => Err(out_of_range(text, range.start(), range.end())),
    }
}

/// Parses a number within `range`. The error is the message of a finding.
pub(super) fn decimal(text: &str, range: &RangeInclusive<f64>) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(number) if range.contains(&number) => Ok(number),
        _ => Err(out_of_range(text, range.start(), range.end())),
    }
}

fn out_of_range<T: PartialOrd + Copy + Into<Bound>>(text: &str, min: &T, max: &T) -> String {
    let (min, max): (Bound, Bound) = ((*min).into(), (*max).into());
    if max.is_unlimited {
        return format!("{text} is out of range; it must be at least {}", min.text);
    }
    format!(
        "{text} is out of range; it must be between {} and {}",
        min.text, max.text
    )
}

/// `Bound` is the text of one end of a range. The largest value of a type stands for no limit.
struct Bound {
    text: String,
    is_unlimited: bool,
}

impl From<u64> for Bound {
    fn from(bound: u64) -> Self {
        Self {
            text: bound.to_string(),
            is_unlimited: bound == u64::MAX,
        }
    }
}

impl From<f64> for Bound {
    fn from(bound: f64) -> Self {
        Self {
            text: bound.to_string(),
            is_unlimited: bound == f64::MAX,
        }
    }
}
