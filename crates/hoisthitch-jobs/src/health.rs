//! Tells runners that fail their tasks from tasks that fail on any runner.
//!
//! A run fails by the fault of its task or of its runner, and the report of its end does not say
//! which. What became of the step elsewhere does: a step whose tasks fail on two runners and
//! succeed on none is at fault, and so is one whose runner runs other tasks well afterwards. A
//! runner is judged by the runs that remain. Of a step that has succeeded nowhere they count
//! once, however many tasks it lost there, and of a task only the first failure counts.
//!
//! A failing runner gets no tasks for a while, and then one task at a time, its trial. Tasks that
//! it had before stay there and do not keep the trial from it, because long-running tasks may
//! never end. A run that is done, or a long-running task that stays available, ends the state.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    Millis,
    job::JobKey,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerInstance,
        RunnerKey, //
    },
    task::{
        TaskEntry,
        TaskRef, //
    }, //
};

/// Failures that count against a runner from which on it is failing.
///
/// Tasks fail by their own fault in a few of a hundred runs, so three failures in a row mean a
/// broken runner in all but one of ten thousand cases.
const FAILURE_STREAK: usize = 3;

/// Backoff of a runner on which every run fails, in milliseconds, before one task is tried
/// there again; troubles of runners last five seconds and more.
const FAILURE_BACKOFF_MS: Millis = 4_000;

/// Backoff of a runner that may be failing, in milliseconds: the time in which what failed there
/// ends elsewhere. It is over before that once the steps prove to be at fault.
const SUSPICION_BACKOFF_MS: Millis = 1_000;

/// Time after a backoff in which the trial is left to steps that did not fail on the runner, in
/// milliseconds: a step that can't be done would take each trial from the tasks that show that
/// the runner works.
const OTHER_STEPS_FIRST_MS: Millis = 1_000;

/// Number of runners on which a step fails, and succeeds on none, from which on it is at fault.
const FAILING_RUNNERS: usize = 2;

/// Time for which a long-running task has run when it counts as a success of its step and its
/// runner, in milliseconds: tasks that can't be done fail within their start.
const LONG_RUNNING_SUCCESS_MS: Millis = 3_000;

/// Number of failed tasks that are kept for a runner; older ones are dropped.
const KEPT_FAILURES: usize = 64;

/// A step of a job, in all rounds: its tasks run the same program.
type JobStep = (JobKey, u32);

/// Failures of a runner since its last success.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerHealth {
    /// Tasks whose first failure was on it.
    failed: Vec<TaskRef>,
    /// When a run failed there last.
    failed_at: Millis,
    /// Whether they show that it fails its tasks.
    is_failing: bool,
    /// Whether they would show it if no undecided step was at fault.
    may_be_failing: bool,
    /// Time until which it gets no tasks while it is or may be failing.
    backoff_until: Millis,
    /// The task that it was given since it is failing.
    trial: Option<TaskRef>,
}

impl RunnerHealth {
    /// Whether it may get a task at `now`.
    pub(crate) fn takes_task(&self, now: Millis) -> bool {
        let is_over = self.backoff_until <= now;
        let has_trial = self.is_failing && self.trial.is_some();
        !self.may_be_failing || (is_over && !has_trial)
    }

    /// Backoff after a failure, in milliseconds.
    fn backoff(&self) -> Option<Millis> {
        if self.is_failing {
            Some(FAILURE_BACKOFF_MS)
        } else {
            self.may_be_failing.then_some(SUSPICION_BACKOFF_MS)
        }
    }

    pub(crate) fn add_task(&mut self, task: TaskRef) {
        if self.is_failing {
            self.trial.get_or_insert(task);
        }
    }

    pub(crate) fn remove_task(&mut self, task: TaskRef) {
        self.trial = self.trial.filter(|trial| *trial != task);
    }

    fn record_failure(&mut self, task: TaskRef, is_first: bool, now: Millis) {
        self.failed_at = now;
        if !is_first || self.failed.contains(&task) {
            return;
        }
        if self.failed.len() == KEPT_FAILURES {
            self.failed.remove(0);
        }
        self.failed.push(task);
    }
}

/// Failures of a step of which a run has failed.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailingStep {
    /// Runners on which its runs failed.
    runners: BTreeSet<RunnerKey>,
    /// Whether one of its tasks succeeded.
    has_succeeded: bool,
    /// Whether one of these runners succeeded with another step since.
    runner_succeeded: bool,
}

impl FailingStep {
    fn is_at_fault(&self) -> bool {
        let failed_alone = self.runner_succeeded || self.runners.len() >= FAILING_RUNNERS;
        !self.has_succeeded && failed_alone
    }
}

/// A change in what is believed of a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HealthChange {
    /// The runner.
    pub runner: RunnerInstance,
    /// Number of failures that count against it; none if it is not failing any more.
    pub failures: Option<usize>,
    /// Number of its failures since its last success that do not count: those of steps at fault,
    /// and all but one of a step that has succeeded nowhere.
    pub left_out: usize,
}

impl PoolState {
    /// Records a failed run; must be called before the failure is added to its task.
    pub(crate) fn record_failed_run(&mut self, key: RunnerKey, task: TaskRef, now: Millis) {
        let Some((step, entry)) = self.job_step(task).zip(self.task(task)) else {
            return;
        };
        // A long-running task may fail at any time after it has begun to work.
        if self.is_long_running(task) && entry.unavailable_since.is_none() {
            return;
        }
        let is_first = entry.failed_on.is_none_or(|failed_on| failed_on == key);
        let has_succeeded = self.has_success(step, now);
        let failing = self.failing_steps.entry(step).or_default();
        failing.has_succeeded |= has_succeeded;
        failing.runners.insert(key);
        if let Some(runner) = self.runners.get_mut(key) {
            runner.health.record_failure(task, is_first, now);
        }
        self.judge_runners(step, now);
        if let Some(runner) = self.runners.get_mut(key)
            && let Some(backoff) = runner.health.backoff()
        {
            runner.health.backoff_until = now + backoff;
        }
    }

    /// Records that a run of the task was done on a runner.
    pub(crate) fn record_success(&mut self, key: RunnerKey, task: TaskRef, now: Millis) {
        let step = self.job_step(task);
        if let Some(runner) = self.runners.get_mut(key) {
            runner.end_backoff();
            runner.health.backoff_until = 0;
            let failed = std::mem::take(&mut runner.health.failed);
            let steps: BTreeSet<JobStep> = failed
                .into_iter()
                .filter_map(|failed| self.job_step(failed))
                .collect();
            self.judge_runner(key);
            for failed in steps.into_iter().filter(|failed| Some(*failed) != step) {
                if let Some(failing) = self.failing_steps.get_mut(&failed) {
                    failing.runner_succeeded = true;
                    self.judge_runners(failed, now);
                }
            }
        }
        let failing = step.and_then(|step| self.failing_steps.get_mut(&step));
        if let Some((step, failing)) = step.zip(failing)
            && !failing.has_succeeded
        {
            failing.has_succeeded = true;
            self.judge_runners(step, now);
        }
    }

    /// Counts a long-running task that is available, and was started after the last failure on
    /// its runner, as a success once it has run for long enough.
    pub(crate) fn record_available(&mut self, key: RunnerKey, task: TaskRef, now: Millis) {
        let Some((runner, entry)) = self.runners.get(key).zip(self.task(task)) else {
            return;
        };
        let health = &runner.health;
        let lasts = self.is_long_running(task) && entry.began_at + LONG_RUNNING_SUCCESS_MS <= now;
        if !lasts {
            return;
        }
        let is_later = !health.failed.is_empty() && entry.began_at > health.failed_at;
        let step = self.job_step(task);
        let failing = step.and_then(|step| self.failing_steps.get(&step));
        if is_later || health.trial == Some(task) {
            self.record_success(key, task, now);
        } else if let Some((step, false)) = step.zip(failing.map(|failing| failing.has_succeeded))
            && let Some(failing) = self.failing_steps.get_mut(&step)
        {
            failing.has_succeeded = true;
            self.judge_runners(step, now);
        }
    }

    /// Forgets the failures of a job's steps.
    pub(crate) fn forget_failures(&mut self, job: JobKey) {
        let steps = self.failing_steps.range((job, 0)..=(job, u32::MAX));
        let steps: Vec<JobStep> = steps.map(|(step, _)| *step).collect();
        for step in steps {
            let failing = self.failing_steps.remove(&step).unwrap_or_default();
            for key in failing.runners {
                self.judge_runner(key);
            }
        }
    }

    /// Returns the changes in what is believed of runners since the last call.
    pub fn take_health_changes(&mut self) -> Vec<HealthChange> {
        std::mem::take(&mut self.health_changes)
    }

    /// Whether the runner may try the task, if it is failing: after a backoff, steps that did not
    /// fail there come first.
    pub(crate) fn allows_trial(&self, task: TaskRef, runner: &RunnerEntry, now: Millis) -> bool {
        let health = &runner.health;
        if !health.is_failing || health.backoff_until + OTHER_STEPS_FIRST_MS <= now {
            return true;
        }
        let step = self.job_step(task);
        let mut failed = health.failed.iter();
        failed.all(|failed| self.job_step(*failed) != step)
    }

    fn job_step(&self, task: TaskRef) -> Option<JobStep> {
        Some((task.job, self.task(task)?.step))
    }

    /// Whether a task of the step is done, or is long-running and has been available for long
    /// enough.
    fn has_success(&self, step: JobStep, now: Millis) -> bool {
        let is_available = |task: &TaskEntry| {
            let lasts = task.began_at + LONG_RUNNING_SUCCESS_MS <= now;
            task.is_running() && task.unavailable_since.is_none() && lasts
        };
        let job = self.jobs.get(step.0);
        job.is_some_and(|job| {
            let mut tasks = job.tasks.iter().filter(|task| task.step == step.1);
            tasks.any(|task| task.is_done() || is_available(task))
        })
    }

    /// Judges the runners on which the step failed.
    fn judge_runners(&mut self, step: JobStep, now: Millis) {
        let failing = self.failing_steps.get(&step);
        let keys: Vec<RunnerKey> = failing
            .map(|failing| failing.runners.iter().copied().collect())
            .unwrap_or_default();
        for key in keys {
            if self.judge_runner(key)
                && let Some(runner) = self.runners.get_mut(key)
            {
                runner.health.backoff_until = now + FAILURE_BACKOFF_MS;
            }
        }
    }

    /// Decides whether a runner is failing; returns whether it has just become so.
    fn judge_runner(&mut self, key: RunnerKey) -> bool {
        let Some(runner) = self.runners.get(key) else {
            return false;
        };
        let (counted, undecided) = self.count_failures(&runner.health);
        let is_failing = counted >= FAILURE_STREAK;
        let may_be_failing = undecided >= FAILURE_STREAK;
        if let Some(runner) = self.runners.get_mut(key) {
            self.plan_needed |= runner.health.may_be_failing && !may_be_failing;
            runner.health.may_be_failing = may_be_failing;
        }
        let runner = self.runners.get(key);
        let Some(runner) = runner.filter(|runner| runner.health.is_failing != is_failing) else {
            return false;
        };
        let change = HealthChange {
            runner: runner.facts.instance(),
            failures: is_failing.then_some(counted),
            left_out: runner.health.failed.len().saturating_sub(counted),
        };
        self.health_changes.push(change);
        self.plan_needed = true;
        if let Some(runner) = self.runners.get_mut(key) {
            runner.health.is_failing = is_failing;
            runner.health.trial = None;
        }
        is_failing
    }

    /// Number of failures that count against a runner, and their number if no undecided step is
    /// at fault.
    fn count_failures(&self, health: &RunnerHealth) -> (usize, usize) {
        let mut by_step: BTreeMap<JobStep, usize> = BTreeMap::new();
        for step in health.failed.iter().filter_map(|task| self.job_step(*task)) {
            *by_step.entry(step).or_default() += 1;
        }
        let (mut counted, mut undecided) = (0, 0);
        for (step, failed) in by_step {
            let Some(failing) = self.failing_steps.get(&step) else {
                continue;
            };
            if failing.is_at_fault() {
                continue;
            }
            counted += if failing.has_succeeded { failed } else { 1 };
            undecided += failed;
        }
        (counted, undecided)
    }
}
