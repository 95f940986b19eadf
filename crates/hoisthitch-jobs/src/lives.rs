//! Runners that start again under their names.
//!
//! A name does not stand for a life. The next life holds nothing of the one before, and
//! all that it counts begins anew: its ends, its clock, the highest token that it saw and
//! the runs that it knows as over. What is known of one life must therefore never be put
//! on the next; each life is an entry of its own here.

use crate::{
    Millis,
    losses::RunnerLoss,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerFacts,
        RunnerKey, //
    },
    task::{
        TaskPlace,
        TaskRef, //
    }, //
};

/// A runner's next life, and what became of the tasks of the one before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RestartedRunner {
    /// Key of the next life.
    pub key: RunnerKey,
    /// Runs that ended with the life before.
    pub ended: usize,
    /// Starts that the next life may have carried out, or may yet.
    pub doubtful: usize,
}

impl PoolState {
    /// Takes in that a runner's life is over and another one, born then, is in its place.
    ///
    /// Runs that the life before was heard to hold ended with it. A start whose answer came
    /// after its last report, or never, may have reached the next life: such a task stays
    /// where it is until that life has answered, or until `until`. The next life gets no
    /// tasks before it is listed, for it may be of another kind.
    pub fn replace_restarted_runner(
        &mut self,
        key: RunnerKey,
        started_at: u64,
        until: Millis,
        now: Millis,
    ) -> Option<RestartedRunner> {
        self.note_loss(key, RunnerLoss::Crashed, now);
        let runner = self.runners.get(key)?;
        let facts = RunnerFacts {
            started_at: Some(started_at),
            ..runner.facts.clone()
        };
        let name = facts.name.clone();
        let until = until.max(runner.lease_until);
        let tasks = runner.tasks.iter().copied();
        let (doubtful, ended): (Vec<TaskRef>, Vec<TaskRef>) =
            tasks.partition(|task| self.is_doubtful(*task, runner));
        for task in &ended {
            self.leave_runner(*task, TaskPlace::Waiting, now);
        }
        for task in &doubtful {
            let runner = name.clone();
            self.leave_runner(
                *task,
                TaskPlace::Unlocated {
                    runner,
                    started_at: None,
                    until,
                },
                now,
            );
        }
        self.stops.retain(|stop| stop.runner != key);
        // A ticket holds for one life of a runner.
        for advice in self.advice.values_mut() {
            advice.forget_runner(&name);
        }
        self.runners.remove(key);
        let mut next = RunnerEntry::new(facts, until, now);
        next.unlisted = true;
        next.renewed = true;
        let key = self.runners.insert(next);
        self.runner_names.insert(name, key);
        self.give_up(now);
        Some(RestartedRunner {
            key,
            ended: ended.len(),
            doubtful: doubtful.len(),
        })
    }

    /// Takes in that a runner's process has ended and none is in its place; answers how
    /// many runs ended with it.
    ///
    /// A start that was not answered may yet be carried out by the next process there, and
    /// keeps its task until that one has answered, or until the lease is over.
    pub fn record_process_exit(&mut self, key: RunnerKey, now: Millis) -> usize {
        self.note_loss(key, RunnerLoss::Crashed, now);
        let Some(runner) = self.runners.get(key) else {
            return 0;
        };
        let is_over = |task: &&TaskRef| {
            let entry = self.task(**task);
            entry.is_some_and(|entry| {
                let told = matches!(entry.place, TaskPlace::Running(_) | TaskPlace::Planned(_));
                told && !entry.unanswered
            })
        };
        let ended: Vec<TaskRef> = runner.tasks.iter().filter(is_over).copied().collect();
        for task in &ended {
            self.leave_runner(*task, TaskPlace::Waiting, now);
        }
        self.stops.retain(|stop| stop.runner != key);
        self.give_up(now);
        ended.len()
    }

    /// Whether a later life of the runner may run the task, or may yet be told to.
    fn is_doubtful(&self, task: TaskRef, runner: &RunnerEntry) -> bool {
        let Some(entry) = self.task(task) else {
            return false;
        };
        let heard = runner.heard_at.is_some_and(|at| entry.ordered_at < at);
        match entry.place {
            TaskPlace::Ordered(_) => true,
            TaskPlace::Running(_) | TaskPlace::Stopping(_) => entry.unanswered || !heard,
            TaskPlace::Waiting
            | TaskPlace::Planned(_)
            | TaskPlace::Unlocated { .. }
            | TaskPlace::Done => false,
        }
    }

    /// Takes a task off its runner, and its gang with it.
    pub(crate) fn leave_runner(&mut self, task: TaskRef, place: TaskPlace, now: Millis) {
        self.set_place(task, place, now);
        self.mark_dirty(task.job);
        self.break_gang(task, now);
    }

    /// Takes in when the life that answered was born, where its record does not tell.
    pub fn record_start_time(&mut self, key: RunnerKey, started_at: u64) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.facts.started_at = runner.facts.started_at.or(Some(started_at));
            runner.reports_start_time = true;
        }
    }
}
