//! Runs of the operators' command line.

use std::{
    fs::{
        self,
        File, //
    },
    path::Path,
    process::Stdio,
    sync::atomic::{
        AtomicU32,
        Ordering, //
    }, //
};

use eyre::Result;

use crate::process::ChildProcess;

/// Commands run by this process so far; makes the names of their logs unique.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Result of a command.
pub struct CommandRun {
    /// Exit code; none after a signal.
    pub code: Option<i32>,
    /// Standard output and standard error.
    pub text: String,
}

/// Runs `hoisthitch` with the arguments to its end.
///
/// # Errors
///
/// Fails when it can't be started or does not end.
pub async fn run_command(args: &[&str]) -> Result<CommandRun> {
    run(args, Stdio::null()).await
}

/// Runs `hoisthitch` with the arguments to its end, with a file as standard input.
///
/// # Errors
///
/// Fails when it can't be started or does not end.
pub async fn run_command_on(args: &[&str], input: &Path) -> Result<CommandRun> {
    run(args, File::open(input)?.into()).await
}

async fn run(args: &[&str], input: Stdio) -> Result<CommandRun> {
    let number = RUNS.fetch_add(1, Ordering::Relaxed);
    let name = format!("hoisthitch-cli-{}-{number}.log", std::process::id());
    let log = std::env::temp_dir().join(name);
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let mut child = ChildProcess::start_with("hoisthitch", &args, &log, input)?;
    let status = child.ended().await?;
    let text = child.log()?;
    fs::remove_file(&log)?;
    Ok(CommandRun {
        code: status.code(),
        text,
    })
}
