//! Decides when a runner's VM may go down for maintenance or a move.
//!
//! A VM may go down once no short task runs on it, and if no long-running step would then have
//! more tasks unavailable than it allows (its disruption budget).

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    Millis,
    job::JobKey,
    losses::RunnerLoss,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerEvacuation,
        RunnerKey, //
    },
    task::{
        TaskEntry,
        TaskName,
        TaskRef,
        TaskState, //
    }, //
};

/// Time that a moved long-running task may take to become available elsewhere, in
/// milliseconds: a stop, a start, and a short time until it serves.
const RELOCATION_MS: Millis = 2_500;

/// Time for which a runner takes no tasks since its evacuation was last renewed, in milliseconds:
/// some passes of a loop over the pool's VMs. While the VM service is away no VM can go down, and a
/// task whose only runner is kept empty must not wait for three seconds.
const EMPTYING_VALID_MS: Millis = 1_500;

/// How far an evacuation goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationStage {
    /// The VM may not go down yet: the runner gets only tasks that fit nowhere else.
    Ahead,
    /// The VM goes down as soon as it may: the runner gets no tasks.
    Emptying,
}

/// Whether a VM may go down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationStatus {
    /// It may go down: nothing that must not be interrupted runs on it.
    Free,
    /// Not yet: this many short tasks still run on it.
    Busy(usize),
    /// Not yet: a long-running step has too many tasks unavailable already.
    Held,
}

/// Decision about a runner that is being evacuated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationDecision {
    /// Whether its VM may go down.
    pub status: EvacuationStatus,
    /// Long-running task that is moved off it.
    pub relocated: Option<TaskName>,
}

/// Whether a long-running task is moved off a runner.
enum Relocation {
    /// This task is moved off it now.
    Begun(TaskRef),
    /// One was moved off it a moment ago.
    UnderWay,
    /// None is moved.
    Refused,
}

impl PoolState {
    /// Begins the evacuation of a runner, or continues it at that stage. A VM that was cleared to go
    /// down stays so until that is decided on again.
    pub fn begin_evacuation(&mut self, key: RunnerKey, stage: EvacuationStage, now: Millis) {
        if let Some(runner) = self.runners.get_mut(key) {
            let before = runner.evacuation;
            runner.evacuation = match (before, stage) {
                (RunnerEvacuation::Cleared, _) => RunnerEvacuation::Cleared,
                (_, EvacuationStage::Ahead) => RunnerEvacuation::Ahead,
                (_, EvacuationStage::Emptying) => RunnerEvacuation::Emptying { renewed_at: now },
            };
            self.plan_needed |= before.takes_tasks() != runner.evacuation.takes_tasks();
        }
    }

    /// Cancels the evacuation of a runner.
    pub fn cancel_evacuation(&mut self, key: RunnerKey) {
        if let Some(runner) = self.runners.get_mut(key) {
            self.plan_needed |= runner.evacuation != RunnerEvacuation::None;
            runner.evacuation = RunnerEvacuation::None;
        }
    }

    /// Lets runners take tasks again where nothing fits elsewhere, if their evacuation was not
    /// renewed for [`EMPTYING_VALID_MS`]: whoever evacuates them can't order their VMs down now.
    /// Returns those runners.
    pub fn lapse_evacuations(&mut self, now: Millis) -> Vec<RunnerKey> {
        let mut lapsed = Vec::new();
        for (key, runner) in &mut self.runners {
            if let RunnerEvacuation::Emptying { renewed_at } = runner.evacuation
                && renewed_at + EMPTYING_VALID_MS <= now
            {
                runner.evacuation = RunnerEvacuation::Ahead;
                lapsed.push(key);
            }
        }
        self.plan_needed |= !lapsed.is_empty();
        lapsed
    }

    /// Whether the runner's VM may go down now.
    pub fn evacuation_status(&self, key: RunnerKey) -> EvacuationStatus {
        self.evacuation_statuses(&[key])
            .pop()
            .unwrap_or(EvacuationStatus::Free)
    }

    /// Which of these runners' VMs may go down now; those that are free may all go down
    /// together.
    pub fn evacuation_statuses(&self, keys: &[RunnerKey]) -> Vec<EvacuationStatus> {
        self.statuses_together(keys, &mut Vec::new())
    }

    /// Decides about evacuating runners. From each that is held because it has too many tasks of
    /// a step, one task is moved off, and it counts as busy with that one. Tasks that are moved off
    /// are counted together with those of the runners that are free.
    ///
    /// With `clears`, the free ones are cleared: their VMs may be ordered to go down, and until the
    /// evacuation is cancelled or decided on again their tasks count as unavailable.
    pub fn evacuate(
        &mut self,
        keys: &[RunnerKey],
        clears: bool,
        now: Millis,
    ) -> Vec<EvacuationDecision> {
        let mut ending = Vec::new();
        let statuses = self.statuses_together(keys, &mut ending);
        let decided = keys.iter().zip(statuses);
        decided
            .map(|(key, status)| {
                if clears {
                    self.set_cleared(*key, status == EvacuationStatus::Free, now);
                }
                let relocation = match status {
                    EvacuationStatus::Held => self.relocate_task(*key, &ending, now),
                    _ => Relocation::Refused,
                };
                let relocated = match relocation {
                    Relocation::Begun(task) => self.name_of(task),
                    Relocation::UnderWay | Relocation::Refused => None,
                };
                let status = match relocation {
                    Relocation::Begun(_) | Relocation::UnderWay => EvacuationStatus::Busy(1),
                    Relocation::Refused => status,
                };
                EvacuationDecision { status, relocated }
            })
            .collect()
    }

    /// Records that a runner's VM may be ordered down, or that it may not.
    fn set_cleared(&mut self, key: RunnerKey, cleared: bool, now: Millis) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.evacuation = if cleared {
                RunnerEvacuation::Cleared
            } else {
                RunnerEvacuation::Emptying { renewed_at: now }
            };
        }
    }

    /// The statuses of runners whose VMs may go down together; adds the tasks that end with the
    /// free ones to `ending`.
    fn statuses_together(
        &self,
        keys: &[RunnerKey],
        ending: &mut Vec<TaskRef>,
    ) -> Vec<EvacuationStatus> {
        keys.iter()
            .map(|key| self.status_beside(*key, ending))
            .collect()
    }

    /// Whether a runner's VM may go down beside those whose tasks are in `ending`; adds its
    /// tasks if so.
    fn status_beside(&self, key: RunnerKey, ending: &mut Vec<TaskRef>) -> EvacuationStatus {
        let Some(runner) = self.runners.get(key) else {
            return EvacuationStatus::Free;
        };
        // Tasks that an earlier owner ordered there are only known once the runner responds.
        if !runner.ready || runner.hall_lost {
            return EvacuationStatus::Held;
        }
        let short = runner
            .tasks
            .iter()
            .filter(|task| !self.is_long_running(**task));
        let short = short.count();
        let long_running = runner
            .tasks
            .iter()
            .filter(|task| self.is_long_running(**task));
        let long_running: Vec<TaskRef> = long_running.copied().collect();
        let together: Vec<TaskRef> = ending.iter().chain(&long_running).copied().collect();
        if !long_running.is_empty() && !self.may_disrupt(&together) {
            return EvacuationStatus::Held;
        }
        if short > 0 {
            return EvacuationStatus::Busy(short);
        }
        *ending = together;
        EvacuationStatus::Free
    }

    /// Whether the VM of a runner that is not listed may go down now, by the tasks that are
    /// recorded there; none if there are no such tasks. A runner's record lapses during an
    /// outage of the store while the runner keeps working.
    pub fn unlisted_evacuation_status(&self, name: &str) -> Option<EvacuationStatus> {
        let mut short = 0;
        for (task, entry) in self.active_tasks() {
            let here =
                matches!(&entry.state, TaskState::Unconfirmed { runner, .. } if runner == name);
            if !here {
                continue;
            }
            if self.is_long_running(task) {
                return Some(EvacuationStatus::Held);
            }
            short += 1;
        }
        (short > 0).then_some(EvacuationStatus::Busy(short))
    }

    /// Whether the task's step is long-running.
    pub(crate) fn is_long_running(&self, task: TaskRef) -> bool {
        let job = self.jobs.get(task.job);
        job.and_then(|job| job.step_of(task.slot))
            .is_some_and(|step| step.long_running)
    }

    /// Whether these tasks may be ended together, given those that are unavailable already.
    /// Each of them counts, even if it was unavailable in its runner's last report, because it
    /// may have become available since.
    pub(crate) fn may_disrupt(&self, tasks: &[TaskRef]) -> bool {
        let mut ending: BTreeMap<(JobKey, u32, u32), BTreeSet<usize>> = BTreeMap::new();
        for task in tasks {
            let Some(entry) = self.task(*task) else {
                continue;
            };
            if may_be_running(&entry.state) {
                let step = (task.job, entry.round, entry.step);
                ending.entry(step).or_default().insert(task.slot);
            }
        }
        ending.into_iter().all(|((key, round, step), slots)| {
            let Some(job) = self.jobs.get(key) else {
                return true;
            };
            let spec = usize::try_from(step)
                .ok()
                .and_then(|step| job.spec.steps.get(step));
            let Some(spec) = spec.filter(|spec| spec.long_running) else {
                return true;
            };
            let tasks = job.tasks_of(round, step);
            let unavailable = tasks
                .filter(|(slot, task)| slots.contains(slot) || !self.is_available(task))
                .count();
            job.phase.is_final()
                || u32::try_from(unavailable)
                    .is_ok_and(|unavailable| unavailable <= spec.max_unavailable)
        })
    }

    /// Whether a long-running task is available, as far as its runner reported lately, and its
    /// runner's VM is not cleared to go down.
    pub(crate) fn is_available(&self, task: &TaskEntry) -> bool {
        let TaskState::Running(key) = task.state else {
            return false;
        };
        let stays = |runner: &RunnerEntry| {
            let is_cleared = runner.evacuation == RunnerEvacuation::Cleared;
            runner.ready && !runner.hall_lost && !is_cleared
        };
        self.runners.get(key).is_some_and(stays) && task.unavailable_since.is_none()
    }

    /// Moves one long-running task off a runner that has more tasks of its step than may be
    /// unavailable at the same time, given that the tasks in `ending` end too.
    fn relocate_task(&mut self, key: RunnerKey, ending: &[TaskRef], now: Millis) -> Relocation {
        let Some(runner) = self.runners.get(key).filter(|runner| runner.ready) else {
            return Relocation::Refused;
        };
        if runner.relocating_until > now {
            return Relocation::UnderWay;
        }
        let tasks: Vec<TaskRef> = runner.tasks.iter().copied().collect();
        let crowded = tasks.iter().copied().find(|task| {
            let available = self
                .task(*task)
                .is_some_and(|entry| self.is_available(entry));
            let together: Vec<TaskRef> = ending.iter().chain([task]).copied().collect();
            available && self.is_crowded(*task, &tasks) && self.may_disrupt(&together)
        });
        let Some(task) = crowded else {
            return Relocation::Refused;
        };
        self.stop_task(task, now);
        if let Some(runner) = self.runners.get_mut(key) {
            runner.relocating_until = now + RELOCATION_MS;
        }
        Relocation::Begun(task)
    }

    /// Whether these tasks include more of the task's long-running step than may be
    /// unavailable at the same time.
    fn is_crowded(&self, task: TaskRef, tasks: &[TaskRef]) -> bool {
        let Some(job) = self.jobs.get(task.job) else {
            return false;
        };
        let Some(step) = job.step_of(task.slot).filter(|step| step.long_running) else {
            return false;
        };
        let number = job.tasks.get(task.slot).map(|entry| entry.step);
        let alike = tasks
            .iter()
            .filter(|other| other.job == task.job)
            .filter(|other| job.tasks.get(other.slot).map(|entry| entry.step) == number)
            .count();
        step.max_unavailable > 0
            && u32::try_from(alike).is_ok_and(|alike| alike > step.max_unavailable)
    }

    /// Releases all tasks of a runner, because its VM goes down now.
    pub fn record_planned_shutdown(&mut self, key: RunnerKey, now: Millis) {
        self.release_runner(key, RunnerLoss::Planned, now);
        if let Some(runner) = self.runners.get_mut(key) {
            runner.ready = false;
        }
    }
}

/// Whether the runner may be running the task by now.
fn may_be_running(state: &TaskState) -> bool {
    matches!(
        state,
        TaskState::Ordered(_) | TaskState::Running(_) | TaskState::Stopping(_)
    )
}
