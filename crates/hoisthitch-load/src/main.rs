//! The load and experiment tool.
//!
//! `drive` sends an open-loop load to addresses that are given; each experiment
//! starts a fleet of its own on loopback, measures one matter and writes a CSV.
//! Loads are bounded in rate and time.

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
