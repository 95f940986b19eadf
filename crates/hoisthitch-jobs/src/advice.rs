//! Tickets: permissions of a queue's adviser to run a step on certain runners.
//!
//! A step of an advised queue only starts on a runner for which the adviser has issued a
//! ticket that is still valid. [`PoolState::next_advice_request`] returns the next request to
//! send, [`PoolState::record_advice`] stores the tickets of a response.
//!
//! An adviser's answer about a step and an instance of a runner stays the same. A runner that was
//! turned down is not named again, and those that were never named get their turn, so that the
//! permitted ones are found however few there are.

use std::collections::{
    BTreeSet,
    HashMap,
    HashSet, //
};

use crate::{
    Millis,
    job::JobKey,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerKey, //
    },
    spec::StepSpec,
    task::{
        TaskEntry,
        TaskRef,
        TaskState, //
    }, //
};

/// Most runners named in one request; the platform accepts as many.
const REQUEST_RUNNERS_MAX: usize = 100;

/// Number of runners named for each waiting task: an adviser allows only some of them. It doubles
/// with each response that permits none.
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

/// A runner that was named to an adviser and not turned down.
#[derive(Clone, Debug, Default)]
struct NamedRunner {
    /// When it was last named.
    named_at: Millis,
    /// The last ticket, and the time until which it is valid; none before the first.
    ticket: Option<(String, Millis)>,
}

/// Responses of an adviser about a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    requested_at: Millis,
    /// Number of runners that the next request may name; none for the usual number.
    request_len: Option<usize>,
    named: HashMap<RunnerKey, NamedRunner>,
    /// Runners that may not run the step.
    refused: HashSet<RunnerKey>,
}

impl StepAdvice {
    /// Whether the runner has a ticket that is valid at `at`.
    fn has_ticket(&self, runner: RunnerKey, at: Millis) -> bool {
        let ticket = self.ticket(runner);
        ticket.is_some_and(|(_, until)| *until > at)
    }

    fn ticket(&self, runner: RunnerKey) -> Option<&(String, Millis)> {
        self.named.get(&runner)?.ticket.as_ref()
    }

    /// Records that the request names these runners.
    fn record_request(&mut self, runners: &[RunnerKey], now: Millis) {
        self.requested_at = now;
        for runner in runners {
            self.named.entry(*runner).or_default().named_at = now;
        }
    }

    /// Of these runners, the ones to name now; `usual` is the usual number of them. Runners that
    /// were permitted before come first, but never take the turn of all others.
    fn choose(&self, mut candidates: Vec<AdviceCandidate>, usual: usize) -> Vec<AdviceCandidate> {
        candidates.sort_by(|left, right| left.order().cmp(&right.order()));
        let (permitted, untried): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|candidate| candidate.is_repeat || self.ticket(candidate.key).is_some());
        let limit = self.request_len.unwrap_or(usual).min(REQUEST_RUNNERS_MAX);
        let reserved = permitted.len().min(limit.div_ceil(2));
        let untried_count = untried.len().min(limit - reserved);
        let chosen = permitted.into_iter().take(limit - untried_count);
        chosen
            .chain(untried.into_iter().take(untried_count))
            .collect()
    }
}

/// A runner that may be named in a request.
#[derive(Clone, Debug)]
struct AdviceCandidate {
    /// Whether a start is to be sent to it again.
    is_repeat: bool,
    named_at: Millis,
    used_cpu_milli: u64,
    name: String,
    key: RunnerKey,
}

impl AdviceCandidate {
    /// Order in which candidates are named: those named the longest time ago first, so that each
    /// gets its turn.
    fn order(&self) -> (bool, Millis, u64, &str) {
        (
            !self.is_repeat,
            self.named_at,
            self.used_cpu_milli,
            &self.name,
        )
    }
}

impl PoolState {
    /// Returns the next request to an adviser, if one is due.
    pub fn next_advice_request(&mut self, now: Millis) -> Option<AdviceRequest> {
        let (task, waiting) = self.task_without_ticket(now)?;
        let job = self.jobs.get(task.job)?;
        let entry = job.tasks.get(task.slot)?;
        let key = (task.job, entry.round, entry.step);
        let step = format!("{}.{}.{}", job.id, entry.round, entry.step);
        let mut advice = self.advice.remove(&key).unwrap_or_default();
        advice
            .named
            .retain(|runner, _| self.runners.contains_key(*runner));
        advice
            .refused
            .retain(|runner| self.runners.contains_key(*runner));
        let candidates = self.advice_candidates(task, &advice, now);
        let chosen = advice.choose(candidates, waiting.saturating_mul(RUNNERS_PER_TASK));
        let keys: Vec<RunnerKey> = chosen.iter().map(|candidate| candidate.key).collect();
        if !keys.is_empty() {
            advice.record_request(&keys, now);
        }
        self.advice.insert(key, advice);
        let runners: Vec<String> = chosen.into_iter().map(|candidate| candidate.name).collect();
        (!runners.is_empty()).then_some(AdviceRequest {
            task,
            step,
            runners,
        })
    }

    /// Runners on which a task could start if its step had a ticket, and for which it has none
    /// that lasts.
    fn advice_candidates(
        &self,
        task: TaskRef,
        advice: &StepAdvice,
        now: Millis,
    ) -> Vec<AdviceCandidate> {
        let job = self.jobs.get(task.job);
        let Some((job, entry)) = job.zip(self.task(task)) else {
            return Vec::new();
        };
        let Some(step) = job.step_of(task.slot) else {
            return Vec::new();
        };
        // Starts that are to be sent again have their runners already.
        let repeats = job.tasks_of(entry.round, entry.step);
        let repeats = repeats.filter_map(|(_, other)| runner_of_repeat(other));
        let repeats: BTreeSet<RunnerKey> = repeats.collect();
        let isolate = self.must_isolate(task, now);
        let lasting = now + REQUEST_INTERVAL_MS + TICKET_MARGIN_MS;
        self.runners
            .iter()
            .filter(|(key, _)| !advice.refused.contains(key) && !advice.has_ticket(*key, lasting))
            .map(|(key, runner)| (key, runner, repeats.contains(&key)))
            .filter(|(_, runner, repeats)| {
                *repeats || self.may_place_advised(task, step, runner, isolate, now)
            })
            .map(|(key, runner, repeats)| AdviceCandidate {
                is_repeat: repeats,
                named_at: advice.named.get(&key).map_or(0, |named| named.named_at),
                used_cpu_milli: runner.used.cpu_milli,
                name: runner.facts.name.clone(),
                key,
            })
            .collect()
    }

    /// Whether a task could be placed on a runner if it had a ticket. A runner can be emptied for a
    /// task that must be isolated.
    fn may_place_advised(
        &self,
        task: TaskRef,
        step: &StepSpec,
        runner: &RunnerEntry,
        isolate: bool,
        now: Millis,
    ) -> bool {
        let fits = if isolate {
            runner.could_fit(step)
        } else {
            runner.fits(step)
        };
        fits && runner.takes_tasks(now)
            && step.allows_labels_of(runner)
            && self.allows_one_more(task, step, runner)
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

    /// Stores an adviser's response; its tickets are valid until `until`. The runners that it
    /// does not permit may not run the step.
    pub fn record_advice(
        &mut self,
        request: &AdviceRequest,
        tickets: Vec<AdviceTicket>,
        until: Millis,
    ) {
        let Some(key) = self.advised_step(request.task) else {
            return;
        };
        let Some(mut advice) = self.advice.remove(&key) else {
            return;
        };
        let permits_none = tickets.is_empty();
        advice.request_len = permits_none.then_some(request.runners.len().saturating_mul(2));
        let mut tickets: HashMap<String, String> = tickets
            .into_iter()
            .map(|row| (row.runner, row.ticket))
            .collect();
        for name in &request.runners {
            let runner = self.runner_key(name);
            // The answer may be about an earlier instance under this name.
            let is_asked = |runner: &RunnerKey| advice.named.contains_key(runner);
            let Some(runner) = runner.filter(is_asked) else {
                continue;
            };
            match tickets.remove(name) {
                Some(ticket) => {
                    let named = advice.named.entry(runner).or_default();
                    named.ticket = Some((ticket, until));
                }
                None => {
                    advice.named.remove(&runner);
                    advice.refused.insert(runner);
                }
            }
        }
        self.advice.insert(key, advice);
        self.plan_needed = true;
    }

    /// Records that a request got no response. The adviser may be too slow for as many runners.
    pub fn record_missing_advice(&mut self, request: &AdviceRequest) {
        let key = self.advised_step(request.task);
        if let Some(advice) = key.and_then(|key| self.advice.get_mut(&key)) {
            advice.request_len = Some((request.runners.len() / 2).max(1));
        }
    }

    /// Key of a task's step among those with advice.
    fn advised_step(&self, task: TaskRef) -> Option<(JobKey, u32, u32)> {
        let entry = self.task(task)?;
        Some((task.job, entry.round, entry.step))
    }

    /// Invalidates all tickets of the task's step.
    pub(crate) fn drop_tickets(&mut self, task: TaskRef) {
        let key = self.advised_step(task);
        if let Some(advice) = key.and_then(|key| self.advice.get_mut(&key)) {
            advice.requested_at = 0;
            for named in advice.named.values_mut() {
                if let Some((_, until)) = &mut named.ticket {
                    *until = 0;
                }
            }
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
        let advice = self.advice_of(task);
        let key = self.runner_key(&runner.facts.name);
        let has_ticket = advice
            .zip(key)
            .map(|(advice, key)| advice.has_ticket(key, at));
        has_ticket.unwrap_or(false)
    }

    /// The ticket for a task on a runner.
    pub(crate) fn ticket(&self, task: TaskRef, runner: RunnerKey) -> Option<String> {
        let ticket = self.advice_of(task)?.ticket(runner)?;
        Some(ticket.0.clone())
    }

    fn advice_of(&self, task: TaskRef) -> Option<&StepAdvice> {
        self.advice.get(&self.advised_step(task)?)
    }
}

/// Runner to which a task's start is to be sent again; none where it is not.
fn runner_of_repeat(entry: &TaskEntry) -> Option<RunnerKey> {
    match entry.state {
        TaskState::Ordered(runner) if entry.outcome_unknown => Some(runner),
        _ => None,
    }
}
