//! Runs that were lost with their runners.
//!
//! A runner that crashes loses all its runs, and no end of them is reported. For each lost run
//! this module collects what is known, for the log and as evidence against the task: how long
//! it had run, what ran beside it, how the runner was lost, and whether other runners were
//! lost at the same moment.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt::{
        self,
        Display, //
    }, //
};

use hoisthitch_core::hash_name;

use crate::{
    Millis,
    job::JobKey,
    likelihood::{
        LossCertainty,
        RunTimeRange, //
    },
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
        TaskRef,
        TaskState, //
    }, //
};

/// Greatest time between two losses that count as simultaneous if both show by reset
/// connections, in milliseconds.
const SIMULTANEOUS_RESET_MS: Millis = 60;

/// The same if one of them shows by a heartbeat without a response, in milliseconds.
const SIMULTANEOUS_SILENCE_MS: Millis = 1_500;

/// Time within which the reset of a connection that waits for a response is noticed, in
/// milliseconds.
const RESET_NOTICE_MS: Millis = 10;

/// Window over which the rate of runner losses in the pool is estimated, in milliseconds;
/// losses are kept for as long.
const RATE_WINDOW_MS: Millis = 60_000;

/// Shortest window for that rate, in milliseconds: used by an owner whose runners have
/// responded for less than this.
const RATE_WINDOW_MIN_MS: Millis = 5_000;

/// Running time, in milliseconds, up to which a loss may be due to the run's step, if other
/// tasks of the step that had run as briefly were lost on other runners.
const YOUNG_RUN_MS: Millis = 1_500;

/// Age up to which a start order without an answer counts as a run that began when it was
/// ordered, in milliseconds.
const UNANSWERED_START_MS: Millis = 300;

/// Added to the number of observed losses, because there may have been one where none was
/// observed.
const UNSEEN_LOSSES: f64 = 0.5;

/// How a runner was lost, with all that it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunnerLoss {
    /// Its process ended without notice.
    Crashed,
    /// Connections to it are refused: its process may have ended, or it is cut off and goes on.
    Suspected,
    /// It did not respond until its leases had ended.
    Silent,
    /// It went down as ordered or announced.
    Planned,
    /// Its data hall was lost.
    Hall,
}

impl RunnerLoss {
    /// Whether it says nothing against the tasks that ran there.
    pub(crate) fn is_explained(self) -> bool {
        matches!(self, Self::Planned | Self::Hall)
    }
}

impl Display for RunnerLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Crashed => "crashed",
            Self::Suspected => "suspected",
            Self::Silent => "silent",
            Self::Planned => "planned",
            Self::Hall => "hall_lost",
        })
    }
}

/// How the loss of a runner was detected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossDetection {
    /// Its connections were reset or refused, as they are when its process ends.
    Reset,
    /// Its responses did not come.
    Silence,
    /// A later instance was found, or its leases ended, and it never responded to this owner.
    Record,
}

impl Display for LossDetection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reset => "reset",
            Self::Silence => "silence",
            Self::Record => "record",
        })
    }
}

/// A run that was lost with its runner.
#[derive(Clone, Debug, PartialEq)]
pub struct LostRun {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Instance of the runner, as far as it is known.
    pub runner: RunnerInstance,
    /// How the runner was lost.
    pub loss: RunnerLoss,
    /// How that was detected.
    pub detection: LossDetection,
    /// How long the run had been running when the runner was lost, in milliseconds. For a
    /// start without an answer it is the time since the order, if that was short; none if
    /// nothing is known.
    pub ran: Option<Millis>,
    /// Shortest and longest possible running time, in milliseconds, as it is weighed.
    pub ran_between: (Millis, Millis),
    /// Rate at which the runner was expected to be lost for reasons other than the task, per
    /// second.
    pub rate: f64,
    /// Number of other runs that were lost with it.
    pub other_runs: usize,
    /// Whether other runners were lost at the same moment.
    pub concurrent_loss: bool,
    /// What counts against the task now.
    pub suspicion: TaskSuspicion,
}

/// A step of a job in one round: job, round, step.
pub(crate) type RoundStep = (JobKey, u32, u32);

/// When a runner was lost.
#[derive(Clone, Copy, Debug)]
struct LossMoment {
    at: Millis,
    /// Whether the runner's connections were reset.
    reset: bool,
    /// Whether the runner had responded to this owner before, so that the time is known.
    known: bool,
}

/// A runner that was lost within the window of the loss rate.
#[derive(Clone, Debug)]
pub(crate) struct RecentLoss {
    moment: LossMoment,
    /// Tasks that it may have run, and their steps.
    tasks: BTreeSet<TaskRef>,
    steps: BTreeSet<RoundStep>,
    /// Those of the steps of which it had just begun a task.
    young_steps: BTreeSet<RoundStep>,
}

/// A runner that was lost, with the tasks that it may have run.
struct LostRunner {
    instance: RunnerInstance,
    loss: RunnerLoss,
    moment: LossMoment,
    /// Earliest time at which it may have been lost; the latest is that of the moment.
    earliest: Millis,
    /// Estimated end of its runs: the time of the loss if its connections were reset, otherwise
    /// midway between its last response and the first that did not come.
    ended_at: Millis,
    tasks: Vec<TaskRef>,
    /// Whether this owner suspected the loss before.
    was_suspected: bool,
}

impl LostRunner {
    /// A runner that never responded to this owner, so that the time of its loss is not known.
    fn unknown(name: String, loss: RunnerLoss, tasks: Vec<TaskRef>, now: Millis) -> Self {
        Self {
            instance: RunnerInstance::without_start_time(&name),
            loss,
            moment: LossMoment {
                at: now,
                reset: false,
                known: false,
            },
            earliest: 0,
            ended_at: now,
            tasks,
            was_suspected: false,
        }
    }
}

impl LossMoment {
    fn detection(self) -> LossDetection {
        match (self.known, self.reset) {
            (false, _) => LossDetection::Record,
            (true, true) => LossDetection::Reset,
            (true, false) => LossDetection::Silence,
        }
    }

    /// Whether both losses may have happened at the same moment, as far as that can be told.
    fn may_coincide(self, other: Self) -> bool {
        let limit = if self.reset && other.reset {
            SIMULTANEOUS_RESET_MS
        } else {
            SIMULTANEOUS_SILENCE_MS
        };
        self.known && other.known && self.at.abs_diff(other.at) <= limit
    }
}

impl LostRunner {
    /// How certain it is that this shows a crash, if the task is the cause.
    fn certainty(&self, entry: &TaskEntry) -> LossCertainty {
        let has_begun = matches!(entry.state, TaskState::Running(_) | TaskState::Stopping(_));
        match (self.moment.detection(), self.loss) {
            (LossDetection::Record, _) => LossCertainty::Unconfirmed,
            _ if !has_begun => LossCertainty::Unanswered,
            (LossDetection::Reset, _) => LossCertainty::Crashed,
            (LossDetection::Silence, RunnerLoss::Silent) => LossCertainty::Silent,
            (LossDetection::Silence, _) => LossCertainty::Unresponsive,
        }
    }
}

impl RunnerEntry {
    /// How its silence was detected.
    pub fn silence_detection(&self) -> LossDetection {
        if self.was_reset {
            LossDetection::Reset
        } else {
            LossDetection::Silence
        }
    }

    /// Earliest time at which the runner may have been lost.
    fn earliest_loss(&self, moment: LossMoment) -> Millis {
        let noticed = moment.at.saturating_sub(RESET_NOTICE_MS);
        let waited = |sent_at| moment.reset && sent_at < noticed;
        if self.first_miss_sent_at.is_some_and(waited) {
            noticed
        } else {
            self.last_response_at.unwrap_or(0)
        }
    }
}

impl PoolState {
    /// Records that a runner may have been lost. That counts against its tasks, so that others
    /// of their steps are not started in the same way, and is withdrawn where a run is reported
    /// again. The tasks stay where they are, and no job is failed for it: the runner may be cut
    /// off, and go on until its lease is over.
    pub fn suspect_loss(&mut self, key: RunnerKey, now: Millis) {
        self.record_loss(key, RunnerLoss::Suspected, now);
    }

    /// Records that a runner was lost with all that it ran; must be called before its tasks
    /// are moved off it.
    pub(crate) fn record_loss(&mut self, key: RunnerKey, loss: RunnerLoss, now: Millis) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        let moment = LossMoment {
            at: runner.silent_since.unwrap_or(now),
            reset: runner.silent_since.is_some() && runner.was_reset,
            known: runner.last_heartbeat_at.is_some(),
        };
        let suspected = loss == RunnerLoss::Suspected;
        let loss = match loss {
            _ if runner.facts.draining || !runner.evacuation.takes_tasks() => RunnerLoss::Planned,
            _ if runner.lost_with_hall => RunnerLoss::Hall,
            loss => loss,
        };
        if suspected && loss.is_explained() {
            return;
        }
        let last_heartbeat_at = runner.last_heartbeat_at.filter(|_| !moment.reset);
        let lost = LostRunner {
            instance: runner.facts.instance(),
            loss,
            moment,
            earliest: runner.earliest_loss(moment),
            ended_at: last_heartbeat_at.map_or(moment.at, |at| at.midpoint(moment.at)),
            tasks: self.tasks_lost(runner, moment),
            was_suspected: runner.loss_suspected,
        };
        let was_recorded = runner.loss_recorded;
        self.record_lost_runs(&lost, Some(key));
        // Stored only now, so that its runs are compared with earlier losses.
        if !was_recorded {
            self.store_loss(&lost);
        }
        if let Some(runner) = self.runners.get_mut(key) {
            runner.loss_recorded = true;
            runner.loss_suspected = suspected;
        }
    }

    /// Tasks that a runner may have run when it was lost, without those whose start was sent or
    /// confirmed after that: the next instance runs these.
    fn tasks_lost(&self, runner: &RunnerEntry, moment: LossMoment) -> Vec<TaskRef> {
        let may_have_run = |task: &&TaskRef| {
            self.task(**task).is_some_and(|entry| match entry.state {
                TaskState::Planned(_) => false,
                TaskState::Ordered(_) => {
                    !moment.reset || entry.ordered_at <= moment.at + SIMULTANEOUS_RESET_MS
                }
                TaskState::Running(_) | TaskState::Stopping(_) => {
                    !moment.reset || entry.began_at <= moment.at + SIMULTANEOUS_RESET_MS
                }
                _ => true,
            })
        };
        let tasks = runner.tasks.iter().filter(may_have_run).copied();
        let mut tasks: Vec<TaskRef> = tasks.collect();
        tasks.extend(self.unconfirmed_tasks_on(&runner.facts.name));
        tasks
    }

    /// Tasks that an earlier owner ordered on a runner that has not responded since.
    fn unconfirmed_tasks_on(&self, name: &str) -> Vec<TaskRef> {
        if !self.has_unconfirmed() {
            return Vec::new();
        }
        let is_on_runner = |entry: &TaskEntry| matches!(&entry.state, TaskState::Unconfirmed { runner, .. } if runner == name);
        let tasks = self.active_tasks().filter(|(_, entry)| is_on_runner(entry));
        tasks.map(|(task, _)| task).collect()
    }

    /// Records the loss of a runner that is not listed.
    pub(crate) fn record_unknown_loss(&mut self, name: &str, loss: RunnerLoss, now: Millis) {
        let tasks = self.unconfirmed_tasks_on(name);
        let listed = self.runner_key(name).and_then(|key| self.runners.get(key));
        let loss = match listed {
            Some(runner) if runner.lost_with_hall => RunnerLoss::Hall,
            _ => loss,
        };
        let lost = LostRunner::unknown(name.to_owned(), loss, tasks, now);
        self.record_lost_runs(&lost, None);
    }

    /// Records the losses that a runner's response shows: runs that an earlier owner ordered
    /// on a previous instance of the runner were lost with that instance.
    pub(crate) fn record_earlier_instance_loss(&mut self, key: RunnerKey, now: Millis) {
        let Some(instance) = self.instance_of(key) else {
            return;
        };
        let tasks = self.earlier_instance_tasks(&instance);
        let lost = LostRunner::unknown(instance.name, RunnerLoss::Crashed, tasks, now);
        self.record_lost_runs(&lost, None);
    }

    /// Tasks that an earlier owner ordered on a previous instance of a runner, and that the
    /// runner has not reported.
    fn earlier_instance_tasks(&self, instance: &RunnerInstance) -> Vec<TaskRef> {
        let was_on_earlier_instance = |entry: &TaskEntry| match &entry.state {
            TaskState::Unconfirmed {
                started_at: Some(started_at),
                ..
            } => instance
                .started_at
                .is_some_and(|later| later != *started_at),
            _ => false,
        };
        let mut tasks = self.unconfirmed_tasks_on(&instance.name);
        tasks.retain(|task| self.task(*task).is_some_and(was_on_earlier_instance));
        tasks
    }

    /// Whether an earlier owner ordered tasks on a previous instance of a runner and did not
    /// record that it had restarted.
    pub fn has_unrecorded_restart(&self, key: RunnerKey) -> bool {
        let instance = self.instance_of(key);
        instance.is_some_and(|instance| !self.earlier_instance_tasks(&instance).is_empty())
    }

    /// Records as lost the runs that earlier owners ordered on runners that have not responded
    /// since, if those runs have ended by now.
    pub(crate) fn record_expired(&mut self, now: Millis) {
        if !self.has_unconfirmed() {
            return;
        }
        let expired = self
            .active_tasks()
            .filter_map(|(_, entry)| match &entry.state {
                TaskState::Unconfirmed { runner, until, .. } if *until <= now => {
                    Some(runner.clone())
                }
                _ => None,
            });
        let names: BTreeSet<String> = expired.collect();
        for name in names {
            self.record_unknown_loss(&name, RunnerLoss::Silent, now);
        }
    }

    /// Records the lost runs of a runner as evidence against their tasks; `key` is none if the
    /// runner is not listed or another instance of it is.
    fn record_lost_runs(&mut self, lost: &LostRunner, key: Option<RunnerKey>) {
        // The shorter a run, the larger its share of the blame.
        let inverse_time = |task: &TaskRef| {
            let ran = self
                .task(*task)
                .map(|entry| entry.running_time_at(lost.ended_at));
            seconds(time_of(ran.flatten(), self.is_long_running(*task))).recip()
        };
        // Tasks of a step may be alike, and any of them the cause; so their step shares the
        // blame as a whole.
        let mut by_step: BTreeMap<RoundStep, f64> = BTreeMap::new();
        for task in &lost.tasks {
            if let Some(step) = self.round_step(*task) {
                *by_step.entry(step).or_default() += inverse_time(task);
            }
        }
        let all: f64 = by_step.values().sum();
        for task in &lost.tasks {
            let step = self.round_step(*task);
            let share = step.and_then(|step| by_step.get(&step)).copied();
            self.record_lost_run(*task, share.unwrap_or(all) / all, lost, key);
        }
    }

    fn record_lost_run(
        &mut self,
        task: TaskRef,
        share: f64,
        lost: &LostRunner,
        key: Option<RunnerKey>,
    ) {
        let others = lost.tasks.iter().filter(|other| **other != task);
        let isolated = others.clone().all(|other| self.share_gang(task, *other));
        let Some(entry) = self.task(task) else {
            return;
        };
        let is_certain = lost.loss != RunnerLoss::Suspected && !lost.loss.is_explained();
        let is_counted = entry.suspicion.is_counted(entry.current_run());
        let (run, ran) = (entry.current_run(), entry.running_time_at(lost.ended_at));
        let (from, to) = entry.running_time_between(lost);
        let evidence = LossEvidence {
            run,
            runner: short_hash(&lost.instance.name),
            loss: lost.loss,
            ran,
            range: RunTimeRange::new(from, to, self.is_long_running(task)),
            certainty: lost.certainty(entry),
            // Members of a gang on the same runner count as one suspect.
            share: if isolated { 1.0 } else { share },
            isolated,
            concurrent_loss: self.has_concurrent_loss(task, lost.moment, key),
            rate: self.loss_rate(task, ran, lost.moment.at, key),
        };
        let other_runs = others.count();
        if !is_counted {
            self.add_evidence(task, evidence);
        }
        if is_certain {
            // If it was counted before, perhaps by an earlier owner, it was only suspected then.
            self.judge_suspect(task);
        }
        if is_counted && !lost.was_suspected {
            return;
        }
        self.report_lost_run(task, lost, evidence, other_runs);
    }

    fn report_lost_run(
        &mut self,
        task: TaskRef,
        lost: &LostRunner,
        evidence: LossEvidence,
        other_runs: usize,
    ) {
        let Some((name, entry)) = self.name_of(task).zip(self.task(task)) else {
            return;
        };
        let lost_run = LostRun {
            task: name,
            run: evidence.run,
            runner: lost.instance.clone(),
            loss: lost.loss,
            detection: lost.moment.detection(),
            ran: evidence.ran,
            ran_between: (evidence.range.from, evidence.range.to),
            rate: evidence.rate,
            other_runs,
            concurrent_loss: evidence.concurrent_loss,
            suspicion: entry.suspicion.clone(),
        };
        self.lost_runs.push(lost_run);
    }

    /// Whether a runner that ran nothing of the task's step was lost at the same moment.
    fn has_concurrent_loss(
        &self,
        task: TaskRef,
        moment: LossMoment,
        key: Option<RunnerKey>,
    ) -> bool {
        let Some(step) = self.round_step(task) else {
            return false;
        };
        let mut recent = self.recent_losses.iter();
        let runs_step = |runner: &RunnerEntry| {
            let mut tasks = runner.tasks.iter();
            tasks.any(|task| self.round_step(*task) == Some(step))
        };
        recent.any(|loss| loss.moment.may_coincide(moment) && !loss.steps.contains(&step))
            || self
                .silent_others(key)
                .any(|(at, runner)| at.may_coincide(moment) && !runs_step(runner))
    }

    /// Other runners that responded before and are unresponsive now, and since when.
    fn silent_others(
        &self,
        key: Option<RunnerKey>,
    ) -> impl Iterator<Item = (LossMoment, &RunnerEntry)> {
        let others = self
            .runners
            .iter()
            .filter(move |(other, runner)| Some(*other) != key && !runner.loss_recorded);
        others.filter_map(|(_, runner)| {
            let at = runner
                .silent_since
                .filter(|_| runner.last_heartbeat_at.is_some())?;
            let moment = LossMoment {
                at,
                reset: runner.was_reset,
                known: true,
            };
            Some((moment, runner))
        })
    }

    /// Rate at which a runner of the pool is lost for reasons other than the task, per second,
    /// by the losses observed lately.
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
        // Losses with a likely cause are left out, and for a young run also those of the same
        // task or of young runs of its step.
        let recent = self.recent_losses.iter().filter(|loss| {
            let alike = step.is_some_and(|step| loss.young_steps.contains(&step));
            let is_recent = loss.moment.at + RATE_WINDOW_MS > at;
            let own = young && loss.tasks.contains(&task);
            is_recent && !alike && !own && !self.has_likely_cause(loss)
        });
        let others = recent.count() + self.silent_others(key).count();
        let responding_for = at.saturating_sub(self.responding_since.unwrap_or(at));
        let window = seconds(responding_for.clamp(RATE_WINDOW_MIN_MS, RATE_WINDOW_MS));
        let runners = self.runners.len().max(1) as f64;
        (others as f64 + UNSEEN_LOSSES) / (runners * window)
    }

    /// Whether one of the tasks on the lost runner is likely to be the cause of the loss.
    fn has_likely_cause(&self, loss: &RecentLoss) -> bool {
        let is_cause = |task: &TaskRef| {
            let entry = self.task(*task);
            entry.is_some_and(|entry| entry.suspicion.is_likely())
        };
        loss.tasks.iter().any(is_cause)
    }

    /// Whether another runner was lost right after it had begun a task of the step.
    pub(crate) fn was_lost_elsewhere(&self, step: RoundStep) -> bool {
        let mut recent = self.recent_losses.iter();
        recent.any(|loss| loss.young_steps.contains(&step))
    }

    pub(crate) fn round_step(&self, task: TaskRef) -> Option<RoundStep> {
        let entry = self.task(task)?;
        Some((task.job, entry.round, entry.step))
    }

    fn store_loss(&mut self, lost: &LostRunner) {
        if lost.loss.is_explained() || !lost.moment.known {
            return;
        }
        let steps = lost.tasks.iter().filter_map(|task| self.round_step(*task));
        let young = lost.tasks.iter().filter(|task| {
            let ran = self
                .task(**task)
                .and_then(|entry| entry.running_time_at(lost.ended_at));
            ran.is_some_and(is_young)
        });
        let young_steps = young.filter_map(|task| self.round_step(*task));
        let recent_loss = RecentLoss {
            moment: lost.moment,
            tasks: lost.tasks.iter().copied().collect(),
            steps: steps.collect(),
            young_steps: young_steps.collect(),
        };
        let since = lost.moment.at.saturating_sub(RATE_WINDOW_MS);
        self.recent_losses.retain(|loss| loss.moment.at >= since);
        self.recent_losses.push(recent_loss);
    }

    /// Withdraws the loss of a run that a runner reports: its process had not ended.
    pub(crate) fn withdraw_loss(&mut self, task: TaskRef, run: u32) {
        let Some(entry) = self.task_mut(task) else {
            return;
        };
        if !entry.suspicion.withdraw(run) {
            return;
        }
        let is_suspect = entry.suspicion.is_suspect();
        self.mark_dirty(task.job);
        if !is_suspect {
            self.drop_suspect(task);
        }
        if let Some(name) = self.name_of(task) {
            self.withdrawn_losses.push((name, run));
        }
    }

    /// Returns the runs whose losses were withdrawn since the last call.
    pub fn take_withdrawn_losses(&mut self) -> Vec<(TaskName, u32)> {
        std::mem::take(&mut self.withdrawn_losses)
    }

    /// Returns the runs that were lost since the last call.
    pub fn take_lost_runs(&mut self) -> Vec<LostRun> {
        std::mem::take(&mut self.lost_runs)
    }
}

/// Tells apart the runners that one run of a gang was lost with.
#[expect(
    clippy::cast_possible_truncation,
    reason = "half of the hash tells a few runners apart"
)]
fn short_hash(name: &str) -> u32 {
    hash_name(name) as u32
}

fn is_young(ran: Millis) -> bool {
    ran <= YOUNG_RUN_MS
}

impl TaskEntry {
    /// Shortest and longest time for which the last run may have been running when its runner was
    /// lost; the longest is none where it is not known when the run was ordered.
    fn running_time_between(&self, lost: &LostRunner) -> (Millis, Option<Millis>) {
        let has_begun = matches!(self.state, TaskState::Running(_) | TaskState::Stopping(_));
        let from = if has_begun && lost.moment.known {
            lost.earliest.saturating_sub(self.began_at)
        } else {
            0
        };
        let begun_after = self.begun_after;
        let to = begun_after.map(|begun_after| lost.moment.at.saturating_sub(begun_after));
        (from, to)
    }

    /// How long the last run had been running at a time, in milliseconds, as in [`LostRun`].
    fn running_time_at(&self, time: Millis) -> Option<Millis> {
        match self.state {
            TaskState::Running(_) | TaskState::Stopping(_) => {
                Some(time.saturating_sub(self.began_at))
            }
            // It is not known whether and when the run began; an order without an answer may
            // still have been carried out.
            TaskState::Ordered(_) => {
                let age = time.checked_sub(self.changed_at);
                age.filter(|age| *age <= UNANSWERED_START_MS)
            }
            TaskState::Unconfirmed { .. } => None,
            _ => Some(0),
        }
    }
}
