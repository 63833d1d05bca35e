//! Linear regression by least squares.

use serde::{Deserialize, Serialize};

/// Line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Value at `x = 0`.
    pub intercept: f64,
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
    /// Root mean square of the residuals, in the unit of `y`.
    pub residual: f64,
    /// Number of points that the line was fitted to.
    pub points: usize,
}

impl Line {
    /// Fits a line; `None` with fewer than three points or when all have the same `x`.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if spread == 0.0 {
            return None;
        }
        let slope = points
            .iter()
            .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
            .sum::<f64>()
            / spread;
        let intercept = mean_y - slope * mean_x;
        let squares: f64 = points
            .iter()
            .map(|p| (p.1 - intercept - slope * p.0).powi(2))
            .sum();
        let residual = (squares / count).sqrt();
        Some(Self {
            intercept,
            slope,
            residual,
            points: points.len(),
        })
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
