//! Chooses the runner of a task: the cheapest of the runners that fit it.

use crate::{
    Millis,
    cold_start::COLD_COST,
    hall_spread::{
        HallCost,
        HallCounts, //
    },
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerEvacuation,
        RunnerKey, //
    },
    spec::StepSpec,
    task::TaskRef, //
};

/// Cost of a runner on another rack than the data, in shares of a runner's load: work takes
/// twice as long there, and even an empty runner does not make up for that.
const OTHER_RACK_COST: f64 = 2.0;

/// Cost of placing a long-running task on a runner that already holds as many of its step as
/// may be unavailable at the same time: more than any load, so that such a runner is the last
/// choice.
const CROWDED_COST: f64 = 4.0;

/// Cost of placing a task on a runner without long-running tasks: long-running tasks stay
/// together, short tasks are placed beside them, and the other runners can be moved out of the
/// pool. The latter brings less than 1 percent of the attainable value, which is within chance
/// (80 simulated days, docs/decisions.md).
const NO_LONG_RUNNING_COST: f64 = 1.0;

/// Cost of each best-effort task beside a serving task, in shares of a runner's load: enough
/// to keep the two kinds on different runners while there are any.
const INTERFERENCE_COST: f64 = 0.5;

/// Cost of a runner whose VM goes down later: more than all others together, so that it gets only
/// tasks that fit nowhere else.
const EVACUATED_AHEAD_COST: f64 = 100.0;

impl PoolState {
    /// The runner for a task, on the given rack if there is one; none if no runner fits.
    pub(crate) fn choose_runner(
        &self,
        task: TaskRef,
        rack: Option<&str>,
        now: Millis,
    ) -> Option<RunnerKey> {
        let job = self.jobs.get(task.job)?;
        let step = job.step_of(task.slot)?;
        let failed_on = job.tasks.get(task.slot)?.failed_on;
        if self.must_isolate(task, now) && !self.may_isolate(task) {
            return None;
        }
        let counts = self.hall_counts(task, step);
        let best = |avoid: Option<RunnerKey>| {
            let fitting = self
                .fitting_runners(task, step, now)
                .filter(|(_, runner)| rack.is_none_or(|rack| runner.facts.rack == rack))
                .filter(|(key, _)| Some(*key) != avoid);
            // Costs of several parts take longer to compare, and most choices need one part only.
            match &counts {
                None => fitting
                    .map(|(key, runner)| (self.cost(task, runner, step, now), key))
                    .min_by(|left, right| left.0.total_cmp(&right.0))
                    .map(|(_, key)| key),
                Some(counts) if step.long_running => fitting
                    .map(|(key, runner)| (self.hall_cost(task, runner, step, counts, now), key))
                    .min_by(|left, right| left.0.total_cmp(&right.0))
                    .map(|(_, key)| key),
                Some(counts) => fitting
                    .map(|(key, runner)| (self.cost(task, runner, step, now), runner, key))
                    .min_by(|left, right| {
                        let tie = || counts.in_hall_of(left.1).cmp(&counts.in_hall_of(right.1));
                        left.0.total_cmp(&right.0).then_with(tie)
                    })
                    .map(|(_, _, key)| key),
            }
        };
        best(failed_on).or_else(|| failed_on.and_then(|_| best(None)))
    }

    /// Number of runners that could take the task now.
    pub(crate) fn count_fitting_runners(&self, task: TaskRef, now: Millis) -> usize {
        let step = self
            .jobs
            .get(task.job)
            .and_then(|job| job.step_of(task.slot));
        step.map_or(0, |step| self.fitting_runners(task, step, now).count())
    }

    fn fitting_runners<'a>(
        &'a self,
        task: TaskRef,
        step: &'a StepSpec,
        now: Millis,
    ) -> impl Iterator<Item = (RunnerKey, &'a RunnerEntry)> {
        let isolate = self.must_isolate(task, now);
        let avoids_unproven = self.avoids_unproven(task, now);
        self.runners
            .iter()
            .filter(move |(_, runner)| runner.takes_tasks(now) && runner.fits(step))
            .filter(move |(_, runner)| self.rate_allows_plan(runner, now))
            .filter(move |(_, runner)| self.allows_isolation(task, isolate, runner, now))
            .filter(move |(_, runner)| self.allows_trial(task, runner, now))
            .filter(move |(_, runner)| runner.lists_end_of(step, now))
            .filter(move |(_, runner)| !avoids_unproven || !runner.is_unproven())
            .filter(move |(_, runner)| step.allows_labels_of(runner))
            .filter(move |(_, runner)| self.is_advised(task, runner, now))
            .filter(move |(_, runner)| self.allows_one_more(task, step, runner))
    }

    /// Whether a runner may get another task of the step beside those that it has.
    pub(crate) fn allows_one_more(
        &self,
        task: TaskRef,
        step: &StepSpec,
        runner: &RunnerEntry,
    ) -> bool {
        step.max_per_runner == 0 || self.count_same_step(task, runner) < step.max_per_runner
    }

    /// Whether a runner could run the task if nothing else ran there.
    pub(crate) fn could_run(&self, task: TaskRef, runner: &RunnerEntry, now: Millis) -> bool {
        let job = self.jobs.get(task.job);
        let Some(step) = job.and_then(|job| job.step_of(task.slot)) else {
            return false;
        };
        runner.could_fit(step)
            && step.allows_labels_of(runner)
            && self.is_advised(task, runner, now)
    }

    /// Number of tasks of the same step on the runner.
    fn count_same_step(&self, task: TaskRef, runner: &RunnerEntry) -> u32 {
        let Some(entry) = self.task(task) else {
            return 0;
        };
        let count = runner
            .tasks
            .iter()
            .filter(|other| other.job == task.job)
            .filter_map(|other| self.task(*other))
            .filter(|other| other.step == entry.step && other.round == entry.round)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Cost of a runner for a long-running task, by the number of its step's tasks in each hall.
    fn hall_cost(
        &self,
        task: TaskRef,
        runner: &RunnerEntry,
        step: &StepSpec,
        counts: &HallCounts,
        now: Millis,
    ) -> HallCost {
        let mut first = self.suspect_cost(task, runner, now) + evacuation_cost(runner);
        if is_off_data_rack(runner, step) {
            first += OTHER_RACK_COST;
        }
        HallCost {
            first,
            breaks_budget: counts.breaks_budget(runner, step),
            crowds_runner: self.count_same_step(task, runner) >= step.max_together(),
            in_hall: counts.in_hall_of(runner),
            load: self.cost(task, runner, step, now),
        }
    }

    fn cost(&self, task: TaskRef, runner: &RunnerEntry, step: &StepSpec, now: Millis) -> f64 {
        let load = runner.load_with(step);
        // Short tasks are packed, so that other VMs are empty when a pool needs them: this
        // earns 1 to 4 percent more of the attainable value (70 simulated days before the
        // other rules that empty VMs, 40 after them, docs/decisions.md).
        let mut cost = if step.long_running { load } else { 1.0 - load };
        cost += self.suspect_cost(task, runner, now) + evacuation_cost(runner);
        if is_off_data_rack(runner, step) {
            cost += OTHER_RACK_COST;
        }
        if step.long_running && self.count_same_step(task, runner) >= step.max_together() {
            cost += CROWDED_COST;
        }
        if self.is_cold(runner) {
            cost += COLD_COST;
        }
        if !runner.has_long_running() {
            cost += NO_LONG_RUNNING_COST;
        }
        cost + INTERFERENCE_COST * f64::from(self.count_interfering(runner, step))
    }

    /// Number of tasks on the runner that would slow the step's tasks or be slowed by them.
    fn count_interfering(&self, runner: &RunnerEntry, step: &StepSpec) -> u32 {
        let serves = step.target_ms > 0;
        if !serves && !step.best_effort {
            return 0;
        }
        let count = runner
            .tasks
            .iter()
            .filter_map(|task| self.jobs.get(task.job)?.step_of(task.slot))
            .filter(|other| {
                (serves && other.best_effort) || (step.best_effort && other.target_ms > 0)
            })
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}

fn evacuation_cost(runner: &RunnerEntry) -> f64 {
    match runner.evacuation {
        RunnerEvacuation::Ahead => EVACUATED_AHEAD_COST,
        _ => 0.0,
    }
}

/// Whether a runner is on another rack than the step's data.
fn is_off_data_rack(runner: &RunnerEntry, step: &StepSpec) -> bool {
    step.data_rack
        .as_ref()
        .is_some_and(|rack| *rack != runner.facts.rack)
}

impl StepSpec {
    /// Whether a runner has the label that the step requires, if it requires one.
    pub(crate) fn allows_labels_of(&self, runner: &RunnerEntry) -> bool {
        self.label
            .as_ref()
            .is_none_or(|label| runner.facts.labels.contains(label))
    }
}
