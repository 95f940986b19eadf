//! Watches a job until it has ended.

use std::time::Duration;

use actix_rt::time::{
    Instant,
    timeout, //
};
use eyre::Result;
use hoisthitch_api::JobAnswer;
use hoisthitch_jobs::JobPhase;

use crate::{
    client::EntryClient,
    error::CommandError, //
};

/// Pause after a change; a person sees the next one at once.
const SHORTEST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause; each look costs the node up to two reads of the store.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Factor by which the pause grows while nothing changes.
const PAUSE_GROWTH: u32 = 2;

/// Looks without an answer in a row, after which a watch without a time limit
/// ends: over half a minute with all pauses, in which a node is replaced.
const FAILURE_LIMIT: u32 = 12;

/// First status of answers that another try may do better on.
const STATUS_SERVER_FAULT: u16 = 500;

/// A watch of a job.
pub struct JobWatch<'a> {
    client: &'a EntryClient,
    path: String,
    limit: Option<Duration>,
    started: Instant,
    pause: Duration,
    failures: u32,
}

/// What a look at the job gave.
enum WatchLook {
    /// The job, as it is.
    Seen(JobAnswer),
    /// No answer, but there may be one later.
    Missed,
    /// The time is over.
    TimeUp,
}

impl<'a> JobWatch<'a> {
    /// Starts a watch; its time starts too.
    pub fn start(client: &'a EntryClient, path: String, limit: Option<Duration>) -> Self {
        Self {
            client,
            path,
            limit,
            started: Instant::now(),
            pause: SHORTEST_PAUSE,
            failures: 0,
        }
    }

    /// Shows each change of the job until it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the job was not completed, the time is up, or the node can't
    /// be asked.
    pub async fn run(
        mut self,
        mut job: JobAnswer,
        show: impl Fn(&JobAnswer) -> Result<()>,
    ) -> Result<()> {
        while !job.phase.is_final() {
            match self.look().await? {
                WatchLook::Seen(now) if now == job => self.slow_down(),
                WatchLook::Seen(now) => {
                    show(&now)?;
                    job = now;
                    self.pause = SHORTEST_PAUSE;
                }
                WatchLook::Missed => self.slow_down(),
                WatchLook::TimeUp => return Err(self.time_up(job).into()),
            }
        }
        if job.phase == JobPhase::Completed {
            return Ok(());
        }
        let JobAnswer { id, phase, .. } = job;
        Err(CommandError::Ended { id, phase }.into())
    }

    async fn look(&mut self) -> Result<WatchLook, CommandError> {
        let left = self.left();
        actix_rt::time::sleep(self.pause.min(left)).await;
        let left = self.left();
        if left.is_zero() {
            return Ok(WatchLook::TimeUp);
        }
        match timeout(left, self.client.get(&self.path)).await {
            Err(_) => Ok(WatchLook::TimeUp),
            Ok(Ok(job)) => {
                self.failures = 0;
                Ok(WatchLook::Seen(job))
            }
            Ok(Err(err)) => self.take_failure(err),
        }
    }

    /// Goes on after a failure that may pass; the first of a row is shown.
    fn take_failure(&mut self, err: CommandError) -> Result<WatchLook, CommandError> {
        let may_pass = match &err {
            CommandError::Unreachable { .. } => true,
            CommandError::Refused { status, .. } => *status >= STATUS_SERVER_FAULT,
            _ => false,
        };
        self.failures += 1;
        let is_over = self.limit.is_none() && self.failures >= FAILURE_LIMIT;
        if !may_pass || is_over {
            return Err(err);
        }
        if self.failures == 1 {
            eprintln!("hoisthitch: {err}; asking again");
        }
        Ok(WatchLook::Missed)
    }

    fn slow_down(&mut self) {
        self.pause = (self.pause * PAUSE_GROWTH).min(LONGEST_PAUSE);
    }

    fn left(&self) -> Duration {
        self.limit.map_or(Duration::MAX, |limit| {
            limit.saturating_sub(self.started.elapsed())
        })
    }

    fn time_up(&self, job: JobAnswer) -> CommandError {
        let JobAnswer { id, phase, .. } = job;
        let limit = self.limit.unwrap_or_default();
        CommandError::TimeUp { id, phase, limit }
    }
}
