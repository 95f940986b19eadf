//! Traffic of the entry: callers' requests on their way to runners and back.
//!
//! `serve` takes a request; `ask` and `upload` read it, [`PoolDispatcher`] gives it a slot, `exchange` owns the
//! send in a task of its own, and `hop` holds the connection to the runner; `download` passes the answer on.

mod answer;
mod ask;
mod body;
mod claim;
mod dispatcher;
mod download;
mod exchange;
mod headers;
mod hop;
mod result;
mod serve;
mod upload;

pub use dispatcher::PoolDispatcher;
pub use serve::serve_request;
