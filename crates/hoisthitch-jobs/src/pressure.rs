//! What a pool's owner publishes for the admission of new jobs: the work that waits by priority
//! and team, and the capacity for it.
//!
//! The work is told only while the pool is under pressure, that is, has more of it than its
//! capacity does in a short time. A rise is served by VMs of other pools, which takes them about
//! two seconds, so that new pressure is told only after that time.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use crate::{
    Millis,
    demand::DEFAULT_CAPACITY_MILLI,
    intake::{
        IntakeReport,
        TeamLoad,
        is_payable, //
    },
    job::JobEntry,
    pool::PoolState,
    resources::saturating_sum,
    runner::RunnerEntry,
    task::{
        TaskEntry,
        TaskRef,
        TaskState, //
    }, //
};

/// Time of work at the pool's capacity from which a pool is under pressure, in milliseconds.
const PRESSURE_MS: Millis = 1_500;

/// The same below which it is not any more.
const RELIEF_MS: Millis = 750;

/// Time in which VMs are sent to a pool whose demand rises, in milliseconds.
const VM_LEAD_MS: Millis = 2_000;

/// Time in which a runner that is listed responds, in milliseconds.
const FIRST_RESPONSE_MS: Millis = 2_000;

/// Part of a task's mean time that is expected to be left of a task which runs for longer: one
/// in this many.
const OVERDUE_DIVISOR: u64 = 4;

/// Window over which arriving work is averaged by team, in milliseconds.
const WINDOW_MS: Millis = 1_000;

/// Work that arrived lately, by paid priority and team.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamArrivals {
    windows: HashMap<u32, HashMap<String, ArrivalWindow>>,
}

/// Work that arrived in the window under way and in the one before, in thousandths of a core
/// times milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalWindow {
    number: u64,
    work: u64,
    work_before: u64,
}

/// Work of a team that waits, in thousandths of a core times milliseconds.
#[derive(Clone, Copy, Default)]
struct WaitingWork {
    all: u64,
    late: u64,
}

impl TeamArrivals {
    /// Records work that was accepted at `at`.
    pub(crate) fn note(&mut self, priority: u32, team: &str, at: Millis, work: u64, now: Millis) {
        let teams = self.windows.entry(priority).or_default();
        if let Some(window) = teams.get_mut(team) {
            window.note(at, work, now);
            return;
        }
        let mut window = ArrivalWindow::default();
        window.note(at, work, now);
        teams.insert(team.to_owned(), window);
    }

    /// Rate of arriving work, in thousandths of a core.
    fn rate(&self, priority: u32, team: &str, now: Millis) -> u64 {
        let window = self
            .windows
            .get(&priority)
            .and_then(|teams| teams.get(team));
        window.map_or(0, |window| window.rate(now))
    }
}

impl ArrivalWindow {
    fn at(mut self, now: Millis) -> Self {
        let number = now / WINDOW_MS;
        if number != self.number {
            let is_next = self.number + 1 == number;
            self.work_before = if is_next { self.work } else { 0 };
            self.work = 0;
            self.number = number;
        }
        self
    }

    fn note(&mut self, at: Millis, work: u64, now: Millis) {
        *self = self.at(now);
        let number = at / WINDOW_MS;
        if number == self.number {
            self.work = self.work.saturating_add(work);
        } else if number + 1 == self.number {
            self.work_before = self.work_before.saturating_add(work);
        }
    }

    fn rate(self, now: Millis) -> u64 {
        let window = self.at(now);
        let left = WINDOW_MS - now % WINDOW_MS;
        (window.work + window.work_before * left / WINDOW_MS) / WINDOW_MS
    }
}

impl PoolState {
    /// What to publish for the nodes that accept the pool's jobs. `coming` is the number of VMs
    /// that other pools have sent here and that have not arrived.
    pub fn intake_report(&self, coming: u32, now: Millis) -> IntakeReport {
        let mut works: HashMap<(u32, &str), WaitingWork> = HashMap::new();
        let mut all: u64 = 0;
        let mut long_running = 0;
        for (key, job) in self.unended_jobs() {
            if job.spec.is_long_running() {
                let tasks = (0..job.tasks.len()).map(|slot| TaskRef { job: key, slot });
                let reserved = tasks.map(|task| self.long_running_need(job, task));
                long_running = saturating_sum(reserved.chain([long_running]));
            } else if is_payable(&job.spec) && !self.is_useless(job, now) {
                let work = remaining_work(job, self.task_time(&job.queue), now);
                let sum = works.entry((job.policy.priority, &job.team)).or_default();
                sum.all = sum.all.saturating_add(work);
                if self.latest_start(job) < now {
                    sum.late = sum.late.saturating_add(work);
                }
                all = all.saturating_add(work);
            }
        }
        let capacity = self
            .expected_capacity(coming, now)
            .saturating_sub(long_running);
        let mut loads: BTreeMap<u32, BTreeMap<String, TeamLoad>> = BTreeMap::new();
        if self.update_pressure(all, capacity, now) {
            for ((priority, team), work) in works {
                let load = self.team_load(priority, team, work, now);
                loads
                    .entry(priority)
                    .or_default()
                    .insert(team.to_owned(), load);
            }
        }
        let times = self.task_times.iter();
        IntakeReport {
            capacity,
            task_times: times.map(|(queue, time)| (queue.clone(), *time)).collect(),
            loads,
        }
    }

    /// Whether the pool has been under pressure for long enough to be told.
    fn update_pressure(&self, work: u64, capacity: u64, now: Millis) -> bool {
        let since = self.pressed_since.get();
        let bound = if since.is_some() {
            RELIEF_MS
        } else {
            PRESSURE_MS
        };
        let since = (work > capacity.saturating_mul(bound)).then(|| since.unwrap_or(now));
        self.pressed_since.set(since);
        since.is_some_and(|since| since + VM_LEAD_MS <= now)
    }

    fn team_load(&self, priority: u32, team: &str, work: WaitingWork, now: Millis) -> TeamLoad {
        // An allocation follows the need within some tens of milliseconds. What counts is how far
        // it can.
        let is_limiting = self.tasks_over_quota.contains_key(team);
        let reachable = self.reachable_quotas.get(team).filter(|_| is_limiting);
        let reachable = reachable.filter(|reachable| reachable.cpu_milli != u64::MAX);
        TeamLoad {
            work: work.all,
            late: work.late,
            arriving: self.team_arrivals.rate(priority, team, now),
            weight: self.weights.get(team).copied().unwrap_or(1.0),
            allowed: reachable.map(|reachable| reachable.cpu_milli),
        }
    }

    /// Processors of runners that stay, of new ones, and of VMs on their way, in thousandths of a
    /// core.
    fn expected_capacity(&self, coming: u32, now: Millis) -> u64 {
        let runners = self.runners.values();
        let staying = runners.filter(|runner| runner.is_staying() || is_starting(runner, now));
        let staying = saturating_sum(staying.map(|runner| runner.facts.capacity.cpu_milli));
        staying.saturating_add(u64::from(coming).saturating_mul(self.vm_capacity()))
    }

    /// Processors of the pool's usual VM, in thousandths of a core.
    pub(crate) fn vm_capacity(&self) -> u64 {
        let runners = self.runners.values();
        let capacities = runners.map(|runner| runner.facts.capacity.cpu_milli);
        capacities.max().unwrap_or(DEFAULT_CAPACITY_MILLI).max(1)
    }

    /// What a long-running task reserves or waits for, in thousandths of a core.
    pub(crate) fn long_running_need(&self, job: &JobEntry, task: TaskRef) -> u64 {
        let step = job.step_of(task.slot);
        let Some(step) = step.filter(|step| step.long_running && !step.best_effort) else {
            return 0;
        };
        let runs = job
            .tasks
            .get(task.slot)
            .is_some_and(|entry| entry.runner().is_some());
        let counts = runs && !self.is_cordoned(task) || job.waits_for_runner(task.slot);
        if counts { step.need.cpu_milli } else { 0 }
    }
}

/// Whether a runner was listed lately and has not responded yet.
fn is_starting(runner: &RunnerEntry, now: Millis) -> bool {
    let is_new =
        runner.last_response_at.is_none() && now < runner.first_seen_at + FIRST_RESPONSE_MS;
    let usable = !runner.cordoned && !runner.hall_lost && runner.evacuation.takes_tasks();
    is_new && usable && !runner.is_departing()
}

/// Work of a job that is not done, in thousandths of a core times milliseconds.
pub(crate) fn remaining_work(job: &JobEntry, time: Millis, now: Millis) -> u64 {
    if job.tasks.is_empty() {
        let steps = job.spec.steps.iter();
        let works = steps.map(|step| {
            let cpu = u64::from(step.count).saturating_mul(step.need.cpu_milli);
            cpu.saturating_mul(time)
        });
        return saturating_sum(works);
    }
    let tasks = job.tasks.iter().enumerate();
    let works = tasks.map(|(slot, task)| {
        let cpu = job.step_of(slot).map_or(0, |step| step.need.cpu_milli);
        cpu.saturating_mul(remaining_time(task, time, now))
    });
    saturating_sum(works)
}

/// Expected time until a task is done once it runs, in milliseconds.
pub(crate) fn remaining_time(task: &TaskEntry, time: Millis, now: Millis) -> Millis {
    match task.state {
        TaskState::Done => 0,
        TaskState::Running(_) => {
            let ran = now.saturating_sub(task.began_at);
            time.saturating_sub(ran).max(time / OVERDUE_DIVISOR)
        }
        _ => time,
    }
}
