//! A settings file: its parsed sections, and the line numbers of its keys.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    }, //
};

use ini::{
    Ini,
    ParseOption, //
};

use crate::error::SettingsError;

/// A parsed settings file that can look up the line numbers of its keys.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    text: String,
    ini: Ini,
}

impl SettingsFile {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or is not INI.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            file: path.to_owned(),
            source,
        })?;
        Self::parse(path, text)
    }

    /// Parses the text of the file `path`.
    ///
    /// # Errors
    ///
    /// Fails when the text is not INI.
    pub fn parse(path: &Path, text: String) -> Result<Self, SettingsError> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini =
            Ini::load_from_str_opt(&text, options).map_err(|err| SettingsError::Malformed {
                file: path.to_owned(),
                line: err.line + 1,
                fault: err.msg.to_string(),
            })?;
        Ok(Self {
            path: path.to_owned(),
            text,
            ini,
        })
    }

    /// Path that the file was read from.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Value of a key.
    pub fn value(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.get_from(Some(section), key)
    }

    /// All keys with their sections; keys before the first section have none.
    pub fn keys(&self) -> impl Iterator<Item = (Option<&str>, &str)> {
        self.ini
            .iter()
            .flat_map(|(section, properties)| properties.iter().map(move |(key, _)| (section, key)))
    }

    /// Line of a key; of its section if the key is missing; 1 if both are.
    pub fn line(&self, section: &str, key: &str) -> usize {
        let mut section_line = 1;
        let mut in_section = false;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = section_name(line) {
                in_section = name == section;
                if in_section {
                    section_line = index + 1;
                }
            } else if in_section && key_name(line) == Some(key) {
                return index + 1;
            }
        }
        section_line
    }
}

fn section_name(line: &str) -> Option<&str> {
    Some(line.strip_prefix('[')?.strip_suffix(']')?.trim())
}

fn key_name(line: &str) -> Option<&str> {
    let (key, _) = line.split_once(['=', ':'])?;
    Some(key.trim())
}
