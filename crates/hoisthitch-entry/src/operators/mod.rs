//! Operators' HTTP API of the entry: table, assignments, moves, waves, status and
//! metrics.
//!
//! It listens on an address of its own, which callers can't reach. Each call except
//! readiness and metrics needs the operators' token.

mod api;
mod token;

pub use api::configure;
pub use token::require_token;
