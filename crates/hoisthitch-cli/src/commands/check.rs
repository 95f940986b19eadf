//! `hoisthitch check`: checks a settings file without starting anything.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::Result;
use hoisthitch_entry::EntrySettings;
use hoisthitch_settings::SettingsFile;
use hoisthitch_steward::StewardSettings;

use crate::settings::OperatorSettings;

/// Section that only operators' settings have.
const OPERATOR_SECTION: &str = "operator";

/// Section that an entry's settings have and a steward's don't.
const ENTRY_SECTION: &str = "callers";

/// check a settings file of an entry, a steward or an operator
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "hoisthitch check /etc/hoisthitch/entry.ini"
)]
pub struct CheckCommand {
    /// settings file, in INI
    #[argh(positional)]
    file: PathBuf,
}

impl CheckCommand {
    /// Checks the file as the kind of settings that its sections show.
    pub fn run(self) -> Result<()> {
        let file = SettingsFile::load(&self.file)?;
        let has = |name: &str| file.keys().any(|(section, _)| section == Some(name));
        if has(OPERATOR_SECTION) {
            OperatorSettings::read(&file)?;
        } else if has(ENTRY_SECTION) {
            EntrySettings::read(&file)?;
        } else {
            StewardSettings::read(&file)?;
        }
        println!("{}: ok", self.file.display());
        Ok(())
    }
}
