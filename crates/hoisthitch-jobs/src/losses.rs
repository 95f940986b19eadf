//! Runs that were lost with their runners.
//!
//! A runner that ends takes along whatever it runs, and tells no end of it. What is known
//! of such a run is kept here for the log: how long it had run, what ran beside it, and
//! how the runner was lost.

use std::{
    collections::BTreeSet,
    fmt::{
        self,
        Display, //
    }, //
};

use crate::{
    Millis,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerKey,
        RunnerLife, //
    },
    task::{
        TaskEntry,
        TaskName,
        TaskPlace,
        TaskRef, //
    }, //
};

/// How a runner was lost, with what it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunnerLoss {
    /// It ended without notice.
    Crashed,
    /// Nothing was heard of it until its leases were over.
    Silent,
    /// It went down as ordered or announced.
    Planned,
}

impl Display for RunnerLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Crashed => "crashed",
            Self::Silent => "silent",
            Self::Planned => "planned",
        })
    }
}

/// A run that was lost with its runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// The runner's life, as far as it is known.
    pub runner: RunnerLife,
    /// How the runner was lost.
    pub loss: RunnerLoss,
    /// How long the run had gone on when the runner was lost, in milliseconds; zero where
    /// its start was not answered.
    pub ran: Millis,
    /// Other runs that were lost with it.
    pub beside: usize,
}

impl PoolState {
    /// Takes in that a runner was lost with what it ran; before its tasks leave it.
    pub(crate) fn note_loss(&mut self, key: RunnerKey, loss: RunnerLoss, now: Millis) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let loss = if runner.facts.draining || runner.leaving {
            RunnerLoss::Planned
        } else {
            loss
        };
        let lost_at = runner.silent_since.unwrap_or(now);
        let life = runner.facts.life();
        let tasks: Vec<TaskRef> = self.tasks_lost(runner);
        self.note_lost_runs(&tasks, &life, loss, lost_at);
    }

    /// Tasks that a runner may have run when it was lost.
    fn tasks_lost(&self, runner: &RunnerEntry) -> Vec<TaskRef> {
        let is_sent = |task: &&TaskRef| {
            let entry = self.task(**task);
            entry.is_some_and(|entry| !matches!(entry.place, TaskPlace::Planned(_)))
        };
        let tasks = runner.tasks.iter().filter(is_sent).copied();
        let mut tasks: Vec<TaskRef> = tasks.collect();
        tasks.extend(self.tasks_unlocated_on(&runner.facts.name));
        tasks
    }

    /// Tasks that an earlier owner ordered on a runner that was not heard since.
    fn tasks_unlocated_on(&self, name: &str) -> Vec<TaskRef> {
        if !self.has_unlocated() {
            return Vec::new();
        }
        let is_there = |entry: &TaskEntry| matches!(&entry.place, TaskPlace::Unlocated { runner, .. } if runner == name);
        let tasks = self.active_tasks().filter(|(_, entry)| is_there(entry));
        tasks.map(|(task, _)| task).collect()
    }

    /// Takes in that a life of a runner that is not known was lost.
    pub(crate) fn note_unknown_loss(&mut self, name: &str, loss: RunnerLoss, now: Millis) {
        let tasks = self.tasks_unlocated_on(name);
        self.note_lost_runs(&tasks, &RunnerLife::untold(name), loss, now);
    }

    /// Takes in that runs which earlier owners ordered on runners that were not heard since
    /// have ended by now.
    pub(crate) fn note_expired(&mut self, now: Millis) {
        if !self.has_unlocated() {
            return;
        }
        let expired = self
            .active_tasks()
            .filter_map(|(_, entry)| match &entry.place {
                TaskPlace::Unlocated { runner, until } if *until <= now => Some(runner.clone()),
                _ => None,
            });
        let names: BTreeSet<String> = expired.collect();
        for name in names {
            self.note_unknown_loss(&name, RunnerLoss::Silent, now);
        }
    }

    fn note_lost_runs(
        &mut self,
        tasks: &[TaskRef],
        life: &RunnerLife,
        loss: RunnerLoss,
        lost_at: Millis,
    ) {
        for task in tasks {
            let Some((name, entry)) = self.name_of(*task).zip(self.task(*task)) else {
                continue;
            };
            let lost = LostRun {
                task: name,
                run: entry.placed_run(),
                runner: life.clone(),
                loss,
                ran: entry.ran_at(lost_at),
                beside: tasks.len() - 1,
            };
            self.lost_runs.push(lost);
        }
    }

    /// Runs that were lost since they were last taken.
    pub fn take_lost_runs(&mut self) -> Vec<LostRun> {
        std::mem::take(&mut self.lost_runs)
    }
}

impl TaskEntry {
    /// How long the last run had gone on at a time, in milliseconds; zero where its start
    /// was not answered.
    fn ran_at(&self, time: Millis) -> Millis {
        match self.place {
            TaskPlace::Running(_) | TaskPlace::Stopping(_) => time.saturating_sub(self.began_at),
            _ => 0,
        }
    }
}
