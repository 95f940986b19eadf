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

/// Least time between two requests for the same step, in milliseconds, after a response with
/// tickets or without a response.
const REQUEST_INTERVAL_MS: Millis = 700;

/// Least time after a pass over the waiting steps that led to no request, in milliseconds: a pass
/// visits all runners for each step.
const CHECK_INTERVAL_MS: Millis = 50;

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
    /// Whether the last response permitted no runner.
    permitted_none: bool,
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

    /// Whether a request may be sent: after a response that permits no runner at once, since it
    /// names others.
    fn is_due(&self, now: Millis) -> bool {
        self.permitted_none || self.requested_at + REQUEST_INTERVAL_MS <= now
    }

    /// Records that a request names these runners.
    fn record_request(&mut self, runners: impl Iterator<Item = RunnerKey>, now: Millis) {
        self.requested_at = now;
        self.permitted_none = false;
        for runner in runners {
            self.named.entry(runner).or_default().named_at = now;
        }
    }

    /// Drops what is known of other runners.
    fn retain(&mut self, is_present: impl Fn(RunnerKey) -> bool) {
        self.named.retain(|runner, _| is_present(*runner));
        self.refused.retain(|runner| is_present(*runner));
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

/// A step with tasks that need a ticket.
#[derive(Clone, Copy, Debug)]
struct WaitingStep {
    /// One of those tasks.
    task: TaskRef,
    /// Number of those tasks.
    tasks: usize,
    /// By which steps take turns: when advice on it was last requested, or else when it began to
    /// wait; and, where that is the same time, whether it was requested.
    turn: (Millis, bool),
    /// Whether a request for it may be sent.
    is_due: bool,
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
    /// Returns the next request to an adviser, if one is due. Steps take turns; one for which no
    /// runner can be named leaves its turn to the next.
    pub fn next_advice_request(&mut self, now: Millis) -> Option<AdviceRequest> {
        let checked_at = self.advice_checked_at;
        if checked_at.is_some_and(|at| now < at + CHECK_INTERVAL_MS) {
            return None;
        }
        let steps = self.steps_without_ticket(now);
        let any_waits = !steps.is_empty();
        let mut due = steps.into_iter().filter(|waiting| waiting.is_due);
        let request = due.find_map(|waiting| self.build_request(&waiting, now));
        self.advice_checked_at = (request.is_none() && any_waits).then_some(now);
        request
    }

    /// The request for a step; none if no runner can be named.
    fn build_request(&mut self, waiting: &WaitingStep, now: Millis) -> Option<AdviceRequest> {
        let task = waiting.task;
        let key = self.advised_step(task)?;
        let (_, round, step) = key;
        let step = format!("{}.{round}.{step}", self.jobs.get(task.job)?.id);
        let usual = waiting.tasks.saturating_mul(RUNNERS_PER_TASK);
        let none = StepAdvice::default();
        let advice = self.advice.get(&key).unwrap_or(&none);
        let candidates = self.advice_candidates(task, advice, now);
        let chosen = advice.choose(candidates, usual);
        if chosen.is_empty() {
            return None;
        }
        let runners = &self.runners;
        let advice = self.advice.entry(key).or_default();
        advice.retain(|runner| runners.contains_key(runner));
        advice.record_request(chosen.iter().map(|candidate| candidate.key), now);
        Some(AdviceRequest {
            task,
            step,
            runners: chosen.into_iter().map(|candidate| candidate.name).collect(),
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

    /// Steps with tasks that need a ticket, in the order of their turns.
    fn steps_without_ticket(&self, now: Millis) -> Vec<WaitingStep> {
        let jobs = self.active.iter();
        let jobs = jobs.filter_map(|key| Some((*key, self.jobs.get(*key)?)));
        let advised = jobs.filter(|(_, job)| job.policy.advised && !job.phase.is_final());
        let mut steps: Vec<WaitingStep> = Vec::new();
        let mut position: HashMap<(JobKey, u32, u32), usize> = HashMap::new();
        for (key, job) in advised {
            for (slot, entry) in job.tasks.iter().enumerate() {
                let task = TaskRef { job: key, slot };
                if !job.is_ready(slot) || !self.needs_ticket(task, entry, now) {
                    continue;
                }
                let step = (key, entry.round, entry.step);
                let known = position.get(&step).and_then(|index| steps.get_mut(*index));
                if let Some(known) = known {
                    known.tasks += 1;
                    continue;
                }
                position.insert(step, steps.len());
                let advice = self.advice.get(&step);
                steps.push(WaitingStep {
                    task,
                    tasks: 1,
                    turn: advice.map_or((entry.changed_at, false), |advice| {
                        (advice.requested_at, true)
                    }),
                    is_due: advice.is_none_or(|advice| advice.is_due(now)),
                });
            }
        }
        steps.sort_by_key(|step| step.turn);
        steps
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
        advice.permitted_none = tickets.is_empty();
        let doubled = request.runners.len().saturating_mul(2);
        advice.request_len = advice.permitted_none.then_some(doubled);
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
