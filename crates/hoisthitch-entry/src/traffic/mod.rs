//! Forwards callers' requests to runners, and the responses to the callers.
//!
//! [`serve_request`] handles one request. `ask` and `upload` read its headers and
//! body, `claim` claims its idempotency key, and [`PoolDispatcher`] grants it a
//! slot on a runner. `exchange` sends it in a task of its own, over a connection
//! from `hop`. `download` forwards the response, and `answer` builds the error
//! responses of the entry itself.
//!
//! Every response carries the outcome of the request: not run, ran, or unknown.

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
