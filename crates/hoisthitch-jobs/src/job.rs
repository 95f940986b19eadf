//! Jobs of a pool, as the pool's owner keeps them in memory.
//!
//! A [`JobEntry`] holds what the caller submitted, the tasks of the rounds begun so far and
//! their states. [`JobEntry::progress`] turns it into the record that outlasts the owner.

use slotmap::new_key_type;

use crate::{
    Millis,
    account::TimeAccount,
    record::{
        JobPhase,
        JobProgress,
        QueuePolicy,
        TaskPhase,
        TaskProgress, //
    },
    runner::RunnerInstance,
    spec::{
        JobSpec,
        StepSpec, //
    },
    task::{
        TaskEntry,
        TaskName,
        TaskState, //
    }, //
};

new_key_type! {
    /// Key of a job in the pool's state.
    pub struct JobKey;
}

/// A job and its tasks.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Identifier, chosen by the caller.
    pub id: String,
    /// Queue that accepted it.
    pub queue: String,
    /// Policy of that queue.
    pub policy: QueuePolicy,
    /// Team that it belongs to; empty for none.
    pub team: String,
    /// Steps and schedule to run.
    pub spec: JobSpec,
    /// When it was accepted.
    pub accepted_at: Millis,
    /// Time until the first task starts as it was estimated then; none without an estimate.
    pub expected_wait: Option<Millis>,
    /// Phase that callers see.
    pub phase: JobPhase,
    /// Whether the stored record is older than this state.
    pub dirty: bool,
    /// When it ended; none while it goes on.
    pub ended_at: Option<Millis>,
    /// Tasks of the rounds that have begun, in order of round, step and index.
    pub tasks: Vec<TaskEntry>,
    /// How its time was spent.
    pub account: TimeAccount,
    /// Number of tasks that are not done, by round and step.
    remaining: Vec<u32>,
}

impl JobEntry {
    /// A job of which no round has begun.
    pub fn new(
        id: String,
        queue: String,
        policy: QueuePolicy,
        spec: JobSpec,
        accepted_at: Millis,
    ) -> Self {
        Self {
            id,
            queue,
            policy,
            team: String::new(),
            spec,
            accepted_at,
            expected_wait: None,
            phase: JobPhase::Queued,
            dirty: false,
            ended_at: None,
            tasks: Vec::new(),
            account: TimeAccount::default(),
            remaining: Vec::new(),
        }
    }

    /// Number of rounds that have begun.
    pub fn rounds_begun(&self) -> u32 {
        let steps = self.spec.steps.len().max(1);
        u32::try_from(self.remaining.len() / steps).unwrap_or(u32::MAX)
    }

    /// Begins the next round: adds its tasks, all of them waiting.
    pub fn begin_round(&mut self, now: Millis) {
        let round = self.rounds_begun();
        for (step, spec) in (0..).zip(&self.spec.steps) {
            self.remaining.push(spec.count);
            let tasks = (0..spec.count).map(|index| TaskEntry::new(round, step, index, now));
            self.tasks.extend(tasks);
        }
    }

    /// Step of the task in a slot.
    pub fn step_of(&self, slot: usize) -> Option<&StepSpec> {
        let task = self.tasks.get(slot)?;
        self.spec.steps.get(usize::try_from(task.step).ok()?)
    }

    /// Tasks of one step in one round, with their slots.
    pub(crate) fn tasks_of(
        &self,
        round: u32,
        step: u32,
    ) -> impl Iterator<Item = (usize, &TaskEntry)> {
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(move |(_, task)| task.round == round && task.step == step)
    }

    /// Slot of a task; none if the job has no such task yet.
    pub fn slot_of(&self, name: &TaskName) -> Option<usize> {
        let before: u32 = self
            .spec
            .steps
            .iter()
            .take(usize::try_from(name.step).ok()?)
            .map(|step| step.count)
            .sum();
        let step = self.spec.steps.get(usize::try_from(name.step).ok()?)?;
        if name.index >= step.count {
            return None;
        }
        let slot = name.round.checked_mul(self.spec.tasks_per_round())? + before + name.index;
        let slot = usize::try_from(slot).ok()?;
        (slot < self.tasks.len()).then_some(slot)
    }

    /// Name of the task in a slot.
    pub fn name_of(&self, slot: usize) -> Option<TaskName> {
        let task = self.tasks.get(slot)?;
        Some(TaskName {
            job: self.id.clone(),
            round: task.round,
            step: task.step,
            index: task.index,
        })
    }

    /// Whether all steps that the task depends on are done.
    pub fn is_ready(&self, slot: usize) -> bool {
        let Some(task) = self.tasks.get(slot) else {
            return false;
        };
        let Some(step) = self.step_of(slot) else {
            return false;
        };
        step.after
            .iter()
            .all(|after| self.remaining_tasks(task.round, *after) == 0)
    }

    /// Whether the task is ready and has no runner.
    pub(crate) fn waits_for_runner(&self, slot: usize) -> bool {
        let task = self.tasks.get(slot);
        task.is_some_and(|task| task.state == TaskState::Waiting) && self.is_ready(slot)
    }

    /// Number of tasks of a step that are not done.
    pub fn remaining_tasks(&self, round: u32, step: u32) -> u32 {
        self.remaining_index(round, step)
            .and_then(|index| self.remaining.get(index))
            .copied()
            .unwrap_or(0)
    }

    /// Records that a task of the step is done.
    pub fn record_done(&mut self, round: u32, step: u32) {
        if let Some(index) = self.remaining_index(round, step)
            && let Some(remaining) = self.remaining.get_mut(index)
        {
            *remaining = remaining.saturating_sub(1);
        }
    }

    /// Whether every task of every round is done.
    pub fn is_done(&self) -> bool {
        self.rounds_begun() >= self.spec.rounds()
            && self.remaining.iter().all(|remaining| *remaining == 0)
    }

    /// Whether any task was ever planned to run.
    pub fn has_begun(&self) -> bool {
        self.tasks.iter().any(|task| task.run > 0)
    }

    /// The job's record; `instances` gives the runner instance of each task that has one.
    pub fn progress(
        &self,
        instances: impl Fn(&TaskEntry) -> Option<RunnerInstance>,
    ) -> JobProgress {
        let instance_of = |task: &TaskEntry| {
            instances(task).unwrap_or_else(|| RunnerInstance::without_start_time(""))
        };
        let tasks = self.tasks.iter().map(|task| (task, instance_of(task)));
        let tasks = tasks.map(|(task, instance)| TaskProgress {
            phase: match task.state {
                TaskState::Waiting => TaskPhase::Waiting,
                TaskState::Done => TaskPhase::Done,
                _ => TaskPhase::Ordered,
            },
            run: task.run,
            failed: task.failed,
            suspicion: task.suspicion.clone(),
            runner: instance.name,
            started_at: instance.started_at,
            checkpoint: task.checkpoint.clone(),
        });
        // An ended job's record needs no tasks, unless some of them may still run.
        let settled =
            self.phase.is_final() && self.tasks.iter().all(|task| task.runner().is_none());
        JobProgress {
            phase: self.phase,
            tasks: if settled { Vec::new() } else { tasks.collect() },
        }
    }

    fn remaining_index(&self, round: u32, step: u32) -> Option<usize> {
        let steps = u32::try_from(self.spec.steps.len()).ok()?;
        usize::try_from(round.checked_mul(steps)? + step).ok()
    }
}

/// A time multiplied by a factor of the operators' configuration.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "times of jobs are far below 2^52 ms, and the factor is not negative"
)]
pub(crate) fn scale(time: Millis, factor: f64) -> Millis {
    (time as f64 * factor.max(0.0)) as Millis
}
