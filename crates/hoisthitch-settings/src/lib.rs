//! Settings files of the binaries, in INI; a file is checked completely before
//! its process starts.
//!
//! Every fault names the file, the line, the key and a remedy, and all faults
//! of a file are reported together.

mod error;
mod file;
mod reader;

pub use error::{
    SettingFault,
    SettingsError, //
};
pub use file::SettingsFile;
pub use reader::SettingsReader;
