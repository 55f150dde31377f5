//! Least-squares lines.

/// `LinearFit` is the line that fits points best in the sense of least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Value at zero.
    pub intercept: f64,
    /// Growth for each unit of the first coordinate.
    pub slope: f64,
    /// Part of the variance that the line explains, between 0 and 1. It is 1 when all values are
    /// the same.
    pub r_squared: f64,
}

impl LinearFit {
    /// Fits a line through points. Returns `None` without two different first coordinates.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |term: fn(f64, f64) -> f64| -> f64 {
            let terms = points.iter().map(|(x, y)| term(x - mean_x, y - mean_y));
            terms.sum()
        };
        let square_x = sum(|x, _| x * x);
        if points.is_empty() || square_x == 0.0 {
            return None;
        }
        let product = sum(|x, y| x * y);
        let square_y = sum(|_, y| y * y);
        let slope = product / square_x;
        let r_squared = if square_y == 0.0 {
            1.0
        } else {
            product * product / (square_x * square_y)
        };
        Some(Self {
            intercept: mean_y - slope * mean_x,
            slope,
            r_squared,
        })
    }
}
