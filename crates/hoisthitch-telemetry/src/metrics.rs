//! Rendering of metrics in the text format of Prometheus.

use prometheus::{
    Encoder,
    Registry,
    TextEncoder, //
};
use thiserror::Error;

/// Why metrics could not be rendered.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The Prometheus library failed.
    #[error("metrics could not be rendered: {0}")]
    Library(#[from] prometheus::Error),
    /// The text was not UTF-8.
    #[error("metrics are not text: {0}")]
    Text(#[from] std::string::FromUtf8Error),
}

/// Renders a registry's metrics in the text format.
///
/// # Errors
///
/// Fails when the library can't encode a metric, or its output is not UTF-8.
pub fn render_metrics(registry: &Registry) -> Result<String, MetricsError> {
    let mut buffer = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut buffer)?;
    Ok(String::from_utf8(buffer)?)
}
