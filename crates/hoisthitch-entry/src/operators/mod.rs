//! The operators' side of the entry: table, assignments, status and metrics.
//!
//! It listens on an address of its own, which callers don't reach, and each
//! call but the probes carries the operators' token.

mod api;
mod token;

pub use api::configure;
pub use token::require_token;
