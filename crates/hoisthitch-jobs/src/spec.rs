//! Job specifications: what a caller submits, and its validation.
//!
//! A job is a list of steps, a step a number of tasks that are alike. A step may depend on
//! earlier steps only, so the steps are always in an order that can be executed.

use std::{
    collections::HashSet,
    fmt,
    marker::PhantomData, //
};

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{
        Error,
        SeqAccess,
        Visitor, //
    },
};
use thiserror::Error as ThisError;

use crate::resources::ResourceAmounts;

/// Longest payload, in bytes; the platform's limit.
pub const PAYLOAD_MAX_BYTES: usize = 4_000;

/// Most of a resource that a task may ask for: a million cores, in thousandths. The sums over a
/// job's tasks and their times must not overflow.
const AMOUNT_MAX: u64 = 1_000_000_000;

/// Longest time of a task that may be named, in milliseconds: eleven days.
const ESTIMATE_MAX_MS: u64 = 1_000_000_000;

/// Latest time and longest interval of a repeated job, in milliseconds since 1970: the year 3084.
const TIME_MAX_MS: u64 = 1 << 45;

/// Most tasks of a job over all its rounds. The record of a job with that many stays below the
/// store's size limit for a value.
const TASKS_MAX: u64 = 4_000;

/// Most steps of a job: each has a task. A text has room for many more, which would take a
/// hundred times its length when parsed.
const STEPS_MAX: usize = 4_000;

/// A job, as its caller submitted it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct JobSpec {
    /// Payload that is passed to each task.
    pub payload: String,
    /// Steps, in the caller's order.
    #[serde(deserialize_with = "parse_steps")]
    pub steps: Vec<StepSpec>,
    /// When the steps run again; they run once if there is no schedule.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
}

/// Schedule of a repeated job.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSchedule {
    /// First round, in milliseconds since 1970.
    pub first_ms: u64,
    /// Time between the begins of two rounds, in milliseconds.
    pub interval_ms: u64,
    /// Number of rounds.
    pub repetitions: u32,
}

/// A step: a number of tasks that are alike.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub need: ResourceAmounts,
    /// The caller's estimate of a task's running time, in milliseconds.
    pub estimate_ms: u64,
    /// Steps that must be done before, by number from 0.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether tasks save their progress and can resume from it.
    pub checkpoints: bool,
    /// Whether the tasks only work when all of them run at the same time.
    pub gang: bool,
    /// Whether tasks run slower when they are spread over several racks.
    pub same_rack: bool,
    /// Label that a runner must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// Rack where the tasks' data is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<String>,
    /// Most tasks of the step on one runner; zero for no limit.
    #[serde(rename = "spread")]
    pub max_per_runner: u32,
    /// Whether several runs of one task may run at the same time.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled (a service).
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub image: String,
    /// Latency target of a serving task: a bound on the tail of its response times, in
    /// milliseconds; zero where the task serves no requests.
    pub target_ms: u64,
    /// Whether the tasks are best-effort: they only use processor time that others leave idle.
    #[serde(rename = "filler")]
    pub best_effort: bool,
    /// Number of long-running tasks that hoisthitch may make unavailable at the same time.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Resources that a task of the step reserves on its runner; a best-effort task reserves
    /// no processor.
    pub(crate) fn reservation(&self) -> ResourceAmounts {
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

/// Why a job is rejected.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum SpecError {
    /// The payload is too long.
    #[error("the payload has {0} bytes; {PAYLOAD_MAX_BYTES} are allowed")]
    PayloadTooLong(usize),
    /// The job has no steps.
    #[error("the job has no steps")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {0} has no tasks; give a count of 1 or more")]
    NoTasks(usize),
    /// The job has too many tasks.
    #[error("the job has {0} tasks; {TASKS_MAX} are allowed")]
    TooManyTasks(u64),
    /// A step depends on itself or on a later one.
    #[error("step {step} comes after step {after}, which is not an earlier step")]
    BadOrder {
        /// The step.
        step: usize,
        /// The step that it depends on.
        after: u32,
    },
    /// A step names the same dependency twice.
    #[error("step {0} names an earlier step twice")]
    DoubledOrder(usize),
    /// A step asks for more than any runner has, or for more time than any task takes.
    #[error("step {step}: {field} is {value}; at most {max} is allowed")]
    TooLarge {
        /// The step.
        step: usize,
        /// What is too large.
        field: &'static str,
        /// Its value.
        value: u64,
        /// Largest value.
        max: u64,
    },
    /// The times of a repeated job are too far in the future.
    #[error(
        "the job is due at {first_ms} ms and every {interval_ms} ms; at most {TIME_MAX_MS} is allowed"
    )]
    TooLate {
        /// When the first round is due.
        first_ms: u64,
        /// Interval between two rounds.
        interval_ms: u64,
    },
    /// A repeated job has no interval between its rounds.
    #[error("the job is repeated without an interval")]
    NoInterval,
}

/// Parses a list of steps, and fails at the first one beyond those that a job may have.
///
/// # Errors
///
/// Fails when the list is malformed or too long.
pub fn parse_steps<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(StepsVisitor(PhantomData))
}

/// Collects steps up to [`STEPS_MAX`].
struct StepsVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for StepsVisitor<T> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of up to {STEPS_MAX} steps")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<T>, A::Error> {
        let mut steps = Vec::new();
        while let Some(step) = list.next_element()? {
            if steps.len() == STEPS_MAX {
                return Err(A::Error::custom(format_args!(
                    "the job has more than {STEPS_MAX} steps"
                )));
            }
            steps.push(step);
        }
        Ok(steps)
    }
}

impl JobSpec {
    /// Validates the specification.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.payload.len() > PAYLOAD_MAX_BYTES {
            return Err(SpecError::PayloadTooLong(self.payload.len()));
        }
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            step.check(number)?;
        }
        let tasks = u64::from(self.tasks_per_round()) * u64::from(self.rounds());
        if tasks > TASKS_MAX {
            return Err(SpecError::TooManyTasks(tasks));
        }
        let Some(schedule) = self.schedule else {
            return Ok(());
        };
        let (first_ms, interval_ms) = (schedule.first_ms, schedule.interval_ms);
        if schedule.repetitions > 1 && interval_ms == 0 {
            return Err(SpecError::NoInterval);
        }
        if first_ms.max(interval_ms) > TIME_MAX_MS {
            return Err(SpecError::TooLate {
                first_ms,
                interval_ms,
            });
        }
        Ok(())
    }

    /// Number of tasks of one round, over all steps.
    pub fn tasks_per_round(&self) -> u32 {
        self.steps
            .iter()
            .fold(0, |sum: u32, step| sum.saturating_add(step.count))
    }

    /// Number of rounds.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |times| times.repetitions.max(1))
    }

    /// Whether any step is long-running: its tasks run until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Length of the critical path through the steps, given the time of each.
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
    /// Most tasks of a long-running step that should be placed on one runner, so that its VM
    /// can go down without making more tasks unavailable than allowed.
    pub fn max_together(&self) -> u32 {
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
        let amounts = [
            ("cpu", self.need.cpu_milli, AMOUNT_MAX),
            ("memory", self.need.memory_mb, AMOUNT_MAX),
            ("gpu", self.need.gpus, AMOUNT_MAX),
            ("the estimated time", self.estimate_ms, ESTIMATE_MAX_MS),
            ("the target latency", self.target_ms, ESTIMATE_MAX_MS),
        ];
        for (field, value, max) in amounts {
            if value > max {
                return Err(SpecError::TooLarge {
                    step: number,
                    field,
                    value,
                    max,
                });
            }
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
