//! Says when a runner's VM may go down for upkeep or a move.

use std::collections::{
    HashMap,
    HashSet, //
};

use crate::{
    Millis,
    job::JobKey,
    losses::RunnerLoss,
    pool::PoolState,
    runner::RunnerKey,
    task::{
        TaskEntry,
        TaskPlace,
        TaskRef, //
    }, //
};

/// Time that a lasting task has to be at work elsewhere, in milliseconds: a
/// stop, a start and the short time until it is at work.
const RELOCATE_MS: Millis = 2_500;

/// Whether a VM may go down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationStatus {
    /// Nothing that may not be interrupted runs on it.
    Free,
    /// This many short tasks still run on it.
    Busy(usize),
    /// A lasting step has too many tasks away already.
    Held,
}

impl PoolState {
    /// Says whether a runner is to be emptied.
    pub fn set_evacuating(&mut self, key: RunnerKey, evacuating: bool) {
        if let Some(runner) = self.runners.get_mut(key)
            && runner.evacuating != evacuating
        {
            runner.evacuating = evacuating;
            self.plan_needed = true;
        }
    }

    /// Whether the runner's VM may go down now.
    pub fn evacuation_status(&self, key: RunnerKey) -> EvacuationStatus {
        self.evacuation_statuses(&[key])
            .pop()
            .unwrap_or(EvacuationStatus::Free)
    }

    /// Which runners' VMs may go down now: those that are free, all together.
    pub fn evacuation_statuses(&self, keys: &[RunnerKey]) -> Vec<EvacuationStatus> {
        let mut ending = Vec::new();
        keys.iter()
            .map(|key| self.view_beside(*key, &mut ending))
            .collect()
    }

    /// Whether a runner's VM may go down beside those whose tasks are `ending`; adds
    /// its tasks if so.
    fn view_beside(&self, key: RunnerKey, ending: &mut Vec<TaskRef>) -> EvacuationStatus {
        let Some(runner) = self.runners.get(key) else {
            return EvacuationStatus::Free;
        };
        // What an earlier owner ordered there shows in the runner's answers.
        if !runner.ready {
            return EvacuationStatus::Held;
        }
        let short = runner.tasks.iter().filter(|task| !self.lasts(**task));
        let short = short.count();
        let lasting = runner.tasks.iter().filter(|task| self.lasts(**task));
        let lasting: Vec<TaskRef> = lasting.copied().collect();
        let together: Vec<TaskRef> = ending.iter().chain(&lasting).copied().collect();
        if !lasting.is_empty() && !self.may_end(&together) {
            return EvacuationStatus::Held;
        }
        if short > 0 {
            return EvacuationStatus::Busy(short);
        }
        *ending = together;
        EvacuationStatus::Free
    }

    /// Whether the VM of a runner that is not in the list may go down now, by
    /// the tasks that were recorded there; none when there are none. A runner's
    /// record lapses in an outage of the store while the runner works on.
    pub fn unlisted_evacuation_status(&self, name: &str) -> Option<EvacuationStatus> {
        let mut short = 0;
        for (task, entry) in self.active_tasks() {
            let here =
                matches!(&entry.place, TaskPlace::Unlocated { runner, .. } if runner == name);
            if !here {
                continue;
            }
            if self.lasts(task) {
                return Some(EvacuationStatus::Held);
            }
            short += 1;
        }
        (short > 0).then_some(EvacuationStatus::Busy(short))
    }

    /// Whether the task is of a step that lasts.
    pub(crate) fn lasts(&self, task: TaskRef) -> bool {
        let job = self.jobs.get(task.job);
        job.and_then(|job| job.step_of(task.slot))
            .is_some_and(|step| step.long_running)
    }

    /// Whether these tasks may be ended together, beside those that are away.
    /// Each of them counts, for it may have come to work since its runner last
    /// told.
    pub(crate) fn may_end(&self, tasks: &[TaskRef]) -> bool {
        let mut ending: HashMap<(JobKey, u32, u32), HashSet<usize>> = HashMap::new();
        for task in tasks {
            let Some(entry) = self.task(*task) else {
                continue;
            };
            if is_ordered(&entry.place) {
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
            let away = tasks
                .filter(|(slot, task)| slots.contains(slot) || !self.is_at_work(task))
                .count();
            job.phase.is_final()
                || u32::try_from(away).is_ok_and(|away| away <= spec.max_unavailable)
        })
    }

    /// Whether a lasting task works, as far as its runner has said of late.
    pub(crate) fn is_at_work(&self, task: &TaskEntry) -> bool {
        let TaskPlace::Running(key) = task.place else {
            return false;
        };
        let heard = self.runners.get(key).is_some_and(|runner| runner.ready);
        heard && task.away_since.is_none()
    }

    /// Moves one lasting task off a runner that holds more of a step than may be
    /// away at once; answers whether it did, or did a moment ago.
    pub fn relocate_task(&mut self, key: RunnerKey, now: Millis) -> bool {
        let Some(runner) = self.runners.get(key).filter(|runner| runner.ready) else {
            return false;
        };
        if runner.relocating_until > now {
            return true;
        }
        let tasks: Vec<TaskRef> = runner.tasks.iter().copied().collect();
        let crowded = tasks.iter().copied().find(|task| {
            let at_work = self.task(*task).is_some_and(|entry| self.is_at_work(entry));
            at_work && self.is_crowded(*task, &tasks) && self.may_end(&[*task])
        });
        let Some(task) = crowded else {
            return false;
        };
        self.stop_task(task, now);
        if let Some(runner) = self.runners.get_mut(key) {
            runner.relocating_until = now + RELOCATE_MS;
        }
        true
    }

    /// Whether these tasks hold more of the task's lasting step than may be
    /// away at once.
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

    /// Takes the lasting tasks of a runner as away: its VM goes down now.
    pub fn record_planned_shutdown(&mut self, key: RunnerKey, now: Millis) {
        self.release_runner(key, RunnerLoss::Planned, now);
        if let Some(runner) = self.runners.get_mut(key) {
            runner.ready = false;
        }
    }
}

/// Whether a runner may run the task by now.
fn is_ordered(place: &TaskPlace) -> bool {
    matches!(
        place,
        TaskPlace::Ordered(_) | TaskPlace::Running(_) | TaskPlace::Stopping(_)
    )
}
