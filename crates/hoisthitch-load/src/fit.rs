//! Least-squares line through measured points.

/// The line `value = intercept + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Value at size zero.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Coefficient of determination: the fraction of the variance that the line
    /// explains; 1 if all values are equal.
    pub r_squared: f64,
}

impl LineFit {
    /// Fits a line by least squares.
    pub fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance_x: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let variance_y: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let slope = if variance_x > 0.0 {
            covariance / variance_x
        } else {
            0.0
        };
        let explained = slope * covariance;
        Self {
            intercept: mean_y - slope * mean_x,
            slope,
            r_squared: if variance_y > 0.0 {
                explained / variance_y
            } else {
                1.0
            },
        }
    }

    /// Value of the line at the given size.
    pub fn value_at(self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
