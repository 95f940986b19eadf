//! Serving tasks and best-effort tasks that share a runner: a model of the tail latency, the
//! throttle of best-effort tasks, and the checker that they don't hold the latency above its
//! target for long.

use std::time::Duration;

use hoisthitch_jobs::PaceOrder;
use hoisthitch_scheduler::platform::RunnerError;
use tokio::time::Instant;

use super::{
    MemoryFleet,
    instance::{
        Run,
        Runner, //
    },
    runners::FleetState, //
};

/// Time over which a reported tail latency is averaged.
const TAIL_TIME: Duration = Duration::from_millis(500);

/// Time for which best-effort tasks may hold a tail latency above its target.
const HARM_TIME: Duration = Duration::from_secs(4);

/// How an order to throttle a task is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceFate {
    /// It is carried out and gets a response.
    Done,
    /// It never arrives.
    Lost,
    /// It is carried out after this delay, and gets no response.
    Late(Duration),
}

/// Tail latency of the serving tasks of a runner.
#[derive(Default)]
pub(super) struct TailModel {
    /// Tail latency of serving tasks without best-effort tasks, in milliseconds.
    quiet_ms: u64,
    /// Latency that each unthrottled best-effort task adds, in milliseconds.
    best_effort_ms: u64,
    /// Tail latencies so far, each with the time from which it applied.
    tails: Vec<(Instant, u64)>,
    over_since: Option<Instant>,
    violation_recorded: bool,
}

impl TailModel {
    /// Mean of the tail latency over the last [`TAIL_TIME`].
    pub(super) fn reported(&self, now: Instant) -> u64 {
        let Some(from) = now.checked_sub(TAIL_TIME) else {
            return self.quiet_ms;
        };
        let mut until = now;
        let mut sum = 0;
        for (since, tail) in self.tails.iter().rev() {
            let begin = (*since).max(from);
            sum += until.duration_since(begin).as_millis() as u64 * tail;
            until = begin;
            if until <= from {
                break;
            }
        }
        sum / TAIL_TIME.as_millis() as u64
    }

    fn note(&mut self, now: Instant, tail: u64) {
        if self.tails.last().is_none_or(|(_, last)| *last != tail) {
            self.tails.push((now, tail));
        }
    }
}

impl Runner {
    /// Present tail latency of its serving tasks, in milliseconds.
    fn tail(&self) -> u64 {
        let best_effort = self.running.values().filter(|run| run.best_effort);
        let pace: u64 = best_effort.map(|run| u64::from(run.pace)).sum();
        self.sharing.quiet_ms + self.sharing.best_effort_ms * pace / 100
    }

    /// Whether best-effort tasks hold a tail latency above its target.
    fn is_harmed(&self, tail: u64) -> bool {
        let mut serving = self.running.values().filter(|run| run.target_ms > 0);
        let quiet = self.sharing.quiet_ms;
        serving.any(|run| tail > run.target_ms && quiet <= run.target_ms)
    }
}

impl FleetState {
    /// Checks for how long best-effort tasks have held tail latencies above their targets.
    pub(super) fn check_harm(&mut self, now: Instant) {
        for (name, runner) in self.runners.iter_mut().filter(|(_, runner)| runner.alive) {
            let tail = runner.tail();
            let harmed = runner.is_harmed(tail);
            let tails = &mut runner.sharing;
            tails.note(now, tail);
            if !harmed {
                tails.over_since = None;
                tails.violation_recorded = false;
                continue;
            }
            let since = *tails.over_since.get_or_insert(now);
            let harm = now.duration_since(since);
            self.rules.longest_harm = self.rules.longest_harm.max(harm);
            let since = self.rules.calm_since(since);
            if since + HARM_TIME < now && !tails.violation_recorded {
                tails.violation_recorded = true;
                let violation = format!(
                    "best-effort tasks on {name} hold a tail latency at {tail} ms for {harm:?}"
                );
                self.violations.push(violation);
            }
        }
    }
}

impl MemoryFleet {
    /// Sets the tail latency of serving tasks on all runners, and what an unthrottled best-effort
    /// task adds, both in milliseconds.
    pub fn set_tails(&self, quiet_ms: u64, best_effort_ms: u64) {
        self.settle();
        for runner in self.state.borrow_mut().runners.values_mut() {
            runner.sharing.quiet_ms = quiet_ms;
            runner.sharing.best_effort_ms = best_effort_ms;
        }
        self.settle();
    }

    /// Sets how the next orders to throttle a task are handled, the first one first.
    pub fn set_pace_fates(&self, fates: &[PaceFate]) {
        let mut fates = fates.to_vec();
        fates.reverse();
        self.state.borrow_mut().rules.pace_fates = fates;
    }

    /// Number of values of [`Self::set_pace_fates`] that no order has used yet.
    pub fn pace_fates_left(&self) -> usize {
        self.state.borrow().rules.pace_fates.len()
    }

    pub(super) fn next_pace_fate(&self) -> PaceFate {
        let fate = self.state.borrow_mut().rules.pace_fates.pop();
        fate.unwrap_or(PaceFate::Done)
    }

    pub(super) fn set_pace(
        &self,
        name: &str,
        order: &PaceOrder,
        epoch: u64,
    ) -> Result<(), RunnerError> {
        self.settle();
        {
            let mut state = self.state.borrow_mut();
            let runner = state.runners.get_mut(name).filter(|runner| runner.alive);
            let runner = runner.ok_or(RunnerError::WrongLife)?;
            if epoch < runner.fence {
                return Err(RunnerError::Fenced);
            }
            runner.fence = epoch;
            let run = runner.running.get_mut(&order.name.to_string());
            let run = run.filter(|run| run.run == order.run);
            let run = run.ok_or(RunnerError::Refused(409))?;
            run.pace = order.percent;
        }
        self.settle();
        Ok(())
    }

    /// Throttles of best-effort tasks on live runners, in percent, by name of the task.
    pub fn paces(&self) -> Vec<(String, u32)> {
        let state = self.state.borrow();
        let living = state.runners.values().filter(|runner| runner.alive);
        let runs = living.flat_map(|runner| &runner.running);
        let best_effort = |(_, run): &(&String, &Run)| run.best_effort;
        runs.filter(best_effort)
            .map(|(task, run)| (task.clone(), run.pace))
            .collect()
    }

    /// Longest time for which best-effort tasks held a tail latency above its target.
    pub fn longest_harm(&self) -> Duration {
        self.settle();
        self.state.borrow().rules.longest_harm
    }
}
