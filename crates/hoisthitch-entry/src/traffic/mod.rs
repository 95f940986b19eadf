//! Traffic of the entry: callers' requests on their way to runners and back.
//!
//! `serve` takes a request; `ask` and `upload` read it, [`PoolLane`] gives it a slot, `exchange` owns the
//! send in a task of its own, and `hop` holds the connection to the runner; `download` passes the answer on.

mod answer;
mod ask;
mod body;
mod claim;
mod download;
mod exchange;
mod headers;
mod hop;
mod lane;
mod metrics;
mod result;
mod serve;
mod upload;

pub use lane::PoolLane;
pub use metrics::TrafficMetrics;
pub use serve::serve_request;
