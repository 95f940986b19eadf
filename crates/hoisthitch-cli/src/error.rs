//! Errors of the command line, and their exit codes.

use std::time::Duration;

use hoisthitch_jobs::JobPhase;
use thiserror::Error;

/// Exit code of a command that was not carried out.
const EXIT_FAILED: u8 = 1;

/// Exit code of a command whose arguments are invalid.
pub const EXIT_USAGE: u8 = 2;

/// Exit code of a command that conflicts with another operator's change.
const EXIT_CONFLICT: u8 = 3;

/// Exit code of a command that watched a job which was cancelled.
const EXIT_JOB_CANCELLED: u8 = 4;

/// Exit code of a command that watched a job which failed.
const EXIT_JOB_FAILED: u8 = 5;

/// Exit code of a command that watched a job until its time limit.
const EXIT_TIME_UP: u8 = 6;

/// Why an operator's command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The entry or node can't be reached, or its response can't be read.
    #[error("{url}: {fault}; check that the entry runs, or name another one in the settings")]
    Unreachable {
        /// URL of the request.
        url: String,
        /// What the transport reported.
        fault: String,
    },
    /// The entry or node refused the request.
    #[error("{error}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Error that the response gives.
        error: String,
    },
    /// The command's arguments are invalid.
    #[error("{0}")]
    Usage(String),
    /// No log line that was read names the identifier.
    #[error(
        "no line names {id}, of {read} lines read, {broken} of them not log lines; check the id and \
         give the logs of all nodes: a call that matched no queue or had a bad body leaves no line"
    )]
    NotInLogs {
        /// Identifier.
        id: String,
        /// Number of lines read.
        read: u64,
        /// Number of lines that are not complete log lines.
        broken: u64,
    },
    /// A job that was watched has failed or was cancelled.
    #[error("job {id} has ended: {phase:?}")]
    JobEnded {
        /// Identifier.
        id: String,
        /// Final state.
        phase: JobPhase,
    },
    /// A job that was watched has not ended in time.
    #[error(
        "job {id} is {phase:?} after {limit:?}, and was left as it is; 'hoisthitch job status {id} --watch' \
         goes on"
    )]
    WatchTimeUp {
        /// Identifier.
        id: String,
        /// State in the last response.
        phase: JobPhase,
        /// Time limit.
        limit: Duration,
    },
}

/// HTTP status of a response that reports another operator's change.
const HTTP_STATUS_CONFLICT: u16 = 409;

/// Exit code for an error.
pub fn exit_code(err: &eyre::Report) -> u8 {
    match err.downcast_ref::<CommandError>() {
        Some(CommandError::Usage(_)) => EXIT_USAGE,
        Some(CommandError::JobEnded { phase, .. }) => job_end_code(*phase),
        Some(CommandError::WatchTimeUp { .. }) => EXIT_TIME_UP,
        Some(CommandError::Refused { status, .. }) if *status == HTTP_STATUS_CONFLICT => {
            EXIT_CONFLICT
        }
        _ => EXIT_FAILED,
    }
}

fn job_end_code(phase: JobPhase) -> u8 {
    match phase {
        JobPhase::Cancelled => EXIT_JOB_CANCELLED,
        _ => EXIT_JOB_FAILED,
    }
}
