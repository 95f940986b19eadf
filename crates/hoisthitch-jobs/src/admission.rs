//! Decides whether a start may be sent now: the first order of a run, and each repeat of an
//! order without an answer.
//!
//! A run is planned, recorded and then ordered, and a start without an answer is sent again
//! after heartbeats that do not show its run. By then the runner may be draining or have less
//! capacity, its data hall may be cordoned or lost, the ticket may have expired, or the team's limit may
//! have been lowered. So each copy of a start is checked against the present state.
//!
//! A run of which no copy was sent is planned again. A run of which a copy may still be
//! carried out is stopped first. The stop also ends the run if it has begun meanwhile, so a
//! long-running task is only stopped while its step can do without it, or once no copy can be
//! carried out any more: none of the obstacles has to end by itself.

use crate::{
    Millis,
    job::JobKey,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerKey, //
    },
    task::{
        TaskName,
        TaskRef, //
    }, //
};

/// Decision about a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartAdmission {
    /// Send it.
    Send,
    /// Don't send it now; decide again after the next heartbeat. Ends at the latest when the
    /// copies that were sent have expired.
    Wait,
    /// Don't send it, and withdraw its run.
    Withdraw,
}

/// Reason why a start may not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartObstacle {
    /// The runner has announced its shutdown.
    Draining,
    /// The runner is no longer listed: it may be shutting down, or its record lapsed during an
    /// outage.
    Unlisted,
    /// The runner does not respond, or has no lease yet.
    NotReady,
    /// The runner's data hall is cordoned.
    Cordoned,
    /// The runner's data hall counts as lost, and no copy was sent.
    HallLost,
    /// The runner is cold and has got as many starts as its rate allows, and no copy was sent.
    Cold,
    /// The runner is being evacuated.
    Evacuating,
    /// The runner's capacity has shrunk.
    NoCapacity,
    /// The adviser's ticket has expired.
    NoTicket,
    /// The task has become a suspect, and other tasks run beside it.
    NotIsolated,
    /// The team has more running than its quota allows.
    OverLimit,
}

impl StartObstacle {
    fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Unlisted => "unlisted",
            Self::NotReady => "not_ready",
            Self::Cordoned => "cordoned",
            Self::HallLost => "hall_lost",
            Self::Cold => "cold",
            Self::Evacuating => "evacuating",
            Self::NoCapacity => "no_capacity",
            Self::NoTicket => "no_ticket",
            Self::NotIsolated => "not_isolated",
            Self::OverLimit => "over_limit",
        }
    }
}

/// A start without an answer that was given up instead of sent again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WithdrawnStart {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Runner that was ordered to run it.
    pub runner: RunnerKey,
    /// Why it may not be sent again.
    pub reason: &'static str,
    /// Number of copies that were sent.
    pub copies: u32,
    /// Time since the run was decided on.
    pub age_ms: Millis,
}

impl PoolState {
    /// Returns the starts that were given up since the last call.
    pub fn take_withdrawn_starts(&mut self) -> Vec<WithdrawnStart> {
        std::mem::take(&mut self.withdrawn_starts)
    }

    /// Notes for the log that a start without an answer is given up.
    pub(crate) fn note_withdrawn_start(&mut self, task: TaskRef, key: RunnerKey, now: Millis) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let obstacle = self.start_obstacle(task, runner, false, now);
        let named = self.task(task).zip(self.name_of(task));
        if let Some(((entry, name), obstacle)) = named.zip(obstacle) {
            let start = WithdrawnStart {
                task: name,
                run: entry.run,
                runner: key,
                reason: obstacle.as_str(),
                copies: entry.copies,
                age_ms: now.saturating_sub(entry.decided_at),
            };
            self.withdrawn_starts.push(start);
        }
    }

    /// Whether the next copy of a task's start may be sent to its runner.
    pub(crate) fn admit_start(&self, task: TaskRef, key: RunnerKey, now: Millis) -> StartAdmission {
        let Some((entry, runner)) = self.task(task).zip(self.runners.get(key)) else {
            return StartAdmission::Withdraw;
        };
        let is_first = entry.copies == 0;
        let Some(obstacle) = self.start_obstacle(task, runner, is_first, now) else {
            return StartAdmission::Send;
        };
        let may_stop = is_first || !self.is_long_running(task) || self.may_disrupt(&[task]);
        match obstacle {
            // The run is not there, so that the stop ends nothing that is available.
            StartObstacle::Draining | StartObstacle::Cordoned | StartObstacle::HallLost => {
                StartAdmission::Withdraw
            }
            _ if may_stop => StartAdmission::Withdraw,
            // It is available there until its VM goes down, and that waits for the step.
            StartObstacle::Evacuating => StartAdmission::Send,
            _ => StartAdmission::Wait,
        }
    }

    /// Whether the next copy of a task's start may be sent to its runner, after the copies before
    /// got no answer and the response to a heartbeat that was sent at `sent_at` lacks the run.
    pub(crate) fn admit_repeat(
        &self,
        task: TaskRef,
        key: RunnerKey,
        sent_at: Millis,
        now: Millis,
    ) -> StartAdmission {
        let has_expired = self
            .task(task)
            .is_some_and(|entry| entry.start_expires_at <= sent_at);
        match self.admit_start(task, key, now) {
            // The run did not begin before the heartbeat, and can't begin after it.
            StartAdmission::Wait if has_expired => StartAdmission::Withdraw,
            admission => admission,
        }
    }

    fn start_obstacle(
        &self,
        task: TaskRef,
        runner: &RunnerEntry,
        is_first: bool,
        now: Millis,
    ) -> Option<StartObstacle> {
        if runner.facts.draining {
            return Some(StartObstacle::Draining);
        }
        if runner.cordoned {
            return Some(StartObstacle::Cordoned);
        }
        // A copy is sent again only after a response: the runner is back.
        if is_first && runner.hall_lost {
            return Some(StartObstacle::HallLost);
        }
        if runner.unlisted {
            return Some(StartObstacle::Unlisted);
        }
        if !runner.facts.capacity.covers(runner.used) {
            return Some(StartObstacle::NoCapacity);
        }
        if !self.has_ticket(task, runner, now) {
            return Some(StartObstacle::NoTicket);
        }
        if self.needs_isolation(task) && !self.is_isolated_on(task, runner) {
            return Some(StartObstacle::NotIsolated);
        }
        if is_first && !runner.ready {
            return Some(StartObstacle::NotReady);
        }
        if is_first && !self.rate_allows_start(runner, now) {
            return Some(StartObstacle::Cold);
        }
        if !is_first && self.is_over_limit(task.job) {
            return Some(StartObstacle::OverLimit);
        }
        let is_emptied = !runner.evacuation.takes_tasks();
        is_emptied.then_some(StartObstacle::Evacuating)
    }

    /// Whether the runner is kept for an isolated run of the task, or of the task's gang.
    fn is_isolated_on(&self, task: TaskRef, runner: &RunnerEntry) -> bool {
        let isolated = runner.isolated_task;
        isolated.is_some_and(|other| other == task || self.share_gang(task, other))
    }

    /// Whether a job's team has more running here than its quota allows, because the quota was
    /// lowered.
    fn is_over_limit(&self, job: JobKey) -> bool {
        let team = self.jobs.get(job).map(|job| job.team.as_str());
        let Some((team, allowed)) =
            team.and_then(|team| Some((team, self.quota_allocations.get(team)?)))
        else {
            return false;
        };
        let usage = self.team_usage();
        usage
            .get(team)
            .is_some_and(|team_usage| !allowed.covers(team_usage.used))
    }
}
