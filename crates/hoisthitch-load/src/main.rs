//! Load generator and experiments.
//!
//! `drive` sends an open-loop load to the given addresses. Every other
//! subcommand is an experiment: it starts its own fleet on loopback, measures
//! one property and prints the figures; some also write them to a CSV file.
//! The rate and the duration of every load are limited.

mod driver;
mod experiments;
mod fit;
mod report;

use argh::FromArgs;
use eyre::Result;

use crate::{
    driver::DriveCommand,
    experiments::{
        ConnectionsCommand,
        OverheadCommand,
        OverloadCommand,
        SharingCommand,
        SlopesCommand, //
    }, //
};

/// Drive loads and measure hoisthitch on loopback.
#[derive(Debug, FromArgs)]
#[argh(example = "hoisthitch-load overhead --seconds 10")]
struct LoadArgs {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Drive(DriveCommand),
    Overhead(OverheadCommand),
    Overload(OverloadCommand),
    Sharing(SharingCommand),
    Connections(ConnectionsCommand),
    Slopes(SlopesCommand),
}

#[actix_rt::main]
async fn main() -> Result<()> {
    let args: LoadArgs = argh::from_env();
    match args.command {
        LoadCommand::Drive(command) => command.run(),
        LoadCommand::Overhead(command) => command.run().await,
        LoadCommand::Overload(command) => command.run().await,
        LoadCommand::Sharing(command) => command.run().await,
        LoadCommand::Connections(command) => command.run().await,
        LoadCommand::Slopes(command) => command.run().await,
    }
}
