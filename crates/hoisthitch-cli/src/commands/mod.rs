//! Commands, one per file.

mod check;
mod keys;
mod status;
mod table;
mod vms;
mod wave;

use std::path::PathBuf;

use argh::FromArgs;
use eyre::Result;

use crate::{
    client::EntryClient,
    settings::OperatorSettings, //
};

/// What all commands are given.
pub struct CommandContext {
    /// Settings file.
    pub settings: PathBuf,
    /// Whether JSON is printed.
    pub json: bool,
}

impl CommandContext {
    /// Client of the entry that the settings name.
    ///
    /// # Errors
    ///
    /// Reports the faults of the settings.
    pub fn client(&self) -> Result<EntryClient> {
        Ok(EntryClient::new(OperatorSettings::load(&self.settings)?))
    }
}

/// A command.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum OperatorCommand {
    /// Checks a settings file.
    Check(check::CheckCommand),
    /// Makes keys for tests.
    Keys(keys::KeysCommand),
    /// Shows an entry's status.
    Status(status::StatusCommand),
    /// Shows and edits the table.
    Table(table::TableCommand),
    /// Shows and assigns VMs.
    Vms(vms::VmsCommand),
    /// Starts and steers maintenance waves.
    Wave(wave::WaveCommand),
}

impl OperatorCommand {
    /// Carries the command out.
    ///
    /// # Errors
    ///
    /// Fails as the command does.
    pub async fn run(self, context: &CommandContext) -> Result<()> {
        match self {
            Self::Check(command) => command.run(),
            Self::Keys(command) => command.run(),
            Self::Status(command) => command.run(context).await,
            Self::Table(command) => command.run(context).await,
            Self::Vms(command) => command.run(context).await,
            Self::Wave(command) => command.run(context).await,
        }
    }
}
