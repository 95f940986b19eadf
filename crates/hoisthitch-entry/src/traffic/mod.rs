//! Forwards callers' requests to runners, and the responses to the callers.
//!
//! [`serve_request`] handles one request. `request` and `upload` read its headers and
//! body, `claim` claims its idempotency key, and [`PoolDispatcher`] grants it a
//! slot on a runner. `exchange` sends it in a task of its own, over a connection
//! from `hop`. `response` forwards the response, and `problem` builds the error
//! responses of the entry itself.
//!
//! Every response carries the outcome of the request: not run, ran, or unknown.

mod body;
mod claim;
mod dispatcher;
mod exchange;
mod headers;
mod hop;
mod problem;
mod request;
mod response;
mod result;
mod serve;
mod upload;

pub use dispatcher::PoolDispatcher;
pub use serve::serve_request;
