//! A model of pools and their VMs around the decisions, without a network.
//!
//! Each pool's owner decides as in the product: it places tasks, says what the pool wants,
//! and gives VMs away once they are empty. The model adds what takes time: an order 20
//! ms, a report 40 ms, a stop 400 ms (the platform allows 900), a move 1.5 s and 400 ms
//! until the runner is known, and what an owner may not do: to order about a VM that
//! another one ordered about in the last 3.2 s. The clock is the model's.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use hoisthitch_jobs::{
    DemandHistory,
    EndKind,
    EndedJob,
    EndedTask,
    EvacuationStatus,
    HeartbeatReport,
    JobPhase,
    JobSpec,
    JobSubmission,
    NewJob,
    PoolState,
    QueuePolicy,
    ResourceAmounts,
    RunnerFacts,
    RunnerKey,
    RunnerLoss,
    RunningTask,
    StartOrder,
    StartOutcome,
    VmBalance,
    plan_moves, //
};

/// Time between two looks of the model, in milliseconds.
const TICK_MS: u64 = 20;
/// Time between two reports of a runner on which nothing ended, in milliseconds.
const REPORT_MS: u64 = 200;
/// Time from an order until the task runs, in milliseconds.
const ORDER_MS: u64 = 20;
/// Time that a stop takes, in milliseconds.
const STOP_MS: u64 = 400;
/// Time from the order of a move until the runner can get tasks, in milliseconds.
const MOVE_MS: u64 = 1_900;
/// Time for which no other owner orders about a VM, in milliseconds.
const SETTLE_MS: u64 = 3_200;
/// Time between two looks of an owner at its VMs, in milliseconds.
const BALANCE_MS: u64 = 200;
/// Capacity of a VM, in thousandths of a core.
const VM_CPU: u64 = 16_000;

/// Name of the pool whose VMs are off.
pub const OFF: &str = "off";

/// A job that comes in, with the true time of each of its tasks.
#[derive(Clone, Debug)]
pub struct ModelJob {
    pub at: u64,
    pub pool: String,
    pub id: String,
    pub spec: JobSpec,
    /// Time of its tasks, in milliseconds, by step and number.
    pub times: Vec<Vec<u64>>,
}

struct ModelRun {
    name: String,
    run: u32,
    began: u64,
    left: u64,
    stopping: Option<u64>,
}

struct ModelVm {
    name: String,
    key: RunnerKey,
    runs: Vec<ModelRun>,
    ends: u64,
    reported: u64,
}

#[derive(Default)]
struct ModelPool {
    state: PoolState,
    wants: DemandHistory,
    share: VmBalance,
    vms: Vec<ModelVm>,
    /// VMs of a pool whose VMs are off, and since when they are there.
    idle: Vec<(String, u64)>,
    leaving: Vec<RunnerKey>,
    ended: Vec<EndedJob>,
}

/// VMs on their way.
struct ModelMove {
    vm: String,
    to: String,
    at: u64,
}

/// The model.
pub struct ModelFleet {
    now: u64,
    pools: BTreeMap<String, ModelPool>,
    moves: Vec<ModelMove>,
    instances: u32,
    /// Time of each task that is left, by its name, in milliseconds.
    left: HashMap<String, u64>,
    /// VM-seconds in pools that are not off, in milliseconds.
    pub vm_ms: u64,
    pub moved: usize,
}

impl ModelFleet {
    /// Pools with so many VMs each.
    pub fn new(pools: &[(&str, u32)]) -> Self {
        let mut fleet = Self {
            now: 10_000,
            pools: BTreeMap::new(),
            moves: Vec::new(),
            instances: 0,
            left: HashMap::new(),
            vm_ms: 0,
            moved: 0,
        };
        for (pool, vms) in pools {
            fleet.pools.insert((*pool).to_owned(), ModelPool::default());
            for number in 0..*vms {
                fleet.arrive(pool, format!("{pool}-{number}"), 0);
            }
        }
        fleet
    }

    fn arrive(&mut self, pool: &str, vm: String, since: u64) {
        self.instances += 1;
        let instance = self.instances;
        let Some(entry) = self.pools.get_mut(pool) else {
            return;
        };
        if pool == OFF {
            entry.idle.push((vm, since));
            return;
        }
        let facts = RunnerFacts {
            name: format!("{vm}.{instance}"),
            started_at: None,
            vm: vm.clone(),
            capacity: ResourceAmounts {
                cpu_milli: VM_CPU,
                memory_mb: 32_000,
                gpus: 0,
            },
            rack: String::new(),
            labels: Vec::new(),
            draining: false,
        };
        let key = entry.state.set_runner(facts, since);
        entry.state.mark_runner_ready(key);
        entry.state.extend_lease(key, u64::MAX / 4);
        entry.vms.push(ModelVm {
            name: vm,
            key,
            runs: Vec::new(),
            ends: 0,
            reported: 0,
        });
    }

    /// Plays jobs, given in the order of their times, until `until`; answers with those
    /// that ended.
    pub fn play(&mut self, jobs: &[ModelJob], until: u64) -> Vec<EndedJob> {
        let start = self.now;
        let mut coming = jobs.iter().peekable();
        while self.now < start + until {
            self.now += TICK_MS;
            while let Some(job) = coming.next_if(|job| start + job.at <= self.now) {
                self.submit(job);
            }
            self.land();
            for pool in self.pools.values_mut() {
                pool.report(self.now, &mut self.left);
                pool.decide(self.now, &self.left);
            }
            if (self.now - start).is_multiple_of(BALANCE_MS) {
                self.balance();
            }
            let vms: usize = self.pools.values().map(|pool| pool.vms.len()).sum();
            self.vm_ms += TICK_MS * u64::try_from(vms + self.moves.len()).unwrap_or(0);
        }
        let pools = self.pools.values_mut();
        pools
            .flat_map(|pool| std::mem::take(&mut pool.ended))
            .collect()
    }

    fn submit(&mut self, job: &ModelJob) {
        for (step, times) in job.times.iter().enumerate() {
            for (index, time) in times.iter().enumerate() {
                self.left
                    .insert(format!("{}.0.{step}.{index}", job.id), *time);
            }
        }
        let Some(pool) = self.pools.get_mut(&job.pool) else {
            return;
        };
        let new = NewJob {
            id: job.id.clone(),
            submission: JobSubmission {
                team: String::new(),
                version: 0,
                queue: job.pool.clone(),
                policy: QueuePolicy {
                    priority: 0,
                    max_attempts: 3,
                    stretch: 1.6,
                    target_latency_ms: 600,
                    advised: false,
                },
                accepted_ms: 0,
                spec: job.spec.clone(),
            },
            progress: None,
            accepted_at: self.now,
        };
        pool.state.add_job(new, self.now);
    }

    /// Takes in the VMs that have arrived.
    fn land(&mut self) {
        let now = self.now;
        let (landed, coming) = std::mem::take(&mut self.moves)
            .into_iter()
            .partition(|order| order.at <= now);
        self.moves = coming;
        for order in landed {
            for pool in self.pools.values_mut() {
                pool.share.sent.remove(&order.vm);
            }
            self.arrive(&order.to, order.vm, now);
        }
    }

    fn balance(&mut self) {
        let now = self.now;
        for (name, pool) in &mut self.pools {
            pool.tell(name == OFF, now);
        }
        let shares: BTreeMap<String, VmBalance> = self
            .pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.share.clone()))
            .collect();
        let planned = plan_moves(&shares);
        for (name, pool) in &mut self.pools {
            let own = planned.iter().filter(|order| order.from == *name);
            let targets: Vec<&String> = own
                .flat_map(|order| std::iter::repeat_n(&order.to, order.count))
                .collect();
            let vms = pool.emptied(name == OFF, targets.len(), now);
            for (vm, to) in vms.into_iter().zip(targets) {
                pool.send(&vm, to, now);
                self.moved += 1;
                self.moves.push(ModelMove {
                    vm,
                    to: to.clone(),
                    at: now + MOVE_MS,
                });
            }
        }
    }
}

impl ModelPool {
    fn tell(&mut self, off: bool, now: u64) {
        let forecast = self.wants.forecast(self.state.wanted_vms(now), now);
        self.share.want = if off { 0 } else { forecast.want };
        self.share.keep = if off { 0 } else { forecast.keep };
        self.share.spare = off;
        self.share.vms = if off {
            self.idle.iter().map(|(vm, _)| vm.clone()).collect()
        } else {
            self.state.vms()
        };
    }

    /// VMs that can be sent away; has runners emptied.
    fn emptied(&mut self, off: bool, count: usize, now: u64) -> Vec<String> {
        if off {
            let free = self
                .idle
                .iter()
                .filter(|(_, since)| since + SETTLE_MS <= now);
            return free.map(|(vm, _)| vm.clone()).take(count).collect();
        }
        let spare = self.state.spare_runners(now, count);
        for key in self.leaving.iter().filter(|key| !spare.contains(key)) {
            self.state.set_evacuating(*key, false);
        }
        self.leaving = spare;
        let mut free = Vec::new();
        for key in &self.leaving {
            self.state.set_evacuating(*key, true);
            self.state.evict_resumable(*key, now);
            if self.state.evacuation_status(*key) == EvacuationStatus::Free {
                free.extend(self.state.runner(*key).map(|entry| entry.facts.vm.clone()));
            }
        }
        free
    }

    fn send(&mut self, vm: &str, to: &str, now: u64) {
        self.share.sent.insert(vm.to_owned(), to.to_owned());
        self.idle.retain(|(name, _)| name != vm);
        if let Some(place) = self.vms.iter().position(|entry| entry.name == vm) {
            let entry = self.vms.remove(place);
            self.leaving.retain(|key| *key != entry.key);
            self.state.record_planned_shutdown(entry.key, now);
            self.state
                .remove_runner(entry.key, RunnerLoss::Planned, now);
        }
    }

    /// Has runners report ends, and what runs.
    fn report(&mut self, now: u64, left: &mut HashMap<String, u64>) {
        for vm in &mut self.vms {
            let (ended, running) = std::mem::take(&mut vm.runs)
                .into_iter()
                .partition::<Vec<_>, _>(|run| run.is_over(now));
            vm.runs = running;
            if ended.is_empty() && vm.reported + REPORT_MS > now {
                continue;
            }
            vm.reported = now;
            let mut rows = Vec::new();
            for run in ended {
                vm.ends += 1;
                rows.push(run.end(vm.ends, now, left));
            }
            let report = HeartbeatReport {
                started_at: None,
                clock_ms: now,
                running: vm.runs.iter().map(|run| run.row(now)).collect(),
                ended: rows,
            };
            self.state.record_heartbeat(vm.key, &report, now, now);
        }
        self.ended.extend(self.state.take_ended_jobs());
    }

    fn decide(&mut self, now: u64, left: &HashMap<String, u64>) {
        self.state.begin_due_rounds(now, 0);
        self.state.resend_stops(now);
        self.state.stop_stalled(now);
        self.state.plan(now);
        for stop in self.state.take_stop_orders() {
            let vms = self.vms.iter_mut().find(|vm| vm.key == stop.runner);
            let run = vms.and_then(|vm| {
                let mut runs = vm.runs.iter_mut();
                runs.find(|run| run.name == stop.name.to_string() && run.run == stop.run)
            });
            if let Some(run) = run {
                run.stopping = run.stopping.or(Some(now + STOP_MS));
            }
            self.state.record_stop_ack(&stop, now);
        }
        let plan = self.state.begin_flush(usize::MAX);
        for order in self.state.finish_flush(&plan, now) {
            self.start(&order, now, left);
        }
    }

    fn start(&mut self, order: &StartOrder, now: u64, left: &HashMap<String, u64>) {
        let name = order.name.to_string();
        let Some(vm) = self.vms.iter_mut().find(|vm| vm.key == order.runner) else {
            return;
        };
        vm.runs.push(ModelRun {
            left: left.get(&name).copied().unwrap_or(0),
            name,
            run: order.run,
            began: now + ORDER_MS,
            stopping: None,
        });
        self.state
            .record_start_outcome(order, StartOutcome::Started, now);
    }
}

impl ModelRun {
    fn is_over(&self, now: u64) -> bool {
        self.began.saturating_add(self.left) <= now || self.stopping.is_some_and(|at| at <= now)
    }

    /// The report of its end; what is left of a stopped task is kept, as its checkpoint.
    fn end(&self, number: u64, now: u64, left: &mut HashMap<String, u64>) -> EndedTask {
        let done = self.began.saturating_add(self.left) <= now;
        if !done {
            let ran = now.saturating_sub(self.began);
            left.insert(self.name.clone(), self.left.saturating_sub(ran));
        }
        EndedTask {
            number,
            name: self.name.clone(),
            run: self.run,
            kind: if done {
                EndKind::Done
            } else {
                EndKind::Stopped
            },
            checkpoint: String::new(),
        }
    }

    fn row(&self, now: u64) -> RunningTask {
        let ran = now.saturating_sub(self.began);
        let percent = if self.left > 1_000_000 {
            100
        } else {
            100 * ran / self.left.max(1)
        };
        RunningTask {
            name: self.name.clone(),
            run: self.run,
            checkpoint: String::new(),
            percent: u32::try_from(percent.min(100)).unwrap_or(100),
            load: 0,
        }
    }
}

/// Time of a window in which jobs are counted by themselves, in milliseconds.
const WINDOW_MS: u64 = 2_000;
/// Jobs of a window from which on it counts.
const WINDOW_JOBS: usize = 10;

/// Share of the jobs that were done within their objective, of all and in the two worst
/// windows; lasting ones don't count.
pub fn in_time(ended: &[EndedJob], jobs: &[ModelJob]) -> (f64, f64) {
    let took: HashMap<&str, u64> = ended
        .iter()
        .filter(|job| job.phase == JobPhase::Completed)
        .map(|job| (job.id.as_str(), job.took))
        .collect();
    let mut windows: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for job in jobs.iter().filter(|job| !job.spec.is_long_running()) {
        let chain: u64 = job.times.iter().filter_map(|step| step.iter().max()).sum();
        let objective = 600 + chain * 16 / 10;
        let good = took
            .get(job.id.as_str())
            .is_some_and(|took| *took <= objective);
        let (done, all) = windows.entry(job.at / WINDOW_MS).or_default();
        *done += usize::from(good);
        *all += 1;
    }
    let sum = |part: fn(&(usize, usize)) -> usize| windows.values().map(part).sum();
    let share = ratio(sum(|window| window.0), sum(|window| window.1));
    let counted = windows.values().filter(|(_, all)| *all >= WINDOW_JOBS);
    let mut shares: Vec<f64> = counted.map(|(done, all)| ratio(*done, *all)).collect();
    shares.sort_by(f64::total_cmp);
    (share, shares.iter().take(2).sum::<f64>() / 2.0)
}

#[expect(clippy::cast_precision_loss, reason = "some thousands of jobs")]
fn ratio(part: usize, all: usize) -> f64 {
    part as f64 / all.max(1) as f64
}
