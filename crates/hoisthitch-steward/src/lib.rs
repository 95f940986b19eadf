//! The steward: moves VMs between pools and reboots them in maintenance waves.
//!
//! A steward runs on every entry VM, and all stewards are equal. At intervals it
//! reads the fleet from the store and the platform (`view`), plans actions for its
//! pools and carries them out (`actions`). The pools are divided by rank among the
//! stewards that are alive, but only to avoid duplicate work. Compare-and-swap on
//! the records that a steward has read keeps two stewards from conflicting changes.

mod actions;
mod barrier;
mod process;
mod settings;
mod view;

pub use process::run_steward;
pub use settings::StewardSettings;
