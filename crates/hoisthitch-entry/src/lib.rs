//! The entry: receives callers' requests and forwards them to runners.
//!
//! One thread holds the control state (the actors of `control`). The HTTP workers
//! serve the callers (`traffic`). They share only [`SharedState`], with a route
//! table that the control thread replaces as a whole. Operators have an HTTP API
//! of their own (`operators`).

mod control;
mod metrics;
mod operators;
mod process;
mod settings;
mod state;
mod traffic;

pub use process::run_entry;
pub use settings::EntrySettings;
pub use state::SharedState;
