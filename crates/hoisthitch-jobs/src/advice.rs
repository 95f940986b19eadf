//! Tickets: permissions of a queue's adviser to run a step on certain runners.
//!
//! A step of an advised queue only starts on a runner for which the adviser has issued a
//! ticket that is still valid. [`PoolState::next_advice_request`] returns the next request to
//! send, [`PoolState::record_advice`] stores the tickets of a response.

use std::collections::{
    BTreeSet,
    HashMap, //
};

use crate::{
    Millis,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerKey, //
    },
    task::{
        TaskEntry,
        TaskRef,
        TaskState, //
    }, //
};

/// Most runners named in one request; the platform accepts as many.
const REQUEST_RUNNERS_MAX: usize = 100;

/// Number of runners named for each waiting task: an adviser allows only some of them.
const RUNNERS_PER_TASK: usize = 4;

/// Least time between two requests for the same step, in milliseconds.
const REQUEST_INTERVAL_MS: Millis = 700;

/// Time for which a ticket must still be valid when a start is planned, in milliseconds: a
/// record is written before the start is sent.
const TICKET_MARGIN_MS: Millis = 400;

/// A request to an adviser.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceRequest {
    /// One of the waiting tasks; identifies the step.
    pub task: TaskRef,
    /// Name of the step: identifier of the job, round, step.
    pub step: String,
    /// Names of runners.
    pub runners: Vec<String>,
}

/// Permission to run a step on a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceTicket {
    /// Name of the runner.
    pub runner: String,
    /// The ticket.
    pub ticket: String,
}

/// Responses of an adviser about a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    requested_at: Millis,
    /// Tickets and the times until which they are valid, by runner.
    tickets: HashMap<String, (String, Millis)>,
}

impl StepAdvice {
    /// Drops the ticket for a runner.
    pub(crate) fn forget_runner(&mut self, runner: &str) {
        self.tickets.remove(runner);
    }
}

impl PoolState {
    /// Returns the next request to an adviser, if one is due.
    pub fn next_advice_request(&mut self, now: Millis) -> Option<AdviceRequest> {
        let (task, waiting) = self.task_without_ticket(now)?;
        let job = self.jobs.get(task.job)?;
        let step = job.step_of(task.slot)?;
        let entry = job.tasks.get(task.slot)?;
        let key = (task.job, entry.round, entry.step);
        let name = format!("{}.{}.{}", job.id, entry.round, entry.step);
        // Starts that are to be sent again have their runners already.
        let repeats = job.tasks_of(entry.round, entry.step);
        let repeats = repeats.filter_map(|(_, other)| runner_of_repeat(other));
        let repeats: BTreeSet<RunnerKey> = repeats.collect();
        let mut runners: Vec<(bool, u64, String)> = self
            .runners
            .iter()
            .map(|(key, runner)| (repeats.contains(&key), runner))
            .filter(|(repeats, runner)| *repeats || (runner.takes_tasks(now) && runner.fits(step)))
            .map(|(repeats, runner)| (!repeats, runner.used.cpu_milli, runner.facts.name.clone()))
            .collect();
        runners.sort();
        runners.truncate((waiting * RUNNERS_PER_TASK).min(REQUEST_RUNNERS_MAX));
        if runners.is_empty() {
            return None;
        }
        self.advice.entry(key).or_default().requested_at = now;
        Some(AdviceRequest {
            task,
            step: name,
            runners: runners.into_iter().map(|(_, _, name)| name).collect(),
        })
    }

    /// Whether a task needs a ticket for some runner now: it waits, its start is to be sent again
    /// and the ticket for that has expired, or it is long-running and its runner is draining.
    fn needs_ticket(&self, task: TaskRef, entry: &TaskEntry, now: Millis) -> bool {
        if entry.state == TaskState::Waiting {
            return true;
        }
        let Some(runner) = entry.runner().and_then(|key| self.runners.get(key)) else {
            return false;
        };
        let is_repeat = runner_of_repeat(entry).is_some();
        (is_repeat && !self.has_ticket(task, runner, now))
            || (runner.facts.draining && self.is_long_running(task))
    }

    /// A task that needs a ticket, of a step for which a request may be sent, and the number
    /// of the step's tasks that need one.
    fn task_without_ticket(&self, now: Millis) -> Option<(TaskRef, usize)> {
        let jobs = self.active.iter();
        let jobs = jobs.filter_map(|key| Some((*key, self.jobs.get(*key)?)));
        let advised = jobs.filter(|(_, job)| job.policy.advised && !job.phase.is_final());
        let mut candidates = advised.flat_map(|(key, job)| {
            let tasks = job.tasks.iter().enumerate();
            tasks
                .filter(|(slot, _)| job.is_ready(*slot))
                .map(move |(slot, task)| (TaskRef { job: key, slot }, task))
                .filter(|(task, entry)| self.needs_ticket(*task, entry, now))
        });
        let (task, entry) = candidates.find(|(task, entry)| {
            let advice = self.advice.get(&(task.job, entry.round, entry.step));
            advice.is_none_or(|advice| advice.requested_at + REQUEST_INTERVAL_MS <= now)
        })?;
        let tasks = self.jobs.get(task.job)?.tasks_of(entry.round, entry.step);
        let waiting = tasks.filter(|(slot, other)| {
            let job = task.job;
            self.needs_ticket(TaskRef { job, slot: *slot }, other, now)
        });
        Some((task, waiting.count()))
    }

    /// Stores the tickets of an adviser's response; they are valid until `until`.
    pub fn record_advice(&mut self, task: TaskRef, tickets: Vec<AdviceTicket>, until: Millis) {
        let Some(entry) = self.task(task) else {
            return;
        };
        let key = (task.job, entry.round, entry.step);
        let advice = self.advice.entry(key).or_default();
        let rows = tickets.into_iter();
        advice
            .tickets
            .extend(rows.map(|row| (row.runner, (row.ticket, until))));
        self.plan_needed = true;
    }

    /// Drops all tickets of the task's step.
    pub(crate) fn drop_advice(&mut self, task: TaskRef) {
        if let Some(entry) = self.task(task) {
            let key = (task.job, entry.round, entry.step);
            self.advice.remove(&key);
        }
    }

    /// Whether there is a ticket for the task on the runner that is valid for long enough to
    /// plan a start.
    pub(crate) fn is_advised(&self, task: TaskRef, runner: &RunnerEntry, now: Millis) -> bool {
        self.has_ticket(task, runner, now + TICKET_MARGIN_MS)
    }

    /// Whether there is a ticket for the task on the runner that is valid at `at`, or none is
    /// needed.
    pub(crate) fn has_ticket(&self, task: TaskRef, runner: &RunnerEntry, at: Millis) -> bool {
        let Some(job) = self.jobs.get(task.job) else {
            return false;
        };
        if !job.policy.advised {
            return true;
        }
        let ticket = self.find_ticket(task, &runner.facts.name);
        ticket.is_some_and(|(_, until)| *until > at)
    }

    /// The ticket for a task on a runner.
    pub(crate) fn ticket(&self, task: TaskRef, runner: RunnerKey) -> Option<String> {
        let name = &self.runners.get(runner)?.facts.name;
        self.find_ticket(task, name)
            .map(|(ticket, _)| ticket.clone())
    }

    fn find_ticket(&self, task: TaskRef, runner: &str) -> Option<&(String, Millis)> {
        let entry = self.task(task)?;
        let advice = self.advice.get(&(task.job, entry.round, entry.step))?;
        advice.tickets.get(runner)
    }
}

/// Runner to which a task's start is to be sent again; none where it is not.
fn runner_of_repeat(entry: &TaskEntry) -> Option<RunnerKey> {
    match entry.state {
        TaskState::Ordered(runner) if entry.outcome_unknown => Some(runner),
        _ => None,
    }
}
