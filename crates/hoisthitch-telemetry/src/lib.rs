//! Log lines and metrics of all binaries.
//!
//! A log line is one event as `key=value` pairs; a metric's name carries its
//! unit. Lines are written by a thread of their own, so that a slow reader of
//! the log never slows a request; lines that don't fit its queue are dropped
//! and counted.

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
