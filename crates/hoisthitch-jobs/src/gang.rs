//! Gangs: tasks of a step that only work when all of them run at the same time.
//!
//! All members are placed, recorded and ordered under one run number. When one of them is
//! refused, or ends other than done, the others are stopped. The gang starts again once none
//! of its members runs any more.

use crate::{
    Millis,
    job::JobKey,
    pool::PoolState,
    task::{
        TaskRef,
        TaskState, //
    }, //
};

impl PoolState {
    /// Whether the task is a member of a gang.
    pub(crate) fn is_gang(&self, task: TaskRef) -> bool {
        let job = self.jobs.get(task.job);
        job.and_then(|job| job.step_of(task.slot))
            .is_some_and(|step| step.gang)
    }

    /// All members of the task's gang.
    pub(crate) fn members(&self, task: TaskRef) -> Vec<TaskRef> {
        let Some(job) = self.jobs.get(task.job) else {
            return Vec::new();
        };
        let Some(entry) = job.tasks.get(task.slot) else {
            return Vec::new();
        };
        job.tasks_of(entry.round, entry.step)
            .map(|(slot, _)| TaskRef {
                job: task.job,
                slot,
            })
            .collect()
    }

    /// Places gangs of a job that are ready and whose members all wait; returns how many
    /// tasks.
    pub(crate) fn plan_gangs(&mut self, key: JobKey, now: Millis) -> usize {
        let Some(job) = self.jobs.get(key) else {
            return 0;
        };
        let first_members: Vec<TaskRef> = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(slot, task)| task.index == 0 && job.is_ready(*slot))
            .filter(|(slot, _)| job.step_of(*slot).is_some_and(|step| step.gang))
            .map(|(slot, _)| TaskRef { job: key, slot })
            .collect();
        first_members
            .into_iter()
            .map(|first| self.plan_gang(first, now))
            .sum()
    }

    fn plan_gang(&mut self, first: TaskRef, now: Millis) -> usize {
        let members = self.members(first);
        let waits = |task: &TaskRef| {
            self.task(*task)
                .is_some_and(|entry| entry.state == TaskState::Waiting)
        };
        if !members.iter().all(waits) {
            return 0;
        }
        let placed = self
            .racks_for(first)
            .into_iter()
            .any(|rack| self.place_members(&members, rack.as_deref(), now));
        if !placed {
            return 0;
        }
        let entries = members.iter().filter_map(|task| self.task(*task));
        let run = entries.clone().map(|entry| entry.run).max().unwrap_or(0) + 1;
        // A checkpoint begins with its amount of progress, so that the greatest text is the
        // furthest.
        let checkpoint = entries.map(|entry| entry.checkpoint.clone()).max();
        for task in &members {
            if let Some(entry) = self.task_mut(*task) {
                entry.run = run;
                entry.checkpoint = checkpoint.clone().unwrap_or_default();
            }
        }
        self.mark_dirty(first.job);
        if self.tells_halls_apart() {
            for task in &members {
                if let Some(runner) = self.task(*task).and_then(|entry| entry.runner()) {
                    self.note_spread(*task, runner);
                }
            }
        }
        members.len()
    }

    /// Racks to try for a gang: each rack by itself where that is faster, then all together.
    fn racks_for(&self, first: TaskRef) -> Vec<Option<String>> {
        let job = self.jobs.get(first.job);
        let together = job
            .and_then(|job| job.step_of(first.slot))
            .is_some_and(|step| step.same_rack);
        let mut racks: Vec<Option<String>> = Vec::new();
        if together {
            let names = self.runners.values();
            racks.extend(names.map(|runner| Some(runner.facts.rack.clone())));
            racks.sort();
            racks.dedup();
        }
        racks.push(None);
        racks
    }

    /// Places all members, or none of them.
    fn place_members(&mut self, members: &[TaskRef], rack: Option<&str>, now: Millis) -> bool {
        for (placed, task) in members.iter().enumerate() {
            if let Some(runner) = self.choose_runner(*task, rack, now) {
                self.set_task_state(*task, TaskState::Planned(runner), now);
                continue;
            }
            for task in members.iter().take(placed) {
                self.set_task_state(*task, TaskState::Waiting, now);
            }
            return false;
        }
        true
    }

    /// Stops the other members of a task's gang after the task was lost or refused.
    pub(crate) fn break_gang(&mut self, task: TaskRef, now: Millis) {
        if !self.is_gang(task) {
            return;
        }
        for member in self.members(task) {
            if member != task {
                self.stop_task(member, now);
            }
        }
    }
}
