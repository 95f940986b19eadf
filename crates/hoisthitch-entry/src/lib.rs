//! The entry: takes callers' requests and routes them to runners.
//!
//! One thread holds the control state (actors of the `control` module); the
//! HTTP workers carry the traffic. Between them stand [`SharedState`] and the
//! route table in it, which is replaced whole.

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
