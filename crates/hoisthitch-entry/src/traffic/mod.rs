//! Traffic of the entry: callers' requests on their way to runners and back.
//!
//! `serve` takes a request, [`PoolLane`] gives it a slot, `exchange` owns the
//! send in a task of its own, and `hop` holds the connection to the runner.

mod answer;
mod body;
mod claim;
mod exchange;
mod headers;
mod hop;
mod lane;
mod metrics;
mod serve;

pub use lane::PoolLane;
pub use metrics::TrafficMetrics;
pub use serve::serve_request;
