//! Says whether a start may be sent now: the first order of a run, and each repeat of one
//! that got no answer.
//!
//! A run is planned, recorded and then ordered, and a start without an answer is sent again
//! after holds that do not show its run. By then its runner may be about to leave or have
//! less room, its leave be over, or its team's limit lowered; so each copy is admitted by
//! what holds at that moment.
//!
//! A run of which no copy was sent is planned anew. One of which a copy may still be carried
//! out is stopped first. That stop ends the run if it has begun meanwhile, so that lasting
//! tasks are only stopped where their step can miss them.

use crate::{
    Millis,
    job::JobKey,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerKey, //
    },
    task::TaskRef, //
};

/// What is to become of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartAdmission {
    /// It is sent.
    Send,
    /// It is not sent, and asked for again with the next hold.
    Wait,
    /// It is not sent, and its run is given up.
    Withdraw,
}

/// Why a start may not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartObstacle {
    /// The runner has said that it leaves.
    Draining,
    /// The runner is listed no more; it may leave, or its record lapsed in an outage.
    Unlisted,
    /// The runner does not answer, or has no lease yet.
    Closed,
    /// The runner is to be emptied.
    Emptied,
    /// The runner's room has shrunk.
    NoRoom,
    /// The adviser's leave is over.
    NoLeave,
    /// The task has become a suspect, and others are beside it.
    NotAlone,
    /// The team has more running than it may.
    OverLimit,
}

impl PoolState {
    /// Whether the next copy of a task's start may be sent to its runner.
    pub(crate) fn admit_start(&self, task: TaskRef, key: RunnerKey, now: Millis) -> StartAdmission {
        let Some((entry, runner)) = self.task(task).zip(self.runners.get(key)) else {
            return StartAdmission::Withdraw;
        };
        let is_first = entry.copies == 0;
        let Some(obstacle) = self.start_obstacle(task, runner, is_first, now) else {
            return StartAdmission::Send;
        };
        let may_stop = is_first || !self.lasts(task) || self.may_end(&[task]);
        match obstacle {
            StartObstacle::Draining => StartAdmission::Withdraw,
            _ if may_stop => StartAdmission::Withdraw,
            // It serves there until its VM goes down, which waits for the step.
            StartObstacle::Emptied => StartAdmission::Send,
            _ => StartAdmission::Wait,
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
        if runner.unlisted {
            return Some(StartObstacle::Unlisted);
        }
        if !runner.facts.capacity.covers(runner.used) {
            return Some(StartObstacle::NoRoom);
        }
        if !self.has_leave(task, runner, now) {
            return Some(StartObstacle::NoLeave);
        }
        if self.is_suspect(task) && !self.is_tried_on(task, runner) {
            return Some(StartObstacle::NotAlone);
        }
        if is_first && !runner.ready {
            return Some(StartObstacle::Closed);
        }
        if !is_first && self.is_over_limit(task.job) {
            return Some(StartObstacle::OverLimit);
        }
        runner.evacuating.then_some(StartObstacle::Emptied)
    }

    /// Whether the runner is kept for the task, or for the gang that it is of.
    fn is_tried_on(&self, task: TaskRef, runner: &RunnerEntry) -> bool {
        let trial = runner.trial;
        trial.is_some_and(|trial| trial == task || self.are_together(task, trial))
    }

    /// Whether a job's team has more running here than it may: its limit was lowered.
    fn is_over_limit(&self, job: JobKey) -> bool {
        let team = self.jobs.get(job).map(|job| job.team.as_str());
        let Some((team, allowed)) = team.and_then(|team| Some((team, self.allowances.get(team)?)))
        else {
            return false;
        };
        let uses = self.team_usage();
        uses.get(team)
            .is_some_and(|found| !allowed.covers(found.used))
    }
}
