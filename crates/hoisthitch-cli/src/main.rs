//! The operators' command line.
//!
//! One command per file below `commands`. A command ends with code 0 when it
//! did what was asked, 1 when it did not, 2 when its words are off, 3 when
//! another operator's change was in its way. For a job that it watched, it ends
//! with 4 when it was cancelled, 5 when it failed, and 6 when the time was up.

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

/// Drive hoisthitch: its table of pools and teams, VMs and entries.
#[derive(Debug, FromArgs)]
#[argh(
    example = "hoisthitch table show",
    example = "hoisthitch table set pool quotes in_flight_limit=40",
    note = "The settings file names an entry and the operators' token; see docs/operators/install.md.",
    error_code(1, "The command was not carried out."),
    error_code(2, "The command's words are off."),
    error_code(3, "Another operator's change was in its way."),
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
    let args = match read_args() {
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

/// Reads the command's words; where there is nothing to carry out, the code to
/// end with is returned.
fn read_args() -> Result<OperatorArgs, ExitCode> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (name, rest) = words.split_first().unwrap_or((&"hoisthitch", &[]));
    OperatorArgs::from_args(&[name], rest).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        eprintln!("{}\nRun 'hoisthitch --help' for more.", exit.output);
        ExitCode::from(error::USAGE)
    })
}
