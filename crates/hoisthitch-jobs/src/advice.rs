//! Leave of a queue's adviser to run a step on some runners.

use std::collections::HashMap;

use crate::{
    Millis,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerKey, //
    },
    task::{
        TaskEntry,
        TaskPlace,
        TaskRef, //
    }, //
};

/// Runners that are named in one call; the platform takes as many.
const ASK_LIMIT: usize = 100;

/// Runners that are asked for each waiting task: an adviser allows some only.
const ASK_FOR_EACH: usize = 4;

/// Time before the same step is asked for again, in milliseconds.
const ASK_AGAIN_MS: Millis = 700;

/// Time for which a ticket must still hold when a start is planned, in
/// milliseconds: a record is written before the start.
const TICKET_SLACK_MS: Millis = 400;

/// A question for an adviser.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceRequest {
    /// One of the tasks that wait; tells the step.
    pub task: TaskRef,
    /// Name of the step: identifier of the job, round, step.
    pub step: String,
    /// Names of runners.
    pub runners: Vec<String>,
}

/// Leave to run a step on a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceTicket {
    /// Name of the runner.
    pub runner: String,
    /// The ticket.
    pub ticket: String,
}

/// What an adviser said of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    asked_at: Millis,
    /// Tickets by runner, and until when they hold.
    tickets: HashMap<String, (String, Millis)>,
}

impl StepAdvice {
    /// Forgets the leave for a runner.
    pub(crate) fn forget_runner(&mut self, runner: &str) {
        self.tickets.remove(runner);
    }
}

impl PoolState {
    /// The next question for an adviser.
    pub fn next_advice_request(&mut self, now: Millis) -> Option<AdviceRequest> {
        let (task, waiting) = self.unadvised(now)?;
        let job = self.jobs.get(task.job)?;
        let step = job.step_of(task.slot)?;
        let entry = job.tasks.get(task.slot)?;
        let key = (task.job, entry.round, entry.step);
        let name = format!("{}.{}.{}", job.id, entry.round, entry.step);
        let mut runners: Vec<(u64, String)> = self
            .runners
            .values()
            .filter(|runner| runner.takes_tasks(now) && runner.fits(step))
            .map(|runner| (runner.used.cpu_milli, runner.facts.name.clone()))
            .collect();
        runners.sort();
        runners.truncate((waiting * ASK_FOR_EACH).min(ASK_LIMIT));
        if runners.is_empty() {
            return None;
        }
        self.advice.entry(key).or_default().asked_at = now;
        Some(AdviceRequest {
            task,
            step: name,
            runners: runners.into_iter().map(|(_, name)| name).collect(),
        })
    }

    /// Whether a task needs leave for some runner now: it waits, or it lasts and
    /// its runner is about to leave.
    fn needs_leave(&self, task: TaskRef, entry: &TaskEntry) -> bool {
        let runner = entry.runner().and_then(|key| self.runners.get(key));
        let leaves = runner.is_some_and(|runner| runner.facts.draining);
        entry.place == TaskPlace::Waiting || (leaves && self.lasts(task))
    }

    /// A task of a step that waits for leave, and how many wait with it.
    fn unadvised(&self, now: Millis) -> Option<(TaskRef, usize)> {
        let jobs = self.active.iter();
        let jobs = jobs.filter_map(|key| Some((*key, self.jobs.get(*key)?)));
        let advised = jobs.filter(|(_, job)| job.policy.advised && !job.phase.is_final());
        let mut open = advised.flat_map(|(key, job)| {
            let tasks = job.tasks.iter().enumerate();
            tasks
                .filter(|(slot, _)| job.is_ready(*slot))
                .map(move |(slot, task)| (TaskRef { job: key, slot }, task))
                .filter(|(task, entry)| self.needs_leave(*task, entry))
        });
        let (task, entry) = open.find(|(task, entry)| {
            let advice = self.advice.get(&(task.job, entry.round, entry.step));
            advice.is_none_or(|advice| advice.asked_at + ASK_AGAIN_MS <= now)
        })?;
        let tasks = self.jobs.get(task.job)?.tasks_of(entry.round, entry.step);
        let waiting = tasks.filter(|(slot, other)| {
            let job = task.job;
            self.needs_leave(TaskRef { job, slot: *slot }, other)
        });
        Some((task, waiting.count()))
    }

    /// Takes in what an adviser said; its leave holds until `until`.
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

    /// Forgets what an adviser said of the task's step.
    pub(crate) fn drop_advice(&mut self, task: TaskRef) {
        if let Some(entry) = self.task(task) {
            let key = (task.job, entry.round, entry.step);
            self.advice.remove(&key);
        }
    }

    /// Whether the runner may run the task's step for long enough to plan its start.
    pub(crate) fn is_advised(&self, task: TaskRef, runner: &RunnerEntry, now: Millis) -> bool {
        self.has_leave(task, runner, now + TICKET_SLACK_MS)
    }

    /// Whether the runner may run the task's step at that time.
    pub(crate) fn has_leave(&self, task: TaskRef, runner: &RunnerEntry, at: Millis) -> bool {
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
