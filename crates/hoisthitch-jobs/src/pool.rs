//! State of a pool: its jobs, its runners, and which task runs where.
//!
//! [`PoolState`] belongs to the pool's owner. A task in it changes its state by
//! [`PoolState::set_task_state`] alone, which also keeps the resources that are reserved on
//! runners.

use std::{
    cell::Cell,
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    }, //
};

use slotmap::SlotMap;

use crate::{
    Millis,
    account::EndedJob,
    admission::WithdrawnStart,
    advice::StepAdvice,
    arrivals::ArrivalLog,
    cold_start::{
        ColdStart,
        ColdStartBounds,
        WarmthChange, //
    },
    hall_spread::UnevenStep,
    health::{
        FailingStep,
        HealthChange, //
    },
    job::{
        JobEntry,
        JobKey, //
    },
    losses::{
        LostRun,
        RecentLoss,
        RoundStep,
        RunnerLoss, //
    },
    pace::UNKNOWN_PACE,
    plan::FlushBatch,
    pressure::TeamArrivals,
    record::{
        JobPhase,
        JobProgress,
        JobSubmission,
        QueuePolicy,
        TaskPhase, //
    },
    resources::ResourceAmounts,
    runner::{
        RunnerEntry,
        RunnerFacts,
        RunnerInstance,
        RunnerKey, //
    },
    silent::InheritedRuns,
    suspects::CrashingTask,
    task::{
        AbandonedRun,
        StopOrder,
        TaskEntry,
        TaskName,
        TaskRef,
        TaskState, //
    }, //
};

/// A job that the owner loads from its records.
#[derive(Clone, Debug)]
pub struct NewJob {
    /// Identifier.
    pub id: String,
    /// The submission.
    pub submission: JobSubmission,
    /// Recorded progress, if there is any.
    pub progress: Option<JobProgress>,
    /// When it was accepted.
    pub accepted_at: Millis,
}

/// Optional rules that the terms of a deployment call for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolTerms {
    /// Whether work whose end is of no use any more asks for no VM and yields to other work.
    pub useless_work_yields: bool,
    /// Number of data halls that may be lost at the same time; with zero, halls are not told
    /// apart.
    pub tolerated_halls: u32,
    /// By how much the rate of cold runners may be exceeded.
    pub cold_bounds: ColdStartBounds,
}

/// What the owner of a pool knows of its jobs and runners.
#[derive(Debug, Default)]
pub struct PoolState {
    pub(crate) jobs: SlotMap<JobKey, JobEntry>,
    pub(crate) job_ids: HashMap<String, JobKey>,
    pub(crate) runners: SlotMap<RunnerKey, RunnerEntry>,
    pub(crate) runner_names: HashMap<String, RunnerKey>,
    /// Jobs that have not ended, or of which something may still run.
    pub(crate) active: Vec<JobKey>,
    pub(crate) stops: Vec<StopOrder>,
    /// Runs that were given up, and of whose starts copies may be queued.
    abandoned_runs: Vec<AbandonedRun>,
    /// Whether a new plan may change anything, because a job was added or resources became
    /// free.
    pub(crate) plan_needed: bool,
    /// Number of tasks that may run on a runner which has not confirmed it.
    unconfirmed: usize,
    /// What earlier owners ordered, as far as they published it.
    pub(crate) inherited: InheritedRuns,
    /// Mean time of a task, by queue, in milliseconds.
    pub(crate) task_times: HashMap<String, Millis>,
    /// Tickets of the advisers, by job, round and step.
    pub(crate) advice: HashMap<(JobKey, u32, u32), StepAdvice>,
    /// When steps last waited for tickets and there was no request to send; none after a request.
    pub(crate) advice_checked_at: Option<Millis>,
    /// Jobs that ended since they were last read.
    pub(crate) ended_jobs: Vec<EndedJob>,
    /// Runs that were lost with their runners since they were last read.
    pub(crate) lost_runs: Vec<LostRun>,
    /// Runs whose losses were withdrawn since they were last read.
    pub(crate) withdrawn_losses: Vec<(TaskName, u32)>,
    /// Steps of which a run has failed.
    pub(crate) failing_steps: BTreeMap<(JobKey, u32), FailingStep>,
    /// Runners that became failing, or are no longer so, since they were last read.
    pub(crate) health_changes: Vec<HealthChange>,
    /// Starts without an answer that were given up since they were last read.
    pub(crate) withdrawn_starts: Vec<WithdrawnStart>,
    /// Runners that were lost lately.
    pub(crate) recent_losses: Vec<RecentLoss>,
    /// Since when runners have responded to this owner; none before the first response.
    pub(crate) responding_since: Option<Millis>,
    /// Tasks that losses of runners count against.
    pub(crate) suspects: BTreeSet<TaskRef>,
    /// Steps of which several runners were lost right after they had begun a task of it.
    pub(crate) suspect_steps: BTreeSet<RoundStep>,
    /// Tasks whose jobs are to be failed, because they crash their runners.
    pub(crate) tasks_to_fail: Vec<TaskRef>,
    /// Tasks that were failed as the cause of crashes since they were last read.
    pub(crate) crashing_tasks: Vec<CrashingTask>,
    /// Work that arrived lately.
    pub(crate) arrivals: ArrivalLog,
    /// The same by paid priority and team.
    pub(crate) team_arrivals: TeamArrivals,
    /// Since when the pool has been under pressure; none while it is not.
    pub(crate) pressed_since: Cell<Option<Millis>>,
    /// Quota allocations of this pool, by team; a team without one is not limited.
    pub(crate) quota_allocations: HashMap<String, ResourceAmounts>,
    /// What these allocations can grow to, by team.
    pub(crate) reachable_quotas: HashMap<String, ResourceAmounts>,
    /// Whether some task found no runner when starts were last planned.
    pub(crate) lacked_capacity: bool,
    /// Weights of teams, by name.
    pub(crate) weights: HashMap<String, f64>,
    /// Number of tasks that a quota kept from starting when starts were last planned, by team.
    pub(crate) tasks_over_quota: HashMap<String, u32>,
    /// Data halls that operators have cordoned.
    pub(crate) cordoned_halls: BTreeSet<String>,
    /// Data halls whose runners count as lost together.
    pub(crate) lost_halls: BTreeSet<String>,
    /// Optional rules of the deployment.
    pub(crate) terms: PoolTerms,
    /// Data halls of all runners so far, by number.
    pub(crate) hall_names: Vec<String>,
    /// Long-running steps that were placed unevenly since they were last read.
    pub(crate) uneven_steps: Vec<UnevenStep>,
    /// Long-running steps that were noted as uneven.
    pub(crate) uneven_noted: BTreeSet<(JobKey, u32, u32)>,
    /// Slow start of the runners, if they have one.
    pub(crate) cold_start: Option<ColdStart>,
    /// Runners that became cold or warm since they were last read.
    pub(crate) warmth_changes: Vec<WarmthChange>,
    /// Waiting tasks that the rate of cold runners held back when starts were last planned.
    pub(crate) held_back_starts: usize,
    /// Batch of records that is being written, where one write does not take them all.
    pub(crate) flush_batch: Option<FlushBatch>,
}

impl PoolState {
    /// The state of a new owner.
    pub fn new(inherited: InheritedRuns) -> Self {
        Self {
            inherited,
            ..Self::default()
        }
    }

    /// Sets the optional rules of the deployment.
    pub fn set_terms(&mut self, terms: PoolTerms) {
        self.terms = terms;
    }

    /// Adds a job; returns whether it is new.
    pub fn add_job(&mut self, new: NewJob, now: Millis) -> bool {
        if self.job_ids.contains_key(&new.id) {
            return false;
        }
        let NewJob {
            id,
            submission,
            progress,
            accepted_at,
        } = new;
        let mut job = JobEntry::new(
            id.clone(),
            submission.queue,
            submission.policy,
            submission.spec,
            accepted_at,
        );
        job.team = submission.team;
        job.expected_wait = submission.expected_wait_ms;
        if let Some(progress) = progress {
            self.restore(&mut job, progress, now);
        }
        let settled = job.phase.is_final() && job.tasks.iter().all(|task| is_settled(&task.state));
        if settled {
            job.ended_at = Some(now);
        }
        if !settled {
            // Jobs that a new owner finds arrived before it took over.
            self.record_arrival(&job, accepted_at.min(now), now);
        }
        job.update_account(now);
        self.unconfirmed += count_unconfirmed(&job);
        let suspects: Vec<usize> = suspects_of(&job).collect();
        let key = self.jobs.insert(job);
        let suspects = suspects.into_iter().map(|slot| TaskRef { job: key, slot });
        self.suspects.extend(suspects);
        self.job_ids.insert(id, key);
        if !settled {
            self.active.push(key);
            self.plan_needed = true;
        }
        true
    }

    fn restore(&self, job: &mut JobEntry, progress: JobProgress, now: Millis) {
        job.phase = progress.phase;
        while job.tasks.len() < progress.tasks.len() && job.rounds_begun() < job.spec.rounds() {
            job.begin_round(now);
        }
        for (slot, recorded) in progress.tasks.into_iter().enumerate() {
            let Some(task) = job.tasks.get_mut(slot) else {
                break;
            };
            task.run = recorded.run;
            task.failed = recorded.failed;
            task.suspicion = recorded.suspicion.clone();
            task.checkpoint = recorded.checkpoint;
            let (round, step) = (task.round, task.step);
            match recorded.phase {
                TaskPhase::Waiting => {}
                TaskPhase::Ordered => {
                    let until = self.inherited.until_on(&recorded.runner);
                    let runner = recorded.runner;
                    task.pace = UNKNOWN_PACE;
                    let started_at = recorded.started_at;
                    task.state = TaskState::Unconfirmed {
                        runner,
                        started_at,
                        until,
                    };
                }
                TaskPhase::Done => {
                    task.state = TaskState::Done;
                    task.unavailable_since = None;
                    job.record_done(round, step);
                }
            }
        }
    }

    /// Adds a runner, or updates its facts. A new instance of a known runner is added by
    /// [`Self::replace_restarted_runner`].
    pub fn set_runner(&mut self, facts: RunnerFacts, now: Millis) -> RunnerKey {
        self.plan_needed = true;
        if let Some(key) = self.runner_names.get(&facts.name).copied()
            && let Some(runner) = self.runners.get_mut(key)
        {
            let started_at = facts.started_at.or(runner.facts.started_at);
            runner.facts = RunnerFacts {
                started_at,
                ..facts
            };
            runner.unlisted = false;
            self.update_cordon(key);
            self.update_hall_loss(key);
            self.number_hall(key);
            return key;
        }
        let name = facts.name.clone();
        let until = self.inherited.until_on(&name);
        let key = self.runners.insert(RunnerEntry::new(facts, until, now));
        self.runner_names.insert(name, key);
        self.update_cordon(key);
        self.update_hall_loss(key);
        self.number_hall(key);
        key
    }

    /// Marks a runner that is no longer listed; it gets no more tasks.
    pub fn unlist_runner(&mut self, key: RunnerKey) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.unlisted = true;
        }
    }

    /// Removes a lost runner whose runs have all ended.
    pub fn remove_runner(&mut self, key: RunnerKey, loss: RunnerLoss, now: Millis) {
        self.release_runner(key, loss, now);
        if let Some(runner) = self.runners.remove(key) {
            self.runner_names.remove(&runner.facts.name);
        }
    }

    /// Records that everything on a runner has ended because it was lost.
    pub fn release_runner(&mut self, key: RunnerKey, loss: RunnerLoss, now: Millis) {
        self.record_loss(key, loss, now);
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        let tasks: Vec<TaskRef> = runner.tasks.iter().copied().collect();
        for task in tasks {
            self.move_off_runner(task, TaskState::Waiting, now);
        }
        let name = self
            .runners
            .get(key)
            .map(|runner| runner.facts.name.clone());
        if let Some(name) = name {
            self.release_unconfirmed(|runner, _| runner == name, now);
        }
        self.fail_crashing_tasks(now);
    }

    /// Records that an instance of a runner that is not listed has ended.
    pub fn record_unlisted_loss(&mut self, name: &str, now: Millis) {
        self.record_unknown_loss(name, RunnerLoss::Crashed, now);
        self.release_unconfirmed(|runner, _| runner == name, now);
        self.fail_crashing_tasks(now);
    }

    /// Sets tasks back to waiting whose runs have ended for certain by now, because the leases
    /// of their runners ended; returns those runners.
    pub fn expire_leases(&mut self, now: Millis) -> Vec<RunnerKey> {
        self.record_expired(now);
        self.release_unconfirmed(|_, until| until <= now, now);
        self.fail_crashing_tasks(now);
        let expired: Vec<RunnerKey> = self
            .runners
            .iter()
            .filter(|(_, runner)| {
                !runner.ready && runner.lease_until <= now && !runner.tasks.is_empty()
            })
            .map(|(key, _)| key)
            .collect();
        for key in &expired {
            self.release_runner(*key, RunnerLoss::Silent, now);
        }
        expired
    }

    pub(crate) fn release_unconfirmed(
        &mut self,
        ended: impl Fn(&str, Millis) -> bool,
        now: Millis,
    ) {
        if self.unconfirmed == 0 {
            return;
        }
        let settled: Vec<TaskRef> = self
            .active_tasks()
            .filter(|(_, task)| match &task.state {
                TaskState::Unconfirmed { runner, until, .. } => ended(runner, *until),
                _ => false,
            })
            .map(|(task, _)| task)
            .collect();
        for task in settled {
            self.set_task_state(task, TaskState::Waiting, now);
            self.mark_dirty(task.job);
        }
    }

    pub(crate) fn active_tasks(&self) -> impl Iterator<Item = (TaskRef, &TaskEntry)> {
        self.active
            .iter()
            .filter_map(|key| Some((*key, self.jobs.get(*key)?)))
            .flat_map(|(key, job)| {
                let tasks = job.tasks.iter().enumerate();
                tasks.map(move |(slot, task)| (TaskRef { job: key, slot }, task))
            })
    }

    pub(crate) fn mark_dirty(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.dirty = true;
        }
    }

    /// A task's entry.
    pub fn task(&self, task: TaskRef) -> Option<&TaskEntry> {
        self.jobs.get(task.job)?.tasks.get(task.slot)
    }

    /// Name of a task.
    pub fn name_of(&self, task: TaskRef) -> Option<TaskName> {
        self.jobs.get(task.job)?.name_of(task.slot)
    }

    pub(crate) fn task_mut(&mut self, task: TaskRef) -> Option<&mut TaskEntry> {
        self.jobs.get_mut(task.job)?.tasks.get_mut(task.slot)
    }

    /// Changes the state of a task, and the resources that are reserved for it. Each end of a
    /// run leads here, so that what is queued of the run is withdrawn.
    pub(crate) fn set_task_state(&mut self, task: TaskRef, state: TaskState, now: Millis) {
        let suspect = self.needs_isolation(task);
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let Some(step) = job.step_of(task.slot).cloned() else {
            return;
        };
        job.update_account(now);
        let Some(entry) = job.tasks.get_mut(task.slot) else {
            return;
        };
        let before = entry.runner();
        let queued_for = entry.start_queued_for();
        let run = entry.run;
        if matches!(entry.state, TaskState::Unconfirmed { .. }) {
            self.unconfirmed = self.unconfirmed.saturating_sub(1);
        }
        self.unconfirmed += usize::from(matches!(state, TaskState::Unconfirmed { .. }));
        if matches!(state, TaskState::Running(_)) {
            entry.began_at = now;
        }
        entry.state = state;
        entry.changed_at = now;
        entry.stopped_at = None;
        entry.earlier_run = None;
        let after = entry.runner();

        if after.is_none() {
            entry.reported = false;
            entry.outcome_unknown = false;
            entry.any_start_unanswered = false;
            entry.start_expires_at = 0;
            entry.percent = 0;
            entry.pace = 100;
            entry.pace_unconfirmed_until = 0;
        }
        match entry.state {
            TaskState::Running(_) if entry.percent >= 100 => entry.unavailable_since = None,
            TaskState::Done => entry.unavailable_since = None,
            _ => entry.unavailable_since = entry.unavailable_since.or(Some(now)),
        }
        if before != after {
            if let Some((runner, name)) = queued_for.zip(job.name_of(task.slot)) {
                self.abandoned_runs.push(AbandonedRun { runner, name, run });
            }
            if let Some(runner) = before.and_then(|key| self.runners.get_mut(key)) {
                runner.remove(task, &step);
                self.plan_needed = true;
            }
            if let Some(runner) = after.and_then(|key| self.runners.get_mut(key)) {
                runner.add(task, &step);
                if suspect {
                    runner.isolated_task.get_or_insert(task);
                    runner.reserved_until = 0;
                }
            }
        }
    }

    /// Returns the runs that were given up and of whose starts copies may be queued, and clears
    /// them.
    pub fn take_abandoned_runs(&mut self) -> Vec<AbandonedRun> {
        std::mem::take(&mut self.abandoned_runs)
    }

    /// Whether any task may run on a runner which has not confirmed it.
    pub(crate) fn has_unconfirmed(&self) -> bool {
        self.unconfirmed > 0
    }

    /// A job by its identifier.
    pub fn job(&self, id: &str) -> Option<&JobEntry> {
        self.jobs.get(*self.job_ids.get(id)?)
    }

    /// A runner.
    pub fn runner(&self, key: RunnerKey) -> Option<&RunnerEntry> {
        self.runners.get(key)
    }

    /// Key of a runner, by its name.
    pub fn runner_key(&self, name: &str) -> Option<RunnerKey> {
        self.runner_names.get(name).copied()
    }

    /// The known instance of a runner.
    pub fn instance_of(&self, key: RunnerKey) -> Option<RunnerInstance> {
        self.runner(key).map(|runner| runner.facts.instance())
    }

    /// The known instance of a runner, by its name; without a start time where none is known.
    pub fn instance_by_name(&self, name: &str) -> RunnerInstance {
        let known = self.runner_key(name).and_then(|key| self.instance_of(key));
        known.unwrap_or_else(|| RunnerInstance::without_start_time(name))
    }

    /// Key of the runner whose known instance may be the given one.
    pub fn key_of_instance(&self, instance: &RunnerInstance) -> Option<RunnerKey> {
        let key = self.runner_key(&instance.name)?;
        let is_same = self
            .instance_of(key)
            .is_some_and(|known| known.may_be(instance));
        is_same.then_some(key)
    }

    /// All runners.
    pub fn runners(&self) -> impl Iterator<Item = (RunnerKey, &RunnerEntry)> {
        self.runners.iter()
    }

    /// Number of jobs of which nothing is known to have begun, by queue. A start without an
    /// answer may be carried out seconds later.
    pub fn waiting_jobs(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for job in self.active.iter().filter_map(|key| self.jobs.get(*key)) {
            if job.phase == JobPhase::Queued {
                *counts.entry(job.queue.clone()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Updates the policies of jobs from those of their queues that are in effect.
    pub fn set_policies(&mut self, policies: &HashMap<String, QueuePolicy>) {
        for job in self.jobs.values_mut() {
            if let Some(policy) = policies.get(&job.queue) {
                job.policy = *policy;
            }
        }
    }

    /// Drops jobs from the active ones that have ended and of which nothing runs.
    pub(crate) fn drop_settled(&mut self) {
        let jobs = &self.jobs;
        self.active.retain(|key| {
            jobs.get(*key).is_some_and(|job| {
                let settled = || job.tasks.iter().all(|task| is_settled(&task.state));
                job.dirty || !job.phase.is_final() || !settled()
            })
        });
    }

    /// Identifiers of jobs that ended before `time` and whose records are written, to be
    /// forgotten.
    pub fn ended_before(&self, time: Millis) -> Vec<String> {
        self.jobs
            .values()
            .filter(|job| !job.dirty && job.ended_at.is_some_and(|ended| ended < time))
            .map(|job| job.id.clone())
            .collect()
    }

    /// Drops a job from memory.
    pub fn forget_job(&mut self, id: &str) {
        if let Some(key) = self.job_ids.remove(id) {
            self.forget_failures(key);
            if let Some(job) = self.jobs.remove(key) {
                self.unconfirmed = self.unconfirmed.saturating_sub(count_unconfirmed(&job));
            }
            self.advice.retain(|(job, _, _), _| *job != key);
            self.active.retain(|active| *active != key);
        }
    }
}

/// Slots of a job's tasks that losses of runners count against.
fn suspects_of(job: &JobEntry) -> impl Iterator<Item = usize> {
    let tasks = job.tasks.iter().enumerate();
    let suspects = tasks.filter(|(_, task)| task.suspicion.is_suspect());
    suspects.map(|(slot, _)| slot)
}

fn count_unconfirmed(job: &JobEntry) -> usize {
    let tasks = job.tasks.iter();
    tasks
        .filter(|task| matches!(task.state, TaskState::Unconfirmed { .. }))
        .count()
}

fn is_settled(state: &TaskState) -> bool {
    matches!(state, TaskState::Waiting | TaskState::Done)
}
