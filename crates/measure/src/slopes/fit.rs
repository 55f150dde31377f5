//! Least-squares lines.

/// `LinearFit` is the least-squares line through a set of points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinearFit {
    /// Value at x = 0.
    pub intercept: f64,
    /// Increase of y per unit of x.
    pub slope: f64,
    /// Coefficient of determination, between 0 and 1; 1 when all y values are equal.
    pub r_squared: f64,
}

impl LinearFit {
    /// Fits a line through `(x, y)` points. Returns `None` without two distinct x values.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum = |term: fn(f64, f64) -> f64| -> f64 {
            let terms = points.iter().map(|(x, y)| term(x - mean_x, y - mean_y));
            terms.sum()
        };
        let sum_xx = sum(|x, _| x * x);
        if points.is_empty() || sum_xx == 0.0 {
            return None;
        }
        let sum_xy = sum(|x, y| x * y);
        let sum_yy = sum(|_, y| y * y);
        let slope = sum_xy / sum_xx;
        let r_squared = if sum_yy == 0.0 {
            1.0
        } else {
            sum_xy * sum_xy / (sum_xx * sum_yy)
        };
        Some(Self {
            intercept: mean_y - slope * mean_x,
            slope,
            r_squared,
        })
    }
}
