//! Errors in settings files.

use std::path::PathBuf;

use thiserror::Error;

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{}:{line}: [{section}] {key}: {fault}; {help}", file.display())]
pub struct SettingFault {
    /// The settings file.
    pub file: PathBuf,
    /// Line of the key; of its section if the key is missing; 1 if both are.
    pub line: usize,
    /// Section of the key.
    pub section: String,
    /// The key.
    pub key: String,
    /// What is wrong.
    pub fault: String,
    /// How to correct it.
    pub help: String,
}

/// Why a settings file could not be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: {source}; name a settings file that this user can read", file.display())]
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The file is not INI.
    #[error("{}:{line}: {fault}; write 'key = value' lines under '[section]' lines", file.display())]
    Malformed {
        /// The settings file.
        file: PathBuf,
        /// Line of the fault.
        line: usize,
        /// What is wrong.
        fault: String,
    },
    /// Keys are missing, unknown, malformed or out of range.
    #[error("{}", list(.0))]
    Faults(Vec<SettingFault>),
}

fn list(faults: &[SettingFault]) -> String {
    let lines: Vec<String> = faults.iter().map(SettingFault::to_string).collect();
    lines.join("\n")
}
