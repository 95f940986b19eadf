//! What a caller asks for: a job of steps of tasks.

use std::collections::HashSet;

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::resources::ResourceAmounts;

/// Longest payload, in bytes; the platform's limit.
pub const SPEC_LIMIT: usize = 4_000;

/// Most tasks of a job; keeps one record under the store's largest value.
const TASK_LIMIT: u64 = 4_000;

/// A job as its caller described it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct JobSpec {
    /// What the tasks are told to do.
    pub payload: String,
    /// Steps, in the caller's order.
    pub steps: Vec<StepSpec>,
    /// Times at which all steps are run; once when absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
}

/// Times of a repeated job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSchedule {
    /// First time, in milliseconds since 1970.
    pub first_ms: u64,
    /// Time between two runs, in milliseconds.
    pub interval_ms: u64,
    /// Number of runs.
    pub repetitions: u32,
}

/// Tasks that are alike.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Room of each task.
    pub need: ResourceAmounts,
    /// The caller's guess of a task's time, in milliseconds.
    pub estimate_ms: u64,
    /// Steps that must be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether tasks save their progress.
    pub checkpoints: bool,
    /// Whether tasks only work all together.
    pub gang: bool,
    /// Whether tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that the runner must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// Rack of the data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<String>,
    /// Most tasks of the step on one runner; zero for no limit.
    #[serde(rename = "spread")]
    pub max_per_runner: u32,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub image: String,
    /// Bound of the tail of a serving task's answers, in milliseconds; zero
    /// when the task serves nobody.
    pub target_ms: u64,
    /// Whether tasks only use processor time that others leave.
    #[serde(rename = "filler")]
    pub best_effort: bool,
    /// Lasting tasks that may be away at once through hoisthitch's doing.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Room that a task of the step takes on its runner; a filler takes no
    /// processor.
    pub(crate) fn room(&self) -> ResourceAmounts {
        let cpu_milli = if self.best_effort {
            0
        } else {
            self.need.cpu_milli
        };
        ResourceAmounts {
            cpu_milli,
            ..self.need
        }
    }
}

/// Why a job can't be taken.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SpecError {
    /// The payload is too long.
    #[error("the payload has {0} bytes; {SPEC_LIMIT} are allowed")]
    PayloadTooLong(usize),
    /// There is nothing to run.
    #[error("the job has no steps")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {0} has no tasks; give a count of 1 or more")]
    NoTasks(usize),
    /// There are too many tasks.
    #[error("the job has {0} tasks; {TASK_LIMIT} are allowed")]
    TooManyTasks(u64),
    /// A step waits for one that is not before it.
    #[error("step {step} comes after step {after}, which is not an earlier step")]
    BadOrder {
        /// The step.
        step: usize,
        /// The step it names.
        after: u32,
    },
    /// A step names another twice.
    #[error("step {0} names an earlier step twice")]
    DoubledOrder(usize),
    /// A repeated job has no time between its runs.
    #[error("the job is repeated without an interval")]
    NoInterval,
}

impl JobSpec {
    /// Checks what the caller asks for.
    ///
    /// # Errors
    ///
    /// Says the first thing that is wrong.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.payload.len() > SPEC_LIMIT {
            return Err(SpecError::PayloadTooLong(self.payload.len()));
        }
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            step.check(number)?;
        }
        let tasks = u64::from(self.tasks_per_round()) * u64::from(self.rounds());
        if tasks > TASK_LIMIT {
            return Err(SpecError::TooManyTasks(tasks));
        }
        match self.schedule {
            Some(schedule) if schedule.repetitions > 1 && schedule.interval_ms == 0 => {
                Err(SpecError::NoInterval)
            }
            _ => Ok(()),
        }
    }

    /// Tasks of all steps.
    pub fn tasks_per_round(&self) -> u32 {
        self.steps
            .iter()
            .fold(0, |sum: u32, step| sum.saturating_add(step.count))
    }

    /// Times that all steps are run.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |times| times.repetitions.max(1))
    }

    /// Whether any step lasts until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Longest chain of steps, in milliseconds, given the time of each.
    pub fn critical_path(&self, time: impl Fn(u32) -> u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in (0..).zip(&self.steps) {
            let start = step
                .after
                .iter()
                .filter_map(|after| ends.get(usize::try_from(*after).ok()?))
                .max()
                .copied();
            ends.push(start.unwrap_or(0) + time(number));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

impl StepSpec {
    /// Tasks of a lasting step that should be on one runner at most, so that
    /// its VM can go down without more being away than may be.
    pub fn most_together(&self) -> u32 {
        let max_unavailable = self.max_unavailable.max(1);
        if self.max_per_runner == 0 {
            max_unavailable
        } else {
            max_unavailable.min(self.max_per_runner)
        }
    }

    fn check(&self, number: usize) -> Result<(), SpecError> {
        if self.count == 0 {
            return Err(SpecError::NoTasks(number));
        }
        let mut seen = HashSet::new();
        for after in &self.after {
            if usize::try_from(*after).is_ok_and(|after| after >= number) {
                return Err(SpecError::BadOrder {
                    step: number,
                    after: *after,
                });
            }
            if !seen.insert(after) {
                return Err(SpecError::DoubledOrder(number));
            }
        }
        Ok(())
    }
}
