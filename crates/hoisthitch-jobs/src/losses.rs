//! Runs that were lost with their runners.
//!
//! A runner that ends takes along whatever it runs, and tells no end of it. What is known
//! of such a run is gathered here, for the log and for what it says against the task: how
//! long it had run, what ran beside it, how the runner was lost, and whether others were
//! lost at the same moment.

use std::{
    collections::{
        BTreeSet,
        HashMap,
        HashSet, //
    },
    fmt::{
        self,
        Display, //
    }, //
};

use crate::{
    Millis,
    job::JobKey,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerInstance,
        RunnerKey, //
    },
    suspicion::{
        LossEvidence,
        TaskSuspicion,
        seconds,
        time_of, //
    },
    task::{
        TaskEntry,
        TaskName,
        TaskPlace,
        TaskRef, //
    }, //
};

/// Time between two losses that are of one moment, in milliseconds: where both show by
/// connections that are reset, and where one shows by a hold that gets no answer.
const MOMENT_MS: Millis = 60;
const SILENCE_MOMENT_MS: Millis = 1_500;

/// Time within which losses tell how often runners of the pool are lost, in milliseconds; so
/// long are they kept. An owner that has not heard runners for long goes by this much.
const RATE_MS: Millis = 60_000;
const RATE_LEAST_MS: Millis = 5_000;

/// Time of a run up to which a loss counts as one of its step, where other tasks of the step
/// that had run as shortly were lost elsewhere, in milliseconds.
const YOUNG_MS: Millis = 1_500;

/// Age of an order without an answer up to which its run may have begun with it, in
/// milliseconds.
const UNANSWERED_MS: Millis = 300;

/// Losses that are added to those that were seen: none was seen where one may have been.
const LOSSES_UNSEEN: f64 = 0.5;

/// How a runner was lost, with what it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunnerLoss {
    /// It ended without notice.
    Crashed,
    /// Nothing was heard of it until its leases were over.
    Silent,
    /// It went down as ordered or announced.
    Planned,
}

impl Display for RunnerLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Crashed => "crashed",
            Self::Silent => "silent",
            Self::Planned => "planned",
        })
    }
}

/// A run that was lost with its runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostRun {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// The runner's life, as far as it is known.
    pub runner: RunnerInstance,
    /// How the runner was lost.
    pub loss: RunnerLoss,
    /// How long the run had gone on when the runner was lost, in milliseconds; zero where
    /// its start was not answered, none where that is not known.
    pub ran: Option<Millis>,
    /// Other runs that were lost with it.
    pub other_runs: usize,
    /// Whether other runners were lost at that moment.
    pub concurrent_loss: bool,
    /// What counts against the task now.
    pub suspicion: TaskSuspicion,
}

/// A step of a job in one round.
pub(crate) type RoundStep = (JobKey, u32, u32);

/// When a runner was lost.
#[derive(Clone, Copy, Debug)]
struct LossMoment {
    at: Millis,
    /// Whether its connections were reset.
    reset: bool,
    /// Whether this owner had heard it before, and so knows when.
    known: bool,
}

/// A runner that was lost of late.
#[derive(Clone, Debug)]
pub(crate) struct RecentLoss {
    moment: LossMoment,
    /// What it may have run, and steps that it ran something of.
    tasks: HashSet<TaskRef>,
    steps: HashSet<RoundStep>,
    /// Those of them of which it had just begun something.
    young_steps: HashSet<RoundStep>,
}

/// A runner that was lost, and what it may have run.
struct LostRunner {
    instance: RunnerInstance,
    loss: RunnerLoss,
    moment: LossMoment,
    /// When its runs ended, as far as that is known: between its last answer and the first
    /// that did not come.
    ended_at: Millis,
    tasks: Vec<TaskRef>,
}

impl LostRunner {
    /// One of which this owner heard nothing, and so knows not when it was lost.
    fn unknown(name: String, loss: RunnerLoss, tasks: Vec<TaskRef>, now: Millis) -> Self {
        Self {
            instance: RunnerInstance::without_start_time(&name),
            loss,
            moment: LossMoment {
                at: now,
                reset: false,
                known: false,
            },
            ended_at: now,
            tasks,
        }
    }
}

impl LossMoment {
    /// Whether both may be of one moment, as far as that can be told.
    fn may_be(self, other: Self) -> bool {
        let limit = if self.reset && other.reset {
            MOMENT_MS
        } else {
            SILENCE_MOMENT_MS
        };
        self.known && other.known && self.at.abs_diff(other.at) <= limit
    }
}

impl PoolState {
    /// Takes in that a runner was lost with what it ran; before its tasks leave it.
    pub(crate) fn note_loss(&mut self, key: RunnerKey, loss: RunnerLoss, now: Millis) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let moment = LossMoment {
            at: runner.silent_since.unwrap_or(now),
            reset: runner.silent_since.is_some() && runner.was_reset,
            known: runner.heard_at.is_some(),
        };
        let loss = match loss {
            _ if runner.facts.draining || runner.evacuating => RunnerLoss::Planned,
            // Nothing listened there any more.
            RunnerLoss::Silent if moment.reset => RunnerLoss::Crashed,
            loss => loss,
        };
        let heard_at = runner.heard_at.filter(|_| !moment.reset);
        let lost = LostRunner {
            instance: runner.facts.instance(),
            loss,
            moment,
            ended_at: heard_at.map_or(moment.at, |at| at.midpoint(moment.at)),
            tasks: self.tasks_lost(runner, moment),
        };
        let noted = runner.loss_noted;
        self.note_lost_runs(&lost, Some(key));
        if !noted {
            self.keep_loss(&lost);
        }
        if let Some(runner) = self.runners.get_mut(key) {
            runner.loss_noted = true;
        }
    }

    /// Tasks that a runner may have run when it was lost: not those whose start was sent to
    /// it when it was gone.
    fn tasks_lost(&self, runner: &RunnerEntry, moment: LossMoment) -> Vec<TaskRef> {
        let was_there = |task: &&TaskRef| {
            self.task(**task).is_some_and(|entry| match entry.place {
                TaskPlace::Planned(_) => false,
                TaskPlace::Ordered(_) => !moment.reset || entry.ordered_at <= moment.at + MOMENT_MS,
                _ => true,
            })
        };
        let tasks = runner.tasks.iter().filter(was_there).copied();
        let mut tasks: Vec<TaskRef> = tasks.collect();
        tasks.extend(self.tasks_unlocated_on(&runner.facts.name));
        tasks
    }

    /// Tasks that an earlier owner ordered on a runner that was not heard since.
    fn tasks_unlocated_on(&self, name: &str) -> Vec<TaskRef> {
        if !self.has_unlocated() {
            return Vec::new();
        }
        let is_there = |entry: &TaskEntry| matches!(&entry.place, TaskPlace::Unlocated { runner, .. } if runner == name);
        let tasks = self.active_tasks().filter(|(_, entry)| is_there(entry));
        tasks.map(|(task, _)| task).collect()
    }

    /// Takes in that a life of a runner that is not known was lost.
    pub(crate) fn note_unknown_loss(&mut self, name: &str, loss: RunnerLoss, now: Millis) {
        let tasks = self.tasks_unlocated_on(name);
        let lost = LostRunner::unknown(name.to_owned(), loss, tasks, now);
        self.note_lost_runs(&lost, None);
    }

    /// Takes in that a runner answers with a life: runs that an earlier owner ordered of one
    /// before were lost with that.
    pub(crate) fn note_earlier_life(&mut self, key: RunnerKey, now: Millis) {
        let Some(instance) = self.instance_of(key) else {
            return;
        };
        let was_before = |entry: &TaskEntry| match &entry.place {
            TaskPlace::Unlocated {
                started_at: Some(started_at),
                ..
            } => instance
                .started_at
                .is_some_and(|later| later != *started_at),
            _ => false,
        };
        let mut tasks = self.tasks_unlocated_on(&instance.name);
        tasks.retain(|task| self.task(*task).is_some_and(was_before));
        let lost = LostRunner::unknown(instance.name, RunnerLoss::Crashed, tasks, now);
        self.note_lost_runs(&lost, None);
    }

    /// Takes in that runs which earlier owners ordered on runners that were not heard since
    /// have ended by now.
    pub(crate) fn note_expired(&mut self, now: Millis) {
        if !self.has_unlocated() {
            return;
        }
        let expired = self
            .active_tasks()
            .filter_map(|(_, entry)| match &entry.place {
                TaskPlace::Unlocated { runner, until, .. } if *until <= now => Some(runner.clone()),
                _ => None,
            });
        let names: BTreeSet<String> = expired.collect();
        for name in names {
            self.note_unknown_loss(&name, RunnerLoss::Silent, now);
        }
    }

    fn note_lost_runs(&mut self, lost: &LostRunner, key: Option<RunnerKey>) {
        let youth = |task: &TaskRef| {
            let ran = self.task(*task).map(|entry| entry.ran_at(lost.ended_at));
            seconds(time_of(ran.flatten(), self.lasts(*task))).recip()
        };
        // Tasks of a step may be alike, and one of them the cause.
        let mut by_step: HashMap<RoundStep, f64> = HashMap::new();
        for task in &lost.tasks {
            if let Some(step) = self.round_step(*task) {
                *by_step.entry(step).or_default() += youth(task);
            }
        }
        let all: f64 = by_step.values().sum();
        for task in &lost.tasks {
            let step = self.round_step(*task);
            let share = step.and_then(|step| by_step.get(&step)).copied();
            self.note_lost_run(*task, share.unwrap_or(all) / all, lost, key);
        }
    }

    fn note_lost_run(
        &mut self,
        task: TaskRef,
        share: f64,
        lost: &LostRunner,
        key: Option<RunnerKey>,
    ) {
        let others = lost.tasks.iter().filter(|other| **other != task);
        let alone = others.clone().all(|other| self.are_together(task, *other));
        let Some(entry) = self.task(task) else {
            return;
        };
        if entry.suspicion.is_noted(entry.placed_run()) {
            return;
        }
        let (run, ran) = (entry.placed_run(), entry.ran_at(lost.ended_at));
        let evidence = LossEvidence {
            run,
            loss: lost.loss,
            ran,
            timed: lost.moment.known,
            lasts: self.lasts(task),
            // A gang's members that were there are one suspect.
            share: if alone { 1.0 } else { share },
            silent: lost.moment.known && !lost.moment.reset,
            alone,
            concurrent_loss: self.has_company(task, lost.moment, key),
            rate: self.loss_rate(task, ran, lost.moment.at, key),
        };
        let other_runs = others.count();
        self.suspect(task, evidence);

        self.tell_lost_run(task, lost, evidence, other_runs);
    }

    fn tell_lost_run(
        &mut self,
        task: TaskRef,
        lost: &LostRunner,
        evidence: LossEvidence,
        other_runs: usize,
    ) {
        let Some((name, entry)) = self.name_of(task).zip(self.task(task)) else {
            return;
        };
        let told = LostRun {
            task: name,
            run: evidence.run,
            runner: lost.instance.clone(),
            loss: lost.loss,
            ran: evidence.ran,
            other_runs,
            concurrent_loss: evidence.concurrent_loss,
            suspicion: entry.suspicion,
        };
        self.lost_runs.push(told);
    }

    /// Whether a runner that ran nothing of the task's step was lost at the same moment.
    fn has_company(&self, task: TaskRef, moment: LossMoment, key: Option<RunnerKey>) -> bool {
        let Some(step) = self.round_step(task) else {
            return false;
        };
        let mut lately = self.recent_losses.iter();
        let runs_step = |runner: &RunnerEntry| {
            let mut tasks = runner.tasks.iter();
            tasks.any(|task| self.round_step(*task) == Some(step))
        };
        lately.any(|loss| loss.moment.may_be(moment) && !loss.steps.contains(&step))
            || self
                .silent_others(key)
                .any(|(at, runner)| at.may_be(moment) && !runs_step(runner))
    }

    /// Other runners that were heard and are silent now, and since when.
    fn silent_others(
        &self,
        key: Option<RunnerKey>,
    ) -> impl Iterator<Item = (LossMoment, &RunnerEntry)> {
        let others = self
            .runners
            .iter()
            .filter(move |(other, runner)| Some(*other) != key && !runner.loss_noted);
        others.filter_map(|(_, runner)| {
            let at = runner.silent_since.filter(|_| runner.heard_at.is_some())?;
            let moment = LossMoment {
                at,
                reset: runner.was_reset,
                known: true,
            };
            Some((moment, runner))
        })
    }

    /// How often a runner of the pool is lost without the task, a second, by what was seen
    /// of late.
    #[expect(
        clippy::cast_precision_loss,
        reason = "runners are some thousands at most"
    )]
    fn loss_rate(
        &self,
        task: TaskRef,
        ran: Option<Millis>,
        at: Millis,
        key: Option<RunnerKey>,
    ) -> f64 {
        let young = ran.is_some_and(is_young);
        let step = self.round_step(task).filter(|_| young);
        let lately = self.recent_losses.iter().filter(|loss| {
            let alike = step.is_some_and(|step| loss.young_steps.contains(&step));
            let lately = loss.moment.at + RATE_MS > at;
            let own = young && loss.tasks.contains(&task);
            lately && !alike && !own && !self.is_explained(loss)
        });
        let others = lately.count() + self.silent_others(key).count();
        let heard = at.saturating_sub(self.heard_since.unwrap_or(at));
        let heard = seconds(heard.clamp(RATE_LEAST_MS, RATE_MS));
        let runners = self.runners.len().max(1) as f64;
        (others as f64 + LOSSES_UNSEEN) / (runners * heard)
    }

    /// Whether a task that was there is likely to be what the runner was lost to.
    fn is_explained(&self, loss: &RecentLoss) -> bool {
        let is_cause = |task: &TaskRef| {
            let entry = self.task(*task);
            entry.is_some_and(|entry| entry.suspicion.is_likely())
        };
        loss.tasks.iter().any(is_cause)
    }

    /// Whether another runner was lost right after it had begun something of the step.
    pub(crate) fn was_lost_elsewhere(&self, step: RoundStep) -> bool {
        let mut lately = self.recent_losses.iter();
        lately.any(|loss| loss.young_steps.contains(&step))
    }

    pub(crate) fn round_step(&self, task: TaskRef) -> Option<RoundStep> {
        let entry = self.task(task)?;
        Some((task.job, entry.round, entry.step))
    }

    fn keep_loss(&mut self, lost: &LostRunner) {
        if lost.loss == RunnerLoss::Planned || !lost.moment.known {
            return;
        }
        let steps = lost.tasks.iter().filter_map(|task| self.round_step(*task));
        let young = lost.tasks.iter().filter(|task| {
            let ran = self
                .task(**task)
                .and_then(|entry| entry.ran_at(lost.ended_at));
            ran.is_some_and(is_young)
        });
        let young_steps = young.filter_map(|task| self.round_step(*task));
        let kept = RecentLoss {
            moment: lost.moment,
            tasks: lost.tasks.iter().copied().collect(),
            steps: steps.collect(),
            young_steps: young_steps.collect(),
        };
        let since = lost.moment.at.saturating_sub(RATE_MS);
        self.recent_losses.retain(|loss| loss.moment.at >= since);
        self.recent_losses.push(kept);
    }

    /// Runs that were lost since they were last taken.
    pub fn take_lost_runs(&mut self) -> Vec<LostRun> {
        std::mem::take(&mut self.lost_runs)
    }
}

fn is_young(ran: Millis) -> bool {
    ran <= YOUNG_MS
}

impl TaskEntry {
    /// How long the last run had gone on at a time, in milliseconds, as in [`LostRun`].
    fn ran_at(&self, time: Millis) -> Option<Millis> {
        match self.place {
            TaskPlace::Running(_) | TaskPlace::Stopping(_) => {
                Some(time.saturating_sub(self.began_at))
            }
            // Whether and when it began is not known; a call that is lost may be carried out.
            TaskPlace::Ordered(_) => {
                let age = time.saturating_sub(self.moved_at);
                Some(age).filter(|age| *age <= UNANSWERED_MS)
            }
            TaskPlace::Unlocated { .. } => None,
            _ => Some(0),
        }
    }
}
