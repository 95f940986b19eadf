//! Logging and metrics for all binaries.
//!
//! A log line is one event as `key=value` pairs; a metric's name carries its
//! unit. A dedicated thread writes the lines, so that a slow reader of the log
//! never slows a request; lines that don't fit into its queue are dropped and
//! counted.

mod event;
mod logger;
mod metrics;

pub use event::EventValue;
pub use log;
pub use logger::{
    LogError,
    dropped_lines,
    flush_log,
    start_log, //
};
pub use metrics::{
    MetricsError,
    render_metrics, //
};
