//! Plans task starts, and collects the job records that must be written before a start may be
//! ordered.
//!
//! [`PoolState::plan`] places ready tasks on runners. [`PoolState::begin_flush`] collects the
//! records that changed, and [`PoolState::finish_flush`] returns the start orders once those
//! records are written. No start is ordered before the record that names its runner is
//! written.

use std::collections::HashSet;

use crate::{
    Millis,
    admission::StartAdmission,
    job::JobKey,
    pool::PoolState,
    quota::{
        QuotaBudget,
        gangs_planned,
        gangs_waiting, //
    },
    record::JobProgress,
    resources::ResourceAmounts,
    runner::{
        RunnerInstance,
        RunnerKey, //
    },
    spec::StepSpec,
    task::{
        StartOrder,
        TaskRef,
        TaskState, //
    },
    useless::StartRoom, //
};

/// Records that are written together, and what may be done after the write.
#[derive(Clone, Debug, Default)]
pub struct FlushPlan {
    /// Records, by job identifier.
    pub records: Vec<(String, JobProgress)>,
    /// Number of the last recorded end of each runner, which may forget it and those before
    /// it; empty unless this write completes a batch.
    pub acked_ends: Vec<(RunnerKey, u64)>,
    starts: Vec<(TaskRef, u32)>,
}

/// Records that were behind at one time, and the ends that runners had reported by then. Under
/// load some record is always behind; without batches no end would count as recorded, and
/// runners would report the same ends again and again.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlushBatch {
    /// Jobs whose record is still to be written.
    left: HashSet<JobKey>,
    /// Number of the last end that was processed when the batch began, by runner.
    seen_ends: Vec<(RunnerKey, u64)>,
}

/// Reservations for which no runner has free capacity. Free capacity only shrinks while a plan
/// is made, so a task that reserves at least as much fits nowhere either. Under a
/// backlog this saves a search over all runners for each waiting task.
#[derive(Default)]
struct FullResources {
    reservations: Vec<ResourceAmounts>,
}

impl FullResources {
    fn rules_out(&self, step: &StepSpec) -> bool {
        let reservation = step.reservation();
        self.reservations
            .iter()
            .any(|full| reservation.covers(*full))
    }
}

/// Whether any runner with enough free capacity may run the step's tasks: no label, no limit
/// for each runner.
fn is_unbound(step: &StepSpec) -> bool {
    step.label.is_none() && step.max_per_runner == 0
}

impl PoolState {
    /// Begins the rounds that are due at `unix_ms`, a time of day in milliseconds since 1970.
    pub fn begin_due_rounds(&mut self, now: Millis, unix_ms: u64) {
        for key in &self.active {
            let Some(job) = self.jobs.get_mut(*key) else {
                continue;
            };
            if job.phase.is_final() {
                continue;
            }
            while job.rounds_begun() < job.spec.rounds() {
                let round = u64::from(job.rounds_begun());
                let due = job
                    .spec
                    .schedule
                    .map_or(0, |times| times.first_ms + round * times.interval_ms);
                if due > unix_ms {
                    break;
                }
                job.begin_round(now);
                self.plan_needed = true;
            }
        }
    }

    /// Whether a new plan may change anything.
    pub fn needs_plan(&self) -> bool {
        self.plan_needed
    }

    /// Places ready tasks; returns how many.
    pub fn plan(&mut self, now: Millis) -> usize {
        self.plan_needed = false;
        let mut planned = 0;
        let mut full = FullResources::default();
        let usage = self.usage_for_plan();
        let mut budget = self.quota_budget(&usage);
        let order = self.plan_order(&usage, now);
        self.tasks_over_quota.clear();
        let mut room = StartRoom::Any;
        for (key, useless) in order {
            // Useless jobs come last, when all others have been placed.
            if useless && room == StartRoom::Any {
                room = self.room_for_useless(now);
            }
            planned += self.plan_job(key, &mut full, &mut budget, &mut room, now);
        }
        self.held_back_starts = self.count_held_back(now);
        self.lacked_capacity = !full.reservations.is_empty();
        planned
    }

    fn plan_job(
        &mut self,
        key: JobKey,
        full: &mut FullResources,
        budget: &mut QuotaBudget,
        room: &mut StartRoom,
        now: Millis,
    ) -> usize {
        let Some(job) = self.jobs.get(key) else {
            return 0;
        };
        let team = budget.find(&job.team);
        let is_bounded = team.is_limited() || room.is_limited();
        let gangs = if is_bounded {
            gangs_waiting(job)
        } else {
            ResourceAmounts::default()
        };
        let allows_gangs = budget.allows(team, gangs) && room.allows(gangs);
        let ready: Vec<TaskRef> = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(slot, _)| job.waits_for_runner(*slot))
            .map(|(slot, _)| TaskRef { job: key, slot })
            .collect();
        let mut planned = 0;
        if allows_gangs {
            planned += self.plan_gangs(key, now);
            if let Some(job) = self.jobs.get(key).filter(|_| team.is_limited()) {
                budget.take(team, gangs_planned(job));
            }
            if let Some(job) = self.jobs.get(key).filter(|_| room.is_limited()) {
                room.take(gangs.minus(gangs_waiting(job)));
            }
        }
        let mut unplaceable_step = None;
        for task in ready {
            let step = self.task(task).map(|entry| (entry.round, entry.step));
            if self.is_gang(task) || step == unplaceable_step {
                continue;
            }
            let need = self.need_of(task);
            if !budget.allows(team, need) {
                self.count_over_quota(key);
                continue;
            }
            if !room.allows(need) {
                continue;
            }
            if self.must_isolate(task, now) {
                if self.plan_isolated(task, now) {
                    budget.take(team, need);
                    room.take(need);
                    planned += 1;
                }
                continue;
            }
            let Some(runner) = self.choose_runner_unless_full(task, full, now) else {
                // If one task of a step fits on no runner, the others don't either.
                unplaceable_step = step;
                continue;
            };
            self.plan_task(task, runner, now);
            budget.take(team, need);
            room.take(need);
            planned += 1;
        }
        planned
    }

    fn need_of(&self, task: TaskRef) -> ResourceAmounts {
        let step = self
            .jobs
            .get(task.job)
            .and_then(|job| job.step_of(task.slot));
        step.map(|step| step.need).unwrap_or_default()
    }

    fn plan_task(&mut self, task: TaskRef, runner: RunnerKey, now: Millis) {
        self.set_task_state(task, TaskState::Planned(runner), now);
        if let Some(entry) = self.task_mut(task) {
            entry.run += 1;
        }
        self.mark_dirty(task.job);
        if self.tells_halls_apart() {
            self.note_spread(task, runner);
        }
    }

    /// Places a suspect (a task that may have crashed a runner) on a runner of its own, or
    /// reserves a runner for it; returns whether it was placed.
    fn plan_isolated(&mut self, task: TaskRef, now: Millis) -> bool {
        let Some(runner) = self.choose_runner(task, None, now) else {
            self.reserve_runner(task, now);
            return false;
        };
        self.plan_task(task, runner, now);
        true
    }

    /// Cancels all starts that are planned and not ordered yet, whether their records are
    /// written or not: they will not be ordered.
    pub fn cancel_planned_starts(&mut self, now: Millis) {
        let planned: Vec<TaskRef> = self
            .active_tasks()
            .filter(|(_, entry)| matches!(entry.state, TaskState::Planned(_)))
            .map(|(task, _)| task)
            .collect();
        for task in planned {
            self.set_task_state(task, TaskState::Waiting, now);
        }
    }

    fn choose_runner_unless_full(
        &self,
        task: TaskRef,
        full: &mut FullResources,
        now: Millis,
    ) -> Option<RunnerKey> {
        let step = self.jobs.get(task.job)?.step_of(task.slot)?;
        if full.rules_out(step) {
            return None;
        }
        let chosen = self.choose_runner(task, None, now);
        // An advised step may lack a ticket for a runner that has free capacity, and a task may be
        // kept off it for other reasons of its own.
        let advised = self.jobs.get(task.job)?.policy.advised;
        if chosen.is_none() && !advised && is_unbound(step) && !self.any_has_room(step, now) {
            full.reservations.push(step.reservation());
        }
        chosen
    }

    /// Whether a task of the step could start on some runner, if nothing but the runner's own state
    /// kept it off.
    fn any_has_room(&self, step: &StepSpec, now: Millis) -> bool {
        let mut runners = self.runners.values();
        runners.any(|runner| {
            let is_open = runner.isolated_task.is_none() && runner.reserved_until <= now;
            is_open
                && runner.takes_tasks(now)
                && runner.fits(step)
                && self.rate_allows_plan(runner, now)
        })
    }

    /// Whether any record has to be written.
    pub fn needs_flush(&self) -> bool {
        self.active
            .iter()
            .any(|key| self.jobs.get(*key).is_some_and(|job| job.dirty))
    }

    /// Whether more than `limit` records have to be written.
    pub fn is_behind(&self, limit: usize) -> bool {
        let dirty = self.active.iter().filter(|key| self.is_dirty(**key));
        dirty.take(limit + 1).count() > limit
    }

    fn is_dirty(&self, key: JobKey) -> bool {
        self.jobs.get(key).is_some_and(|job| job.dirty)
    }

    /// Collects at most `limit` records to write; those that have been behind the longest come
    /// first.
    pub fn begin_flush(&mut self, limit: usize) -> FlushPlan {
        let dirty: Vec<JobKey> = self
            .active
            .iter()
            .filter(|key| self.is_dirty(**key))
            .copied()
            .collect();
        let mut batch = self.begin_batch(&dirty);
        let (first, later): (Vec<JobKey>, Vec<JobKey>) =
            dirty.into_iter().partition(|key| batch.left.contains(key));
        let mut plan = FlushPlan::default();
        for key in first.into_iter().chain(later).take(limit) {
            self.add_record(&mut plan, key);
            batch.left.remove(&key);
        }
        // An end counts as recorded once every record that it changed is written.
        if batch.left.is_empty() {
            plan.acked_ends = batch.seen_ends;
        } else {
            self.flush_batch = Some(batch);
        }
        plan
    }

    /// The records of the batch under way that are still behind, or a new batch of all that
    /// are.
    fn begin_batch(&mut self, dirty: &[JobKey]) -> FlushBatch {
        let jobs = &self.jobs;
        if let Some(mut batch) = self.flush_batch.take() {
            batch
                .left
                .retain(|key| jobs.get(*key).is_some_and(|job| job.dirty));
            return batch;
        }
        let runners = self.runners.iter();
        FlushBatch {
            left: dirty.iter().copied().collect(),
            seen_ends: runners
                .map(|(key, runner)| (key, runner.last_seen_end))
                .collect(),
        }
    }

    fn add_record(&mut self, plan: &mut FlushPlan, key: JobKey) {
        let runners = &self.runners;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.dirty = false;
        let progress = job.progress(|task| match &task.state {
            TaskState::Unconfirmed {
                runner, started_at, ..
            } => Some(RunnerInstance {
                name: runner.clone(),
                started_at: *started_at,
            }),
            _ => {
                let runner = task.runner().and_then(|key| runners.get(key));
                runner.map(|runner| runner.facts.instance())
            }
        });
        plan.records.push((job.id.clone(), progress));
        let starts = job.tasks.iter().enumerate();
        plan.starts.extend(starts.filter_map(|(slot, task)| {
            let planned = matches!(task.state, TaskState::Planned(_));
            planned.then_some((TaskRef { job: key, slot }, task.run))
        }));
    }

    /// Completes a flush whose records are written; returns the starts that may be ordered
    /// now.
    pub fn finish_flush(&mut self, plan: &FlushPlan, now: Millis) -> Vec<StartOrder> {
        let mut orders = Vec::new();
        for (task, run) in &plan.starts {
            let Some(entry) = self.task(*task) else {
                continue;
            };
            let TaskState::Planned(runner) = entry.state else {
                continue;
            };
            if entry.run != *run {
                continue;
            }
            if let Some(entry) = self.task_mut(*task) {
                entry.decided_at = now;
                entry.begun_after = Some(now);
                entry.copies = 0;
            }
            if self.admit_start(*task, runner, now) != StartAdmission::Send {
                self.set_task_state(*task, TaskState::Waiting, now);
                self.break_gang(*task, now);
                continue;
            }
            self.count_cold_start(runner, now);
            self.set_task_state(*task, TaskState::Ordered(runner), now);
            orders.extend(self.next_start_order(*task, runner));
        }
        self.drop_settled();
        orders
    }

    /// Marks the plan's records as unwritten after a failed write.
    pub fn fail_flush(&mut self, plan: &FlushPlan) {
        for (id, _) in &plan.records {
            if let Some(key) = self.job_ids.get(id).copied() {
                self.mark_dirty(key);
            }
        }
    }

    /// The next copy of the start order for a task's last run, with the adviser's ticket if
    /// there is one.
    pub(crate) fn next_start_order(
        &mut self,
        task: TaskRef,
        runner: RunnerKey,
    ) -> Option<StartOrder> {
        let ticket = self.ticket(task, runner).unwrap_or_default();
        let entry = self.task_mut(task)?;
        entry.copies += 1;
        let job = self.jobs.get(task.job)?;
        let entry = job.tasks.get(task.slot)?;
        let saves = job.step_of(task.slot).is_some_and(|step| step.checkpoints);
        Some(StartOrder {
            task,
            runner,
            name: job.name_of(task.slot)?,
            run: entry.run,
            payload: job.spec.payload.clone(),
            ticket,
            decided_at: entry.decided_at,
            copy: entry.copies,
            sent_at: None,
            checkpoint: if saves {
                entry.checkpoint.clone()
            } else {
                String::new()
            },
        })
    }
}
