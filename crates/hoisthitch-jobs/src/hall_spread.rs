//! Spread of a step's tasks over data halls, so that the loss of a hall ends as few tasks of it as
//! can be.
//!
//! On where [`crate::PoolTerms::tolerated_halls`] is not zero; elsewhere halls are not told apart.
//! A choice of a runner counts the step's tasks by hall once and then compares runners by these
//! counts. Whatever a runner must have to get a task (labels, room, at most so many tasks of a step
//! on it) is decided before, and never set aside for an even spread.
//!
//! Nothing is moved for the spread: a hall that returns gets tasks as they are started.

use crate::{
    job::JobKey,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerKey, //
    },
    spec::StepSpec,
    task::{
        TaskRef,
        TaskState, //
    }, //
};

/// Most tasks of a job whose short steps are spread: counts of larger jobs would take longer than
/// the choice itself.
const SHORT_TASKS_MAX: usize = 64;

/// Most steps with too many tasks in one hall that are kept until they are read.
const UNEVEN_STEPS_MAX: usize = 64;

/// Cost of a runner for a long-running task; parts that are named first outweigh all later ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HallCost {
    /// For a suspect, and for data on another rack.
    pub(crate) first: f64,
    /// Whether the loss of the hall would make more tasks unavailable than allowed, though an even
    /// spread keeps to that.
    pub(crate) breaks_budget: bool,
    /// Whether the loss of the runner would.
    pub(crate) crowds_runner: bool,
    /// Number of the step's tasks in the hall.
    pub(crate) in_hall: u32,
    /// For everything else.
    pub(crate) load: f64,
}

impl HallCost {
    /// Compares two costs.
    pub(crate) fn total_cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.first
            .total_cmp(&other.first)
            .then_with(|| self.breaks_budget.cmp(&other.breaks_budget))
            .then_with(|| self.crowds_runner.cmp(&other.crowds_runner))
            .then_with(|| self.in_hall.cmp(&other.in_hall))
            .then_with(|| self.load.total_cmp(&other.load))
    }
}

/// Number of tasks of one step by data hall.
#[derive(Clone, Debug, Default)]
pub(crate) struct HallCounts {
    /// By number of the hall.
    tasks: Vec<u32>,
    /// Largest part of an even spread over the halls that can take the step's tasks; zero for a
    /// short step.
    even_share: u32,
}

impl HallCounts {
    /// Number of tasks in a runner's hall.
    pub(crate) fn in_hall_of(&self, runner: &RunnerEntry) -> u32 {
        self.tasks.get(runner.hall_number).copied().unwrap_or(0)
    }

    /// Whether one more task in a runner's hall breaks the step's disruption budget when the hall
    /// is lost, though an even spread keeps to it.
    pub(crate) fn breaks_budget(&self, runner: &RunnerEntry, step: &StepSpec) -> bool {
        self.even_share <= step.max_unavailable && self.in_hall_of(runner) >= step.max_unavailable
    }
}

/// A long-running step of which one hall holds more than an even share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnevenStep {
    /// Identifier of the job.
    pub job: String,
    /// Number of the step, from 0.
    pub step: u32,
    /// The hall.
    pub hall: String,
    /// Number of its tasks there.
    pub tasks: u32,
    /// Most tasks of an even spread.
    pub even_share: u32,
    /// Number of its tasks that may be unavailable.
    pub max_unavailable: u32,
}

impl PoolState {
    /// Whether data halls are told apart.
    pub(crate) fn tells_halls_apart(&self) -> bool {
        self.terms.tolerated_halls > 0
    }

    /// Sets the number of a runner's hall.
    pub(crate) fn number_hall(&mut self, key: RunnerKey) {
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        let hall = &runner.facts.hall;
        let known = self.hall_names.iter().position(|name| name == hall);
        runner.hall_number = known.unwrap_or_else(|| {
            self.hall_names.push(hall.clone());
            self.hall_names.len() - 1
        });
    }

    /// Counts the tasks of a task's step by hall; none if halls don't matter for it.
    pub(crate) fn hall_counts(&self, task: TaskRef, step: &StepSpec) -> Option<HallCounts> {
        if !self.tells_halls_apart() {
            return None;
        }
        let job = self.jobs.get(task.job)?;
        if !step.long_running && (step.count < 2 || job.tasks.len() > SHORT_TASKS_MAX) {
            return None;
        }
        let entry = job.tasks.get(task.slot)?;
        let mut counts = HallCounts {
            tasks: vec![0; self.hall_names.len()],
            even_share: 0,
        };
        for (_, other) in job.tasks_of(entry.round, entry.step) {
            let key = match &other.state {
                // A new owner knows the runner by its name until that responds.
                TaskState::Unconfirmed { runner, .. } => self.runner_names.get(runner).copied(),
                _ => other.runner(),
            };
            let runner = key.and_then(|key| self.runners.get(key));
            if let Some(count) = runner.and_then(|runner| counts.tasks.get_mut(runner.hall_number))
            {
                *count += 1;
            }
        }
        if step.long_running {
            counts.even_share = self.even_share(step);
        }
        Some(counts)
    }

    /// Most tasks of a step in one hall if it is spread evenly over the halls that have a runner
    /// for it. Halls that are cordoned or lost have none.
    fn even_share(&self, step: &StepSpec) -> u32 {
        let mut usable = vec![false; self.hall_names.len()];
        for runner in self.runners.values() {
            let takes = runner.is_staying() && runner.could_fit(step);
            if takes
                && step.allows_labels_of(runner)
                && let Some(hall) = usable.get_mut(runner.hall_number)
            {
                *hall = true;
            }
        }
        let halls = usable.into_iter().filter(|usable| *usable).count();
        step.count
            .div_ceil(u32::try_from(halls).unwrap_or(u32::MAX).max(1))
    }

    /// Notes whether a long-running task that was placed on a runner leaves more tasks of its step
    /// in that hall than an even share.
    pub(crate) fn note_spread(&mut self, task: TaskRef, key: RunnerKey) {
        let Some(job) = self.jobs.get(task.job) else {
            return;
        };
        let Some(step) = job.step_of(task.slot).filter(|step| step.long_running) else {
            return;
        };
        let Some(counts) = self.hall_counts(task, step) else {
            return;
        };
        let (Some(runner), Some(entry)) = (self.runners.get(key), job.tasks.get(task.slot)) else {
            return;
        };
        let tasks = counts.in_hall_of(runner);
        let place = (task.job, entry.round, entry.step);
        if tasks <= counts.even_share {
            return;
        }
        let uneven = UnevenStep {
            job: job.id.clone(),
            step: entry.step,
            hall: runner.facts.hall.clone(),
            tasks,
            even_share: counts.even_share,
            max_unavailable: step.max_unavailable,
        };
        // One for each step and owner: a step may stay uneven for as long as room lacks.
        if self.uneven_steps.len() < UNEVEN_STEPS_MAX && self.uneven_noted.insert(place) {
            self.uneven_steps.push(uneven);
        }
    }

    /// Steps that were placed unevenly since they were last read.
    pub fn take_uneven_steps(&mut self) -> Vec<UnevenStep> {
        let jobs = &self.jobs;
        self.uneven_noted
            .retain(|(key, _, _): &(JobKey, u32, u32)| jobs.contains_key(*key));
        std::mem::take(&mut self.uneven_steps)
    }
}
