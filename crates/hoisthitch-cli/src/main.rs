//! The operators' command line.
//!
//! Each command has its own file in `commands`. Exit codes: 0 if the command was
//! carried out, 1 if not, 2 if its arguments are invalid, 3 if it conflicts with
//! another operator's change. If it watched a job: 4 if the job was cancelled, 5
//! if the job failed, 6 if the time limit was reached.

mod client;
mod commands;
mod error;
mod render;
mod settings;
mod story;

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use argh::FromArgs;

use crate::commands::{
    CommandContext,
    OperatorCommand, //
};

/// Operate hoisthitch: its table of pools and teams, VMs and entries.
#[derive(Debug, FromArgs)]
#[argh(
    example = "hoisthitch table show",
    example = "hoisthitch table set pool quotes in_flight_limit=40",
    note = "The settings file names an entry and the operators' token; see docs/operators/install.md.",
    error_code(1, "The command was not carried out."),
    error_code(2, "The command's arguments are invalid."),
    error_code(3, "The command conflicts with another operator's change."),
    error_code(4, "The job that was watched was cancelled."),
    error_code(5, "The job that was watched failed."),
    error_code(6, "The job that was watched has not ended in time.")
)]
struct OperatorArgs {
    /// settings file, in INI (default hoisthitch.ini)
    #[argh(option, default = "PathBuf::from(\"hoisthitch.ini\")")]
    settings: PathBuf,
    /// print JSON instead of text
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: OperatorCommand,
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(code) => return code,
    };
    let context = CommandContext {
        settings: args.settings,
        json: args.json,
    };
    match args.command.run(&context).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("hoisthitch: {err:#}");
            ExitCode::from(error::exit_code(&err))
        }
    }
}

/// Parses the arguments; returns the exit code if there is no command to carry
/// out, as for `--help` or invalid arguments.
fn parse_args() -> Result<OperatorArgs, ExitCode> {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (name, rest) = args.split_first().unwrap_or((&"hoisthitch", &[]));
    OperatorArgs::from_args(&[name], rest).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        eprintln!("{}\nRun 'hoisthitch --help' for more.", exit.output);
        ExitCode::from(error::EXIT_USAGE)
    })
}
