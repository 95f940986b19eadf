//! Serving tasks and fillers that share a runner: tails, pace, and the judge of
//! harm.

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

/// Time over which a reported tail is taken.
const TAIL_TIME: Duration = Duration::from_millis(500);

/// Time for which fillers may hold a tail over its target.
const HARM_TIME: Duration = Duration::from_secs(4);

/// What becomes of an order to set a pace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceFate {
    /// It is carried out and answered.
    Done,
    /// It never arrives.
    Lost,
    /// It is carried out that much later, and not answered.
    Late(Duration),
}

/// How tasks on a runner fare beside one another.
#[derive(Default)]
pub(super) struct TailModel {
    /// Tail of serving tasks without fillers, in milliseconds.
    quiet_ms: u64,
    /// What each filler at full pace adds, in milliseconds.
    filler_ms: u64,
    /// Tails so far, and since when.
    tails: Vec<(Instant, u64)>,
    over_since: Option<Instant>,
    violation_recorded: bool,
}

impl TailModel {
    /// Mean of the tail over the last while.
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
    /// Tail of its serving tasks at this moment.
    fn tail(&self) -> u64 {
        let fillers = self.running.values().filter(|run| run.best_effort);
        let pace: u64 = fillers.map(|run| u64::from(run.pace)).sum();
        self.sharing.quiet_ms + self.sharing.filler_ms * pace / 100
    }

    /// Whether fillers at work hold a tail over its target.
    fn is_harmed(&self, tail: u64) -> bool {
        let mut serving = self.running.values().filter(|run| run.target_ms > 0);
        let quiet = self.sharing.quiet_ms;
        serving.any(|run| tail > run.target_ms && quiet <= run.target_ms)
    }
}

impl FleetState {
    /// Judges how long fillers have held tails over their targets.
    pub(super) fn check_harm(&mut self, now: Instant) {
        for (name, runner) in self.runners.iter_mut().filter(|(_, runner)| runner.alive) {
            let tail = runner.tail();
            let harmed = runner.is_harmed(tail);
            let room = &mut runner.sharing;
            room.note(now, tail);
            if !harmed {
                room.over_since = None;
                room.violation_recorded = false;
                continue;
            }
            let since = *room.over_since.get_or_insert(now);
            let harm = now.duration_since(since);
            self.rules.longest_harm = self.rules.longest_harm.max(harm);
            let since = self.rules.calm_since(since);
            if since + HARM_TIME < now && !room.violation_recorded {
                room.violation_recorded = true;
                let broken = format!("fillers on {name} hold a tail at {tail} ms for {harm:?}");
                self.broken.push(broken);
            }
        }
    }
}

impl MemoryFleet {
    /// Sets the tail of serving tasks on all runners, and what a filler adds.
    pub fn set_tails(&self, quiet_ms: u64, filler_ms: u64) {
        self.settle();
        for runner in self.state.borrow_mut().runners.values_mut() {
            runner.sharing.quiet_ms = quiet_ms;
            runner.sharing.filler_ms = filler_ms;
        }
        self.settle();
    }

    /// Sets what becomes of the next orders to set a pace.
    pub fn set_pace_fates(&self, fates: &[PaceFate]) {
        let mut fates = fates.to_vec();
        fates.reverse();
        self.state.borrow_mut().rules.pace_fates = fates;
    }

    /// What becomes of orders to set a pace that did not come yet.
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

    /// Paces of fillers on living runners, by name of the task.
    pub fn paces(&self) -> Vec<(String, u32)> {
        let state = self.state.borrow();
        let living = state.runners.values().filter(|runner| runner.alive);
        let runs = living.flat_map(|runner| &runner.running);
        let best_effort = |(_, run): &(&String, &Run)| run.best_effort;
        runs.filter(best_effort)
            .map(|(task, run)| (task.clone(), run.pace))
            .collect()
    }

    /// Longest time for which fillers held a tail over its target.
    pub fn longest_harm(&self) -> Duration {
        self.settle();
        self.state.borrow().rules.longest_harm
    }
}
