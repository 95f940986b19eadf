//! Watches a job until it has ended.
//!
//! The node is polled with a pause that is short after a change and grows while
//! nothing changes. A poll that fails is repeated after the pause.

use std::time::Duration;

use actix_rt::time::{
    Instant,
    timeout, //
};
use eyre::Result;
use hoisthitch_api::JobAnswer;
use hoisthitch_jobs::JobPhase;

use crate::{
    client::OperatorClient,
    error::CommandError, //
};

/// Pause after a change; short enough that the next change seems immediate to
/// a person.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause; each poll costs the node up to two reads of the store.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Factor by which the pause grows while nothing changes.
const PAUSE_GROWTH: u32 = 2;

/// Consecutive failed polls after which a watch without a time limit ends: with
/// all pauses over half a minute, in which a node is replaced.
const FAILURE_LIMIT: u32 = 12;

/// Lowest HTTP status of server errors, which a later request may not meet.
const HTTP_STATUS_SERVER_ERROR: u16 = 500;

/// A watch of a job.
pub struct JobWatch<'a> {
    client: &'a OperatorClient,
    path: String,
    limit: Option<Duration>,
    started: Instant,
    pause: Duration,
    failures: u32,
}

/// Result of a poll.
enum PollResult {
    /// The job's current state.
    Received(JobAnswer),
    /// No response, but a later poll may succeed.
    Failed,
    /// The time limit is reached.
    TimeUp,
}

impl<'a> JobWatch<'a> {
    /// Starts a watch and its time limit.
    pub fn start(client: &'a OperatorClient, path: String, limit: Option<Duration>) -> Self {
        Self {
            client,
            path,
            limit,
            started: Instant::now(),
            pause: MIN_PAUSE,
            failures: 0,
        }
    }

    /// Shows each change of the job until it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the job was cancelled or failed, the time limit is reached, or
    /// the node can't be polled.
    pub async fn run(
        mut self,
        mut job: JobAnswer,
        show: impl Fn(&JobAnswer) -> Result<()>,
    ) -> Result<()> {
        while !job.phase.is_final() {
            match self.poll().await? {
                PollResult::Received(now) if now == job => self.slow_down(),
                PollResult::Received(now) => {
                    show(&now)?;
                    job = now;
                    self.pause = MIN_PAUSE;
                }
                PollResult::Failed => self.slow_down(),
                PollResult::TimeUp => return Err(self.time_up(job).into()),
            }
        }
        if job.phase == JobPhase::Completed {
            return Ok(());
        }
        let JobAnswer { id, phase, .. } = job;
        Err(CommandError::JobEnded { id, phase }.into())
    }

    async fn poll(&mut self) -> Result<PollResult, CommandError> {
        let remaining = self.remaining();
        actix_rt::time::sleep(self.pause.min(remaining)).await;
        let remaining = self.remaining();
        if remaining.is_zero() {
            return Ok(PollResult::TimeUp);
        }
        match timeout(remaining, self.client.get(&self.path)).await {
            Err(_) => Ok(PollResult::TimeUp),
            Ok(Ok(job)) => {
                self.failures = 0;
                Ok(PollResult::Received(job))
            }
            Ok(Err(err)) => self.handle_failure(err),
        }
    }

    /// Lets the watch continue after a transient failure; the first one in a row
    /// is printed.
    fn handle_failure(&mut self, err: CommandError) -> Result<PollResult, CommandError> {
        let is_transient = match &err {
            CommandError::Unreachable { .. } => true,
            CommandError::Refused { status, .. } => *status >= HTTP_STATUS_SERVER_ERROR,
            _ => false,
        };
        self.failures += 1;
        let is_exhausted = self.limit.is_none() && self.failures >= FAILURE_LIMIT;
        if !is_transient || is_exhausted {
            return Err(err);
        }
        if self.failures == 1 {
            eprintln!("hoisthitch: {err}; asking again");
        }
        Ok(PollResult::Failed)
    }

    fn slow_down(&mut self) {
        self.pause = (self.pause * PAUSE_GROWTH).min(MAX_PAUSE);
    }

    fn remaining(&self) -> Duration {
        self.limit.map_or(Duration::MAX, |limit| {
            limit.saturating_sub(self.started.elapsed())
        })
    }

    fn time_up(&self, job: JobAnswer) -> CommandError {
        let JobAnswer { id, phase, .. } = job;
        let limit = self.limit.unwrap_or_default();
        CommandError::WatchTimeUp { id, phase, limit }
    }
}
