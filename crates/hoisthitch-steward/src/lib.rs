//! The steward: which pool holds which VM, and maintenance waves.
//!
//! A steward runs on every entry VM and none is special. The pools are divided
//! by rank among the stewards that are alive; that only saves double work. What
//! keeps two stewards apart is compare-and-swap on what each has read.

mod act;
mod barrier;
mod process;
mod settings;
mod view;

pub use process::run_steward;
pub use settings::StewardSettings;
