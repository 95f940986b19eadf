//! Errors of the command line.

use std::time::Duration;

use hoisthitch_jobs::JobPhase;
use thiserror::Error;

/// Exit code of a command that was not carried out.
const FAILED: u8 = 1;

/// Exit code of a command whose words are off.
pub const USAGE: u8 = 2;

/// Exit code of a command that met another operator's change.
const CONFLICT: u8 = 3;

/// Exit code of a command that watched a job which was cancelled.
const CANCELLED: u8 = 4;

/// Exit code of a command that watched a job which failed.
const JOB_FAILED: u8 = 5;

/// Exit code of a command that watched a job for as long as it was told to.
const TIME_UP: u8 = 6;

/// Why an operator's command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The entry can't be reached.
    #[error("{url}: {fault}; check that the entry runs, or name another one in the settings")]
    Unreachable {
        /// Address that was called.
        url: String,
        /// What the transport reported.
        fault: String,
    },
    /// The entry refused the call.
    #[error("{error}")]
    Refused {
        /// Status of the answer.
        status: u16,
        /// What the entry says.
        error: String,
    },
    /// The command's words are off.
    #[error("{0}")]
    Usage(String),
    /// No line that was read names the id.
    #[error(
        "no line names {id}, of {read} lines read, {broken} of them not log lines; check the id and \
         give the logs of all nodes: a call that matched no queue or had a bad body leaves no line"
    )]
    NotInLogs {
        /// Identifier.
        id: String,
        /// Lines that were read.
        read: u64,
        /// Lines that are not whole log lines.
        broken: u64,
    },
    /// A job that was watched has failed or was cancelled.
    #[error("job {id} has ended: {phase:?}")]
    Ended {
        /// Identifier.
        id: String,
        /// State.
        phase: JobPhase,
    },
    /// A job that was watched has not ended in time.
    #[error(
        "job {id} is {phase:?} after {limit:?}, and was left as it is; 'hoisthitch job status {id} --watch' \
         goes on"
    )]
    TimeUp {
        /// Identifier.
        id: String,
        /// State that was seen last.
        phase: JobPhase,
        /// Time limit.
        limit: Duration,
    },
}

/// Status of an answer that tells of another operator's change.
const STATUS_CONFLICT: u16 = 409;

/// Exit code for an error.
pub fn exit_code(err: &eyre::Report) -> u8 {
    match err.downcast_ref::<CommandError>() {
        Some(CommandError::Usage(_)) => USAGE,
        Some(CommandError::Ended { phase, .. }) => end_code(*phase),
        Some(CommandError::TimeUp { .. }) => TIME_UP,
        Some(CommandError::Refused { status, .. }) if *status == STATUS_CONFLICT => CONFLICT,
        _ => FAILED,
    }
}

fn end_code(phase: JobPhase) -> u8 {
    match phase {
        JobPhase::Cancelled => CANCELLED,
        _ => JOB_FAILED,
    }
}
