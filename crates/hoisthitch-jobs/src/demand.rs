//! Estimates how many VMs a pool needs, and names the runners that it can spare.

use crate::{
    Millis,
    intake::is_payable,
    job::{
        JobEntry,
        JobKey, //
    },
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerKey, //
    },
    task::TaskRef, //
};

/// Capacity wanted for each core of arriving work, in percent. A VM-second costs a twentieth
/// of what its cores earn when busy, and work that waits for a VM is late.
const HEADROOM_PERCENT: u64 = 130;

/// Time beyond the work itself within which waiting work is to be done, in milliseconds;
/// objectives leave about as much.
const BACKLOG_MS: Millis = 1_500;

/// The same for jobs that can't be in time any more, and for running tasks of jobs that have
/// passed their objective, in milliseconds. VMs go to pools whose jobs can be in time, which
/// earn some fourteen times as much. Together with the falls that [`crate::arrivals`] detects
/// this brings 2 percent of the attainable value, and 10 percent where pools have two hundred
/// VMs; either of the two rules can replace the other (50 simulated days, docs/decisions.md).
const LATE_BACKLOG_MS: Millis = 10_000;

/// Time assumed for a task of a queue of which no task was done yet, in milliseconds.
pub(crate) const DEFAULT_TASK_MS: Millis = 1_000;

/// Weight of a new value in a running mean: one part in this many.
const MEAN_DIVISOR: u64 = 8;

/// Capacity assumed for a VM while the pool has no runner, in thousandths of a core.
pub(crate) const DEFAULT_CAPACITY_MILLI: u64 = 32_000;

/// Least time that a runner stays in its pool, in milliseconds: two owners may not order about
/// the same VM within the platform's three seconds.
const STAY_MIN_MS: Millis = 3_300;

/// Number of VMs that a pool needs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WantedVms {
    /// For the work that arrives and runs all the time.
    pub steady: u32,
    /// Also counting the work that waits now.
    pub now: u32,
}

/// Work of a pool, in thousandths of a core.
#[derive(Default)]
struct DemandSums {
    running: u64,
    long_running: u64,
    backlog: u64,
    /// Number of jobs whose end is of no use any more.
    useless_jobs: u64,
    /// Number of VMs needed to spread long-running tasks.
    spread: u32,
}

impl PoolState {
    /// Number of VMs that the pool needs for long-running work, for the short work that
    /// arrives, and for the work that waits.
    pub fn wanted_vms(&self, now: Millis) -> WantedVms {
        let mut sums = DemandSums::default();
        for key in &self.active {
            if let Some(job) = self.jobs.get(*key)
                && !job.phase.is_final()
            {
                self.add_demand(&mut sums, *key, job, now);
            }
        }
        let arriving = self.arriving_demand(now);
        let steady = sums.running.max(arriving);
        let cores = steady + sums.long_running;
        let capacity = self.vm_capacity();
        let spread = sums
            .spread
            .saturating_sub(self.count_cordoned_long_running());
        let vms = |cores: u64| {
            let vms = cores.div_ceil(capacity);
            u32::try_from(vms).unwrap_or(u32::MAX).max(spread)
        };
        WantedVms {
            steady: vms(cores),
            // Useless work is done by what there is, and is not left without any VM.
            now: vms(cores + sums.backlog).max(u32::from(sums.useless_jobs > 0)),
        }
    }

    /// Capacity wanted for the work that arrives, in thousandths of a core.
    pub(crate) fn arriving_demand(&self, now: Millis) -> u64 {
        self.arrivals.rate(now) * HEADROOM_PERCENT / 100
    }

    fn add_demand(&self, sums: &mut DemandSums, key: JobKey, job: &JobEntry, now: Millis) {
        let time = self.task_time(&job.queue);
        let late = self.latest_start(job) < now;
        if self.yields_as_useless(job, now) {
            sums.useless_jobs += 1;
            return;
        }
        let has_missed = self.has_missed_objective(job, now);
        let wait = if late { LATE_BACKLOG_MS } else { BACKLOG_MS };
        for step in job.spec.steps.iter().filter(|step| step.long_running) {
            sums.spread = sums.spread.max(step.count.div_ceil(step.max_together()));
        }
        for (slot, task) in job.tasks.iter().enumerate() {
            let Some(step) = job.step_of(slot).filter(|step| !step.best_effort) else {
                continue;
            };
            // It needs no further VM while it runs in a cordoned hall.
            if self.is_cordoned(TaskRef { job: key, slot }) {
                continue;
            }
            let cpu = step.need.cpu_milli;
            let runs = task.runner().is_some();
            let waits = job.waits_for_runner(slot);
            match (step.long_running, runs, waits) {
                (true, true, _) | (true, _, true) => sums.long_running += cpu,
                (false, true, _) if has_missed => sums.backlog += cpu * time / (wait + time),
                (false, true, _) => sums.running += cpu,
                (false, _, true) => sums.backlog += cpu * time / (wait + time),
                _ => {}
            }
        }
    }

    /// Mean time of a queue's tasks so far, in milliseconds.
    pub(crate) fn task_time(&self, queue: &str) -> Millis {
        self.task_times
            .get(queue)
            .copied()
            .unwrap_or(DEFAULT_TASK_MS)
    }

    /// Expected time of a task of the job, in milliseconds: the greater of the caller's
    /// estimate and the queue's mean.
    pub(crate) fn expected_time(&self, job: &JobEntry) -> Millis {
        let guess = job.spec.steps.iter().map(|step| step.estimate_ms).max();
        guess.unwrap_or(0).max(self.task_time(&job.queue))
    }

    /// Updates a queue's mean with the time of a task that is done.
    pub(crate) fn learn_task_time(&mut self, queue: &str, time: Millis) {
        let mean = self
            .task_times
            .entry(queue.to_owned())
            .or_insert(DEFAULT_TASK_MS);
        *mean = (*mean * (MEAN_DIVISOR - 1) + time) / MEAN_DIVISOR;
    }

    /// Records the work of a job that arrived at `at`.
    pub(crate) fn record_arrival(&mut self, job: &JobEntry, at: Millis, now: Millis) {
        let time = self.task_time(&job.queue);
        let steps = job.spec.steps.iter().filter(|step| !step.long_running);
        let work = steps.map(|step| u64::from(step.count) * step.need.cpu_milli * time);
        let work = work.sum();
        self.arrivals.note(at, work, now);
        if is_payable(&job.spec) {
            let priority = job.policy.priority;
            self.team_arrivals.note(priority, &job.team, at, work, now);
        }
    }

    /// Number of runners in cordoned halls that have long-running tasks.
    fn count_cordoned_long_running(&self) -> u32 {
        let runners = self.runners.values();
        let cordoned = runners.filter(|runner| runner.cordoned && runner.has_long_running());
        u32::try_from(cordoned.count()).unwrap_or(u32::MAX)
    }

    /// VMs of the pool's runners, without those that are about to leave or are in a cordoned
    /// hall.
    pub fn vms(&self) -> Vec<String> {
        let runners = self.runners.values();
        let staying = runners.filter(|runner| runner.has_available_vm());
        staying.map(|runner| runner.facts.vm.clone()).collect()
    }

    /// At most `limit` runners without long-running tasks, the easiest to spare first.
    pub fn spare_runners(&self, now: Millis, limit: usize) -> Vec<RunnerKey> {
        let useless = self.useless_on_runners(now);
        let useless_on = |key: &RunnerKey| useless.get(key).copied().unwrap_or(0);
        let mut spare: Vec<(bool, u64, u64, RunnerKey)> = self
            .runners
            .iter()
            .filter(|(_, runner)| runner.ready && runner.has_available_vm() && !runner.hall_lost)
            .filter(|(_, runner)| runner.first_seen_at + STAY_MIN_MS <= now)
            .filter(|(_, runner)| !runner.has_long_running())
            .map(|(key, runner)| {
                let used = runner.used.cpu_milli;
                let useful = used.saturating_sub(useless_on(&key));
                (runner.evacuation.takes_tasks(), useful, used, key)
            })
            .collect();
        spare.sort();
        let mut keys: Vec<RunnerKey> = spare.into_iter().map(|(_, _, _, key)| key).collect();
        if self.tells_halls_apart() {
            keys = self.level_spare(keys);
        }
        keys.truncate(limit);
        keys
    }
}

impl RunnerEntry {
    /// Whether the runner's VM counts as one of the pool's, and may be given to another pool.
    pub(crate) fn has_available_vm(&self) -> bool {
        !self.is_departing() && !self.cordoned
    }
}
