//! `hoisthitch check`: checks a settings file without starting anything.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::Result;
use hoisthitch_entry::EntrySettings;
use hoisthitch_settings::SettingsFile;

use crate::settings::OperatorSettings;

/// Section that only an operator's settings have.
const OPERATOR_SECTION: &str = "operator";

/// check a settings file of an entry or an operator
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
    /// Checks the file.
    pub fn run(self) -> Result<()> {
        let file = SettingsFile::load(&self.file)?;
        let for_operator = file
            .keys()
            .any(|(section, _)| section == Some(OPERATOR_SECTION));
        if for_operator {
            OperatorSettings::read(&file)?;
        } else {
            EntrySettings::read(&file)?;
        }
        println!("{}: ok", self.file.display());
        Ok(())
    }
}
