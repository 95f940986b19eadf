//! The commands, one per file.
//!
//! A command parses its arguments, sends requests to an entry or a node of the
//! job service, and prints the result as text or JSON.

mod check;
mod explain;
mod halls;
mod job;
mod keys;
mod status;
mod table;
mod team;
mod vms;
mod watch;
mod wave;

use std::path::PathBuf;

use argh::FromArgs;
use eyre::Result;

use crate::{
    client::OperatorClient,
    error::CommandError,
    settings::OperatorSettings, //
};

/// Options that all commands share.
pub struct CommandContext {
    /// Settings file.
    pub settings: PathBuf,
    /// Whether JSON is printed.
    pub json: bool,
}

impl CommandContext {
    /// Creates a client of the entry that the settings name.
    ///
    /// # Errors
    ///
    /// Returns the faults of the settings.
    pub fn client(&self) -> Result<OperatorClient> {
        let settings = OperatorSettings::load(&self.settings)?;
        Ok(OperatorClient::new(&settings.entry, settings.token))
    }

    /// Creates a client of the node of the job service that the settings name.
    ///
    /// # Errors
    ///
    /// Returns the faults of the settings, or that they name no node.
    pub fn job_client(&self) -> Result<OperatorClient> {
        let settings = OperatorSettings::load(&self.settings)?;
        let node = settings.jobs.ok_or_else(|| {
            let file = self.settings.display();
            let example = "jobs = http://10.0.0.1:9464";
            CommandError::Usage(format!(
                "{file}: [operator] names no node of the job service; add {example}"
            ))
        })?;
        Ok(OperatorClient::new(&node, settings.token))
    }
}

/// A command.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum OperatorCommand {
    /// Checks a settings file.
    Check(check::CheckCommand),
    /// Rebuilds a job's story from logs.
    Explain(explain::ExplainCommand),
    /// Shows the cordoned data halls.
    Halls(halls::HallsCommand),
    /// Submits, follows and cancels jobs.
    Job(job::JobCommand),
    /// Generates keys for tests.
    Keys(keys::KeysCommand),
    /// Shows an entry's status.
    Status(status::StatusCommand),
    /// Shows and edits the table.
    Table(table::TableCommand),
    /// Shows teams of callers.
    Team(team::TeamCommand),
    /// Shows and assigns VMs.
    Vms(vms::VmsCommand),
    /// Starts and controls maintenance waves.
    Wave(wave::WaveCommand),
}

impl OperatorCommand {
    /// Carries the command out.
    ///
    /// # Errors
    ///
    /// Returns the command's error.
    pub async fn run(self, context: &CommandContext) -> Result<()> {
        match self {
            Self::Check(command) => command.run(),
            Self::Explain(command) => command.run(context),
            Self::Halls(command) => command.run(context).await,
            Self::Job(command) => command.run(context).await,
            Self::Keys(command) => command.run(),
            Self::Status(command) => command.run(context).await,
            Self::Table(command) => command.run(context).await,
            Self::Team(command) => command.run(context).await,
            Self::Vms(command) => command.run(context).await,
            Self::Wave(command) => command.run(context).await,
        }
    }
}
