//! Settings of the command line.

use std::path::Path;

use hoisthitch_settings::{
    SettingsError,
    SettingsFile,
    SettingsReader, //
};

/// Settings of the command line.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// URL of the operators' API of an entry.
    pub entry: String,
    /// Bearer token of the operators' requests.
    pub token: String,
    /// URL of a node of the job service; only job and team commands need it.
    pub jobs: Option<String>,
}

impl OperatorSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::read(&SettingsFile::load(path)?)
    }

    /// Checks a settings file that is already parsed.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file.
    pub fn read(file: &SettingsFile) -> Result<Self, SettingsError> {
        let reader = SettingsReader::new(file);
        let settings = Self {
            entry: reader
                .required("operator", "entry", "http://10.0.0.1:8081")
                .unwrap_or_default(),
            token: reader
                .required("operator", "token", "a-long-random-secret")
                .unwrap_or_default(),
            jobs: reader.optional("operator", "jobs", "http://10.0.0.1:9464"),
        };
        reader.finish()?;
        Ok(settings)
    }
}
