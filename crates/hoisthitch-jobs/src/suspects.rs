//! Finds tasks that crash their runners, and fails their jobs.
//!
//! A task may crash each runner that starts it, together with all other runs there. Nothing
//! but the crash shows it, and most runners are lost for other reasons, so each loss is
//! weighed ([`TaskSuspicion`]).
//!
//! A suspect with enough weight is run in isolation, on a runner that is kept free for it.
//! This clears tasks that only ran beside the cause: a task that runs for longer than it took
//! to crash is cleared. A task that keeps crashing its runners in isolation is failed together
//! with its job. The evidence against a task is in its job's record before its next start.

use std::{
    collections::BTreeMap,
    hash::{
        DefaultHasher,
        Hash,
        Hasher, //
    }, //
};

use crate::{
    Millis,
    likelihood::{
        LossSample,
        crash_weight, //
    },
    pool::PoolState,
    record::JobPhase,
    runner::{
        RunnerEntry,
        RunnerEvacuation,
        RunnerKey, //
    },
    suspicion::{
        LossEvidence,
        TaskSuspicion, //
    },
    task::{
        TaskEntry,
        TaskName,
        TaskRef,
        TaskState, //
    }, //
};

/// Total weight of the tasks of a step that crashed a runner in isolation, in tenths of a bit.
/// The task whose crash reaches it is failed. So a step of a hundred tasks that all crash their
/// runners costs only a few runners.
const STEP_LIMIT: i32 = 300;

/// Longest time that a suspect waits for a free runner, in milliseconds; then it is placed
/// beside other tasks rather than not at all.
const ISOLATION_WAIT_MS: Millis = 6_000;

/// The same for a long-running task, which may be unavailable for less time, and where each runner
/// has long-running tasks, so that none becomes free.
const LONG_RUNNING_ISOLATION_WAIT_MS: Millis = 1_500;

/// Longest time that a suspect that is run in isolation waits for a runner that lists all ends,
/// in milliseconds.
const UNPROVEN_WAIT_MS: Millis = 15_000;

/// Time for which a runner is reserved for a suspect, in milliseconds: the duration of
/// some short tasks.
const RESERVE_MS: Millis = 3_000;

/// Number of suspects of a step that are isolated at the same time: a step of which no task is
/// the cause must not be held up for long.
const ISOLATED_PER_STEP: usize = 2;

/// The same once a runner was lost under one of them and none of the step's tasks is done. The
/// next loss is known for certain only when another instance responds or the lease is over, and
/// each start until then may cost a further runner.
const ISOLATED_PER_LOST_STEP: usize = 1;

/// Number of isolated runs at the same time that is always allowed, and of reserved runners.
const ISOLATED_MIN: usize = 2;

/// Part of the pool's runners that isolated runs may take: one in this many.
const ISOLATED_DIVISOR: usize = 2;

/// Part of the pool's runners that may be reserved for suspects: one in this many.
const RESERVED_DIVISOR: usize = 4;

/// Age up to which a runner counts as young, in milliseconds: some runners go down and come up
/// again every second or two.
const YOUNG_RUNNER_MS: Millis = 3_000;

/// Cost of placing a suspect on a young runner, in shares of a runner's load.
const YOUNG_RUNNER_COST: f64 = 2.0;

/// Greatest random part of the cost of a runner for a suspect, in shares of a runner's load.
/// Free runners cost the same, and one that goes down periodically must not be chosen each
/// time.
const RANDOM_COST: f64 = 0.1;

/// Cost of placing a suspect beside long-running tasks, in shares of a runner's load.
const BESIDE_LONG_RUNNING_COST: f64 = 3.0;

/// A task that was failed as the cause of crashes, together with its job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashingTask {
    /// Name of the task.
    pub task: TaskName,
    /// Number of its last run.
    pub run: u32,
    /// The evidence against it.
    pub suspicion: TaskSuspicion,
}

impl PoolState {
    /// Records what the loss of a runner says against a task that was on it; it fails no job.
    pub(crate) fn add_evidence(&mut self, task: TaskRef, evidence: LossEvidence) {
        let Some(entry) = self.task_mut(task) else {
            return;
        };
        if evidence.loss.is_explained() {
            entry.suspicion.add_planned(evidence.run);
            return;
        }
        entry.suspicion.add(evidence);
        let needs_isolation = entry.suspicion.needs_isolation();
        if entry.suspicion.is_suspect() {
            self.suspects.insert(task);
        }
        let step = self.round_step(task).filter(|_| needs_isolation);
        if let Some(step) = step.filter(|step| self.was_lost_elsewhere(*step)) {
            self.suspect_steps.insert(step);
        }
        self.mark_dirty(task.job);
    }

    /// Chooses a task to be failed if the losses of its runners, and of those of its step, show
    /// that it crashes them.
    pub(crate) fn judge_suspect(&mut self, task: TaskRef) {
        let Some(suspicion) = self.task(task).map(|entry| &entry.suspicion) else {
            return;
        };
        let is_conclusive = suspicion.is_conclusive();
        let isolated = suspicion.was_isolated();
        if is_conclusive || (isolated && self.step_weight(task) >= STEP_LIMIT) {
            self.tasks_to_fail.push(task);
        }
    }

    /// Weight of all losses of runners that ran a task of the step in isolation, as if they were of
    /// one task; zero if one of the step's tasks is done. A loss counts once, however many members
    /// of a gang the runner ran.
    fn step_weight(&self, task: TaskRef) -> i32 {
        let job = self.jobs.get(task.job);
        let Some((job, entry)) = job.zip(self.task(task)) else {
            return 0;
        };
        let mut losses = Vec::new();
        for (_, other) in job.tasks_of(entry.round, entry.step) {
            if other.is_done() {
                return 0;
            }
            losses.extend(other.suspicion.isolated_losses());
        }
        if self.is_gang(task) {
            losses = merge_shared(losses);
        }
        crash_weight(&losses)
    }

    /// Fails the jobs of tasks that were found to crash their runners.
    pub(crate) fn fail_crashing_tasks(&mut self, now: Millis) {
        for task in std::mem::take(&mut self.tasks_to_fail) {
            let job = self.jobs.get(task.job);
            if job.is_none_or(|job| job.phase.is_final()) {
                continue;
            }
            if let Some((name, entry)) = self.name_of(task).zip(self.task(task)) {
                self.crashing_tasks.push(CrashingTask {
                    task: name,
                    run: entry.run,
                    suspicion: entry.suspicion.clone(),
                });
            }
            self.end_job(task.job, JobPhase::Failed, now);
        }
    }

    /// Returns the tasks that were failed as the cause of crashes since the last call.
    pub fn take_crashing_tasks(&mut self) -> Vec<CrashingTask> {
        std::mem::take(&mut self.crashing_tasks)
    }

    /// Clears suspects that have run for long enough, and requests a new plan if one waits.
    pub fn clear_suspects(&mut self, now: Millis) {
        let suspects: Vec<TaskRef> = self.suspects.iter().copied().collect();
        for task in suspects {
            let job = self.jobs.get(task.job);
            let has_active_job = job.is_some_and(|job| !job.phase.is_final());
            let entry = self
                .task(task)
                .filter(|entry| !entry.is_done() && has_active_job);
            let Some(entry) = entry else {
                self.drop_suspect(task);
                continue;
            };
            match entry.state {
                TaskState::Running(runner) => self.clear_running(task, runner, now),
                TaskState::Waiting => self.plan_needed = true,
                _ => {}
            }
        }
    }

    /// Clears a suspect that has run for its clear time. Its isolation ends then, or after the
    /// time that it has to run alone, whichever comes first.
    fn clear_running(&mut self, task: TaskRef, runner: RunnerKey, now: Millis) {
        // It is not known what the task did since the runner's last response.
        let last_heartbeat_at = self
            .runners
            .get(runner)
            .and_then(|runner| runner.last_heartbeat_at);
        let Some((entry, last_heartbeat_at)) = self.task_mut(task).zip(last_heartbeat_at) else {
            return;
        };
        let ran = last_heartbeat_at.min(now).saturating_sub(entry.began_at);
        let cleared = ran >= entry.suspicion.clear_time();
        let still_isolated = ran < entry.suspicion.isolation_time();
        if cleared {
            entry.suspicion.clear();
            self.drop_suspect(task);
            self.mark_dirty(task.job);
        }
        if (cleared || !still_isolated)
            && let Some(runner) = self.runners.get_mut(runner)
            && runner.isolated_task == Some(task)
        {
            runner.isolated_task = None;
            self.plan_needed = true;
        }
    }

    /// Removes a suspect that was cleared, is done or belongs to no active job, and with it the
    /// suspicion of its step.
    pub(crate) fn drop_suspect(&mut self, task: TaskRef) {
        self.suspects.remove(&task);
        if let Some(step) = self.round_step(task) {
            self.suspect_steps.remove(&step);
        }
    }

    /// Whether several runners were lost right after they had begun a task of the step.
    fn is_suspect_step(&self, task: TaskRef) -> bool {
        let step = || self.round_step(task);
        !self.suspect_steps.is_empty()
            && step().is_some_and(|step| self.suspect_steps.contains(&step))
    }

    /// Whether a task is to be run in isolation.
    pub(crate) fn needs_isolation(&self, task: TaskRef) -> bool {
        // This is called for each task that is placed, and there is hardly ever a suspect.
        if self.suspects.is_empty() {
            return false;
        }
        let entry = self.task(task);
        entry.is_some_and(|entry| entry.suspicion.needs_isolation()) || self.is_suspect_step(task)
    }

    /// Whether a task is placed on a runner of its own. One that has waited for too long is
    /// placed beside others.
    pub(crate) fn must_isolate(&self, task: TaskRef, now: Millis) -> bool {
        let Some(entry) = self.task(task).filter(|_| self.needs_isolation(task)) else {
            return false;
        };
        let may_become_free = self.may_become_free(task, now);
        let wait = if self.is_long_running(task) || !may_become_free {
            LONG_RUNNING_ISOLATION_WAIT_MS
        } else {
            ISOLATION_WAIT_MS
        };
        let waited = entry.state == TaskState::Waiting && entry.changed_at + wait <= now;
        // If crashes in isolation point to the step, its tasks are placed beside others only
        // where they would wait for good.
        !waited || (may_become_free && self.step_weight(task) > 0)
    }

    /// Whether a runner that could run the task has no long-running tasks, which don't end by
    /// themselves.
    fn may_become_free(&self, task: TaskRef, now: Millis) -> bool {
        let mut runners = self.runners.values();
        runners.any(|runner| {
            runner.is_staying() && !runner.has_long_running() && self.could_run(task, runner, now)
        })
    }

    /// Whether a task is kept off runners that may drop its end unread. Others are stopped
    /// there and started again, which may cost a runner for each start of a suspect.
    pub(crate) fn avoids_unproven(&self, task: TaskRef, now: Millis) -> bool {
        let is_recent = |entry: &TaskEntry| entry.changed_at + UNPROVEN_WAIT_MS > now;
        self.needs_isolation(task)
            && !self.is_long_running(task)
            && self.task(task).is_some_and(is_recent)
    }

    /// Whether another suspect may be isolated now.
    pub(crate) fn may_isolate(&self, task: TaskRef) -> bool {
        let step = |task: TaskRef| {
            let entry = self.task(task);
            entry.map(|entry| (task.job, entry.round, entry.step))
        };
        let isolated = || {
            self.runners
                .values()
                .filter_map(|runner| runner.isolated_task)
        };
        let alike = isolated()
            .filter(|other| step(*other) == step(task))
            .count();
        let limit = if self.step_weight(task) > 0 {
            ISOLATED_PER_LOST_STEP
        } else {
            ISOLATED_PER_STEP
        };
        // A gang starts with all its members or not at all.
        let step_is_free = alike < limit || self.is_gang(task);
        step_is_free && isolated().count() < self.max_taken(ISOLATED_DIVISOR)
    }

    /// Number of runners that suspects may take: one in `divisor`, but at least
    /// [`ISOLATED_MIN`].
    fn max_taken(&self, divisor: usize) -> usize {
        ISOLATED_MIN.max(self.runners.len() / divisor)
    }

    /// Whether the isolation of suspects allows the task on the runner; `isolate` is whether
    /// the task itself is to be isolated.
    pub(crate) fn allows_isolation(
        &self,
        task: TaskRef,
        isolate: bool,
        runner: &RunnerEntry,
        now: Millis,
    ) -> bool {
        if !isolate {
            let isolated = runner.isolated_task;
            let admits = isolated.is_none_or(|isolated| self.share_gang(task, isolated));
            return admits && runner.reserved_until <= now;
        }
        let gang = self.is_gang(task);
        let mut others = runner.tasks.iter();
        others.all(|other| gang && self.share_gang(task, *other))
    }

    /// Whether both tasks are members of one gang.
    pub(crate) fn share_gang(&self, task: TaskRef, other: TaskRef) -> bool {
        let entries = self.task(task).zip(self.task(other));
        self.is_gang(task)
            && task.job == other.job
            && entries
                .is_some_and(|(one, other)| one.step == other.step && one.round == other.round)
    }

    /// Cost of a runner for a suspect, in addition to its load.
    pub(crate) fn suspect_cost(&self, task: TaskRef, runner: &RunnerEntry, now: Millis) -> f64 {
        let is_suspect = |entry: &TaskEntry| entry.suspicion.is_suspect();
        if self.suspects.is_empty() || !self.task(task).is_some_and(is_suspect) {
            return 0.0;
        }
        let mut cost = 0.0;
        if runner.has_long_running() {
            cost += BESIDE_LONG_RUNNING_COST;
        }
        if runner.first_seen_at + YOUNG_RUNNER_MS > now {
            cost += YOUNG_RUNNER_COST;
        }
        let run = self.task(task).map_or(0, |entry| entry.run);
        cost + RANDOM_COST * pseudo_random(&(&runner.facts.name, run))
    }

    /// Reserves a runner for a suspect that found none: of those that could run the task,
    /// the one with the least processor time in use.
    pub(crate) fn reserve_runner(&mut self, task: TaskRef, now: Millis) {
        let taken = self
            .runners
            .values()
            .filter(|runner| runner.isolated_task.is_some() || runner.reserved_until > now);
        if taken.count() >= self.max_taken(RESERVED_DIVISOR) || !self.may_isolate(task) {
            return;
        }
        let candidates = self.runners.iter().filter(|(_, runner)| {
            runner.takes_tasks(now)
                && runner.evacuation == RunnerEvacuation::None
                && !runner.has_long_running()
                && runner.isolated_task.is_none()
                && runner.reserved_until <= now
                && self.could_run(task, runner, now)
        });
        let chosen = candidates.min_by_key(|(_, runner)| runner.used.cpu_milli);
        let Some(key) = chosen.map(|(key, _)| key) else {
            return;
        };
        if let Some(runner) = self.runners.get_mut(key) {
            runner.reserved_until = now + RESERVE_MS;
        }
    }
}

/// Of the losses of a gang's members, the one that says most for each runner and run of the gang.
fn merge_shared(losses: Vec<LossSample>) -> Vec<LossSample> {
    let mut strongest: BTreeMap<(u32, u32), LossSample> = BTreeMap::new();
    for loss in losses {
        let kept = strongest.entry((loss.run, loss.runner)).or_insert(loss);
        if crash_weight(&[loss]) > crash_weight(&[*kept]) {
            *kept = loss;
        }
    }
    strongest.into_values().collect()
}

/// A number from zero to one that depends on nothing but the seed.
fn pseudo_random(seed: &impl Hash) -> f64 {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    let bits = u32::try_from(hasher.finish() >> 32).unwrap_or(0);
    f64::from(bits) / f64::from(u32::MAX)
}
