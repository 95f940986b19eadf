//! Tasks under which runners were lost, and which of them are the cause.
//!
//! A task may crash each runner that starts it, and takes along whatever runs beside it.
//! Nothing but the crash tells of it, and most runners that are lost are lost for other
//! reasons, so that each loss is weighed ([`TaskSuspicion`]).
//!
//! A suspect of some weight is tried alone, on a runner that is kept free for it. That
//! clears those that only ran beside the cause: whoever runs on for longer than it took to
//! crash is cleared. One that goes on crashing its runners, alone, is given up with its job.
//! What counts against a task is in its job's record before its next start.

use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};

use crate::{
    Millis,
    losses::RunnerLoss,
    pool::PoolState,
    record::JobPhase,
    runner::{
        RunnerEntry,
        RunnerKey, //
    },
    suspicion::{
        LossEvidence,
        RunSpan,
        TaskSuspicion, //
    },
    task::{
        TaskEntry,
        TaskName,
        TaskPlace,
        TaskRef, //
    }, //
};

/// Weight of all tasks of a step under which runners were lost while they were alone, at
/// which the last of them is given up, in tenths of a bit: a step of a hundred such tasks
/// costs a few runners.
const STEP_PROOF_WEIGHT: i32 = 300;

/// Time for which a suspect waits for a free runner, in milliseconds; then it goes beside
/// others rather than not at all. A lasting task may be away for less.
const TRIAL_WAIT_MS: Millis = 6_000;
const LASTING_TRIAL_WAIT_MS: Millis = 1_500;

/// Time for which a runner is kept free for a suspect, in milliseconds: some short tasks.
const RESERVE_MS: Millis = 3_000;

/// Suspects of a step that are tried at once: one of which none is the cause is not held up
/// for long.
const TRIALS_OF_STEP: usize = 2;

/// Trials at once, at least, and the parts of the pool's runners that they may take, and that
/// may be kept free for them: one in this many.
const TRIALS_LEAST: usize = 2;
const TRIALS_PART: usize = 2;
const RESERVED_PART: usize = 4;

/// Age up to which a runner counts as young, in milliseconds, and what a suspect costs on
/// one, in shares of a runner's load: some go down and up by turns of a second or two.
const YOUNG_RUNNER_MS: Millis = 3_000;
const YOUNG_COST: f64 = 2.0;

/// What chance adds at most to the cost of a trial, in shares of a runner's load: free
/// runners are alike, and one that goes down by its own turn must not be met each time.
const CHANCE_COST: f64 = 0.1;

/// What a suspect costs beside lasting tasks, in shares of a runner's load.
const BESIDE_LASTING_COST: f64 = 3.0;

/// A task that was given up, and its job with it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashingTask {
    /// Name of the task.
    pub task: TaskName,
    /// Number of its last run.
    pub run: u32,
    /// What counted against it.
    pub suspicion: TaskSuspicion,
}

impl PoolState {
    /// Takes in what a lost runner says against a task that was there.
    pub(crate) fn suspect(&mut self, task: TaskRef, evidence: LossEvidence) {
        let told = evidence.loss != RunnerLoss::Planned;
        let Some(entry) = self.task_mut(task).filter(|_| told) else {
            return;
        };
        let mut condemned = entry.suspicion.add(evidence);
        let needs_trial = entry.suspicion.needs_trial();
        if entry.suspicion.is_suspect() {
            self.suspects.insert(task);
        }
        condemned |= evidence.alone && self.step_weight(task) >= STEP_PROOF_WEIGHT;
        let step = self.round_step(task).filter(|_| needs_trial);
        if let Some(step) = step.filter(|step| self.was_lost_elsewhere(*step)) {
            self.doubtful_steps.insert(step);
        }
        if condemned {
            self.condemned.push(task);
        }
        self.mark_dirty(task.job);
    }

    /// What counts against tasks of a step that runners were lost under while they were
    /// alone; nothing where one of its tasks is done, or where the crashes are not alike.
    fn step_weight(&self, task: TaskRef) -> i32 {
        let job = self.jobs.get(task.job);
        let Some((job, entry)) = job.zip(self.task(task)) else {
            return 0;
        };
        let (mut weight, mut span) = (0, None);
        for (_, other) in job.tasks_of(entry.round, entry.step) {
            if other.is_done() {
                return 0;
            }
            if other.suspicion.alone > 0 {
                weight += other.suspicion.weight();
                span = RunSpan::join(span, other.suspicion.alone_span);
            }
        }
        if span.is_some_and(RunSpan::is_narrow) {
            weight
        } else {
            0
        }
    }

    /// Ends the jobs of tasks that are to be given up.
    pub(crate) fn give_up(&mut self, now: Millis) {
        for task in std::mem::take(&mut self.condemned) {
            let job = self.jobs.get(task.job);
            if job.is_none_or(|job| job.phase.is_final()) {
                continue;
            }
            if let Some((name, entry)) = self.name_of(task).zip(self.task(task)) {
                self.given_up.push(CrashingTask {
                    task: name,
                    run: entry.run,
                    suspicion: entry.suspicion,
                });
            }
            self.end_job(task.job, JobPhase::Failed, now);
        }
    }

    /// Tasks that were given up since they were last taken.
    pub fn take_crashing_tasks(&mut self) -> Vec<CrashingTask> {
        std::mem::take(&mut self.given_up)
    }

    /// Clears suspects that have run for long enough, and has those that wait planned.
    pub fn clear_suspects(&mut self, now: Millis) {
        let suspects: Vec<TaskRef> = self.suspects.iter().copied().collect();
        for task in suspects {
            let job = self.jobs.get(task.job);
            let goes_on = job.is_some_and(|job| !job.phase.is_final());
            let entry = self.task(task).filter(|entry| !entry.is_done() && goes_on);
            let Some(entry) = entry else {
                self.drop_suspect(task);
                continue;
            };
            match entry.place {
                TaskPlace::Running(runner) => self.clear_running(task, runner, now),
                TaskPlace::Waiting => self.plan_needed = true,
                _ => {}
            }
        }
    }

    fn clear_running(&mut self, task: TaskRef, runner: RunnerKey, now: Millis) {
        // What it ran since the runner was last heard is not known.
        let heard_at = self.runners.get(runner).and_then(|runner| runner.heard_at);
        let Some((entry, heard_at)) = self.task_mut(task).zip(heard_at) else {
            return;
        };
        let ran = heard_at.min(now).saturating_sub(entry.began_at);
        let cleared = ran >= entry.suspicion.clear_time();
        let alone = ran < entry.suspicion.alone_time();
        if cleared {
            entry.suspicion.clear();
            self.drop_suspect(task);
            self.mark_dirty(task.job);
        }
        if (cleared || !alone)
            && let Some(runner) = self.runners.get_mut(runner)
            && runner.trial == Some(task)
        {
            runner.trial = None;
            self.plan_needed = true;
        }
    }

    /// Takes in that a task is not the cause, and that its step therefore has others.
    fn drop_suspect(&mut self, task: TaskRef) {
        self.suspects.remove(&task);
        if let Some(step) = self.round_step(task) {
            self.doubtful_steps.remove(&step);
        }
    }

    /// Whether several runners were lost right after they had begun something of the step.
    fn is_doubtful_step(&self, task: TaskRef) -> bool {
        let step = || self.round_step(task);
        !self.doubtful_steps.is_empty()
            && step().is_some_and(|step| self.doubtful_steps.contains(&step))
    }

    /// Whether a task is to be tried alone.
    pub(crate) fn is_suspect(&self, task: TaskRef) -> bool {
        // Asked for each task that is placed, and there is hardly ever one.
        if self.suspects.is_empty() {
            return false;
        }
        let entry = self.task(task);
        entry.is_some_and(|entry| entry.suspicion.needs_trial()) || self.is_doubtful_step(task)
    }

    /// Whether a task gets a runner alone. One that has waited for long goes beside others.
    pub(crate) fn is_on_trial(&self, task: TaskRef, now: Millis) -> bool {
        let Some(entry) = self.task(task) else {
            return false;
        };
        let wait = if self.lasts(task) {
            LASTING_TRIAL_WAIT_MS
        } else {
            TRIAL_WAIT_MS
        };
        let waited = || entry.place == TaskPlace::Waiting && entry.moved_at + wait <= now;
        // Nothing goes beside what others of its step say is a cause.
        self.is_suspect(task) && (self.step_weight(task) > 0 || !waited())
    }

    /// Whether another suspect may be tried now.
    pub(crate) fn may_try(&self, task: TaskRef) -> bool {
        let step = |task: TaskRef| {
            let entry = self.task(task);
            entry.map(|entry| (task.job, entry.round, entry.step))
        };
        let trials = || self.runners.values().filter_map(|runner| runner.trial);
        let alike = trials().filter(|other| step(*other) == step(task)).count();
        // A gang runs whole or not at all.
        let step_is_free = alike < TRIALS_OF_STEP || self.is_gang(task);
        step_is_free && trials().count() < self.most_trials(TRIALS_PART)
    }

    fn most_trials(&self, part: usize) -> usize {
        TRIALS_LEAST.max(self.runners.len() / part)
    }

    /// Whether a runner takes the task, as far as suspects there are kept apart.
    pub(crate) fn is_apart(
        &self,
        task: TaskRef,
        trial: bool,
        runner: &RunnerEntry,
        now: Millis,
    ) -> bool {
        if !trial {
            return runner.trial.is_none() && runner.reserved_until <= now;
        }
        let gang = self.is_gang(task);
        let mut others = runner.tasks.iter();
        others.all(|other| gang && self.are_together(task, *other))
    }

    /// Whether both tasks are members of one gang.
    pub(crate) fn are_together(&self, task: TaskRef, other: TaskRef) -> bool {
        let entries = self.task(task).zip(self.task(other));
        self.is_gang(task)
            && task.job == other.job
            && entries
                .is_some_and(|(one, other)| one.step == other.step && one.round == other.round)
    }

    /// What a suspect costs on a runner, beside its load.
    pub(crate) fn suspect_cost(&self, task: TaskRef, runner: &RunnerEntry, now: Millis) -> f64 {
        let is_suspect = |entry: &TaskEntry| entry.suspicion.is_suspect();
        if self.suspects.is_empty() || !self.task(task).is_some_and(is_suspect) {
            return 0.0;
        }
        let mut cost = 0.0;
        if runner.holds_lasting() {
            cost += BESIDE_LASTING_COST;
        }
        if runner.known_since + YOUNG_RUNNER_MS > now {
            cost += YOUNG_COST;
        }
        let run = self.task(task).map_or(0, |entry| entry.run);
        cost + CHANCE_COST * chance(&(&runner.facts.name, run))
    }

    /// Keeps a runner free for a suspect that found none: the one with the least to do
    /// that could take it.
    pub(crate) fn reserve_runner(&mut self, task: TaskRef, now: Millis) {
        let taken = self
            .runners
            .values()
            .filter(|runner| runner.trial.is_some() || runner.reserved_until > now);
        if taken.count() >= self.most_trials(RESERVED_PART) || !self.may_try(task) {
            return;
        }
        let candidates = self.runners.iter().filter(|(_, runner)| {
            runner.takes_tasks(now)
                && !runner.holds_lasting()
                && runner.trial.is_none()
                && runner.reserved_until <= now
                && self.could_run(task, runner, now)
        });
        let chosen = candidates.min_by_key(|(_, runner)| runner.used.cpu_milli);
        let Some(key) = chosen.map(|(key, _)| key) else {
            return;
        };
        if let Some(runner) = self.runners.get_mut(key) {
            runner.reserved_until = now + RESERVE_MS;
        }
    }
}

/// A number from zero to one that depends on nothing but the seed.
fn chance(seed: &impl Hash) -> f64 {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    let bits = u32::try_from(hasher.finish() >> 32).unwrap_or(0);
    f64::from(bits) / f64::from(u32::MAX)
}
