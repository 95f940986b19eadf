//! HTTP listeners that bound what their clients hold: connections, bytes, requests that are
//! read ahead, and time.
//!
//! A server of the HTTP library reads as much as a client sends, for as long as it likes. A
//! server that [`start_server`] builds hands the library the bytes of a connection only as far
//! as its requests are served, and gives up the client that holds the most for the longest
//! when a limit of the whole listener is reached. `docs/design/clients.md` has the account of
//! who may hold how much.

mod body;
mod call;
mod ledger;
mod limits;
mod metrics;
mod refuse;
mod server;
mod split;
mod stream;
mod vm;

pub use body::{
    BodyError,
    discard_body,
    read_body, //
};
pub use limits::ListenerLimits;
pub use metrics::ListenerMetrics;
pub use server::{
    ServerPlan,
    start_server, //
};
pub use vm::VmResources;
