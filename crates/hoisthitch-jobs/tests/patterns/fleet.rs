//! Simulates pools and their VMs around the decisions, without a network.
//!
//! It is given jobs with their arrival times and the true times of their tasks, and returns the
//! jobs that ended. Each pool's owner decides as in the product: it places tasks, publishes how
//! many VMs the pool wants, and gives VMs away once they are empty. The simulation adds the
//! delays: 20 ms for an order, 40 ms for a report, 400 ms for a stop (the platform allows 900),
//! 1.5 s for a move and 400 ms until the runner is known. It also keeps an owner from ordering
//! an operation on a VM that another owner ordered one on in the last 3.2 s. Time is simulated.

use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};

use hoisthitch_jobs::{
    DemandHistory,
    EndKind,
    EndedJob,
    EndedTask,
    EvacuationStage,
    EvacuationStatus,
    HeartbeatReport,
    IntakeDecision,
    IntakeReport,
    IntakeRequest,
    JobPhase,
    JobSpec,
    JobSubmission,
    NewJob,
    PoolState,
    PoolTerms,
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

/// Time between two passes of the simulation, in milliseconds.
const TICK_MS: u64 = 20;
/// Time between two reports of a runner on which nothing ended, in milliseconds.
const REPORT_MS: u64 = 200;
/// Time from an order until the task runs, in milliseconds.
const ORDER_MS: u64 = 20;
/// Time from an order to stop a task until it has stopped, in milliseconds.
const STOP_MS: u64 = 400;
/// Time from the order of a move until the runner can get tasks, in milliseconds.
const MOVE_MS: u64 = 1_900;
/// Time after a move for which no other owner may move the VM, in milliseconds.
const SETTLE_MS: u64 = 3_200;
/// Time between two passes in which owners plan moves of VMs, in milliseconds.
const BALANCE_MS: u64 = 200;
/// Capacity of a VM, in thousandths of a core.
const VM_CPU_MILLI: u64 = 16_000;

/// Time between two reports to the nodes that accept jobs, in milliseconds.
const INTAKE_MS: u64 = 500;
/// Time for which callers go on calling, in milliseconds.
const CALLER_MS: u64 = 3_000;
/// How often a refused caller returns at most.
const RETURNS_MAX: u32 = 4;
/// Policy of all queues.
const POLICY: QueuePolicy = QueuePolicy {
    priority: 0,
    max_attempts: 3,
    stretch: 1.6,
    target_latency_ms: 600,
    advised: false,
};

/// Name of the pool of VMs that are turned off.
pub const OFF: &str = "off";

/// A job that arrives, with the true time of each of its tasks.
#[derive(Clone, Debug)]
pub struct ModelJob {
    /// Time of its arrival after the begin of the simulation, in milliseconds.
    pub at: u64,
    pub pool: String,
    /// Its team; empty for none.
    pub team: String,
    pub id: String,
    pub spec: JobSpec,
    /// Time of its tasks, in milliseconds, by step and index.
    pub times: Vec<Vec<u64>>,
}

/// A run of a task on a VM.
struct ModelRun {
    name: String,
    run: u32,
    began_at: u64,
    /// Time that the task still needs at the begin of the run, in milliseconds.
    remaining_ms: u64,
    /// When a stop takes effect; none where none was ordered.
    stops_at: Option<u64>,
}

/// A VM and its runner.
struct ModelVm {
    name: String,
    key: RunnerKey,
    runs: Vec<ModelRun>,
    /// Number of the last end that was reported.
    last_end: u64,
    reported_at: u64,
}

/// A pool, its owner's state and its VMs.
#[derive(Default)]
struct ModelPool {
    state: PoolState,
    demand: DemandHistory,
    balance: VmBalance,
    vms: Vec<ModelVm>,
    /// VMs of the pool of turned-off VMs, and since when they are there.
    turned_off: Vec<(String, u64)>,
    /// Runners that are evacuated to give their VMs away.
    evacuating: Vec<RunnerKey>,
    ended: Vec<EndedJob>,
}

/// A VM on its way to another pool.
struct ModelMove {
    vm: String,
    to: String,
    arrives_at: u64,
}

/// A call of a job's caller, which returns after it was refused.
struct ModelCall<'a> {
    job: &'a ModelJob,
    first_at: u64,
    at: u64,
    /// Number of calls so far.
    calls: u32,
}

/// Admission of new jobs: what the pools' owners publish, and what came of each job.
#[derive(Default)]
pub struct ModelIntake {
    /// Whether jobs may be refused.
    pub refuses: bool,
    /// The last report of each pool, and its time.
    reports: BTreeMap<String, (IntakeReport, u64)>,
    /// Time from the first call of an accepted job to the one that was accepted, in milliseconds.
    pub accepted: HashMap<String, u64>,
    /// Jobs that were refused at last.
    pub refused: HashSet<String>,
    /// Number of refusals.
    pub refusals: usize,
}

impl ModelIntake {
    /// The answer to a call: none if the job is accepted, else when to return.
    fn refusal(&self, call: &ModelCall<'_>, now: u64) -> Option<u64> {
        let (report, made_at) = self.reports.get(&call.job.pool)?;
        let request = IntakeRequest {
            id: &call.job.id,
            queue: &call.job.pool,
            policy: &POLICY,
            team: &call.job.team,
            spec: &call.job.spec,
            remaining_ms: (call.first_at + CALLER_MS).saturating_sub(now),
        };
        match report.decide(&request, now - made_at) {
            IntakeDecision::Admit { .. } => None,
            IntakeDecision::Refuse(refusal) => Some(refusal.retry_after_ms),
        }
    }
}

/// The simulated fleet.
pub struct ModelFleet {
    now: u64,
    pools: BTreeMap<String, ModelPool>,
    moves: Vec<ModelMove>,
    /// Number of runners so far; it is a part of the name of each.
    instances: u32,
    /// Time that each task still needs, by its name, in milliseconds.
    remaining_ms: HashMap<String, u64>,
    /// Time of all VMs that were turned on or on their way, in VM-milliseconds.
    pub vm_ms: u64,
    /// Number of VMs that were moved.
    pub moved: usize,
    pub intake: ModelIntake,
    /// Limits that are set at a time after the begin: time, pool, team and thousandths of a
    /// core.
    pub limits: Vec<(u64, String, String, u64)>,
}

impl ModelFleet {
    /// Pools with so many VMs each.
    pub fn new(pools: &[(&str, u32)]) -> Self {
        let mut fleet = Self {
            now: 10_000,
            pools: BTreeMap::new(),
            moves: Vec::new(),
            instances: 0,
            remaining_ms: HashMap::new(),
            vm_ms: 0,
            moved: 0,
            intake: ModelIntake::default(),
            limits: Vec::new(),
        };
        for (pool, vms) in pools {
            fleet.pools.insert((*pool).to_owned(), ModelPool::default());
            for number in 0..*vms {
                fleet.arrive(pool, format!("{pool}-{number}"), 0);
            }
        }
        fleet
    }

    /// Adds a VM to a pool, with a ready runner unless the VM is turned off.
    fn arrive(&mut self, pool: &str, vm: String, since: u64) {
        self.instances += 1;
        let instance = self.instances;
        let Some(entry) = self.pools.get_mut(pool) else {
            return;
        };
        if pool == OFF {
            entry.turned_off.push((vm, since));
            return;
        }
        let facts = RunnerFacts {
            name: format!("{vm}.{instance}"),
            started_at: None,
            vm: vm.clone(),
            capacity: ResourceAmounts {
                cpu_milli: VM_CPU_MILLI,
                memory_mb: 32_000,
                gpus: 0,
            },
            rack: String::new(),
            hall: String::new(),
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
            last_end: 0,
            reported_at: 0,
        });
    }

    /// Lets useless work yield and refuses jobs under pressure.
    pub fn set_pressure_terms(&mut self) {
        self.intake.refuses = true;
        for pool in self.pools.values_mut() {
            pool.state.set_terms(PoolTerms {
                useless_work_yields: true,
                ..PoolTerms::default()
            });
        }
    }

    /// Sets the weights of teams in all pools.
    pub fn set_weights(&mut self, weights: &HashMap<String, f64>) {
        for pool in self.pools.values_mut() {
            pool.state.set_weights(weights.clone());
        }
    }

    /// Publishes what the admission of jobs needs.
    fn report_intake(&mut self) {
        for (name, pool) in &self.pools {
            let coming = self.moves.iter().filter(|order| order.to == *name).count();
            let coming = u32::try_from(coming).unwrap_or(0);
            let report = pool.state.intake_report(coming, self.now);
            self.intake.reports.insert(name.clone(), (report, self.now));
        }
    }

    fn set_limits(&mut self, start: u64) {
        let now = self.now;
        for (at, pool, team, cpu_milli) in &self.limits {
            if start + at != now {
                continue;
            }
            if let Some(pool) = self.pools.get_mut(pool) {
                let allowed = ResourceAmounts {
                    cpu_milli: *cpu_milli,
                    memory_mb: u64::MAX,
                    gpus: u64::MAX,
                };
                pool.state.set_quota_allocation(team, allowed);
            }
        }
    }

    /// Accepts the job of a call, or returns the call that follows.
    fn answer<'a>(&mut self, call: ModelCall<'a>) -> Option<ModelCall<'a>> {
        let refusal = self.intake.refusal(&call, self.now);
        let Some(wait) = refusal.filter(|_| self.intake.refuses) else {
            let waited = self.now - call.first_at;
            self.intake.accepted.insert(call.job.id.clone(), waited);
            self.submit(call.job);
            return None;
        };
        self.intake.refusals += 1;
        let at = self.now + wait;
        if call.calls > RETURNS_MAX || at >= call.first_at + CALLER_MS {
            self.intake.refused.insert(call.job.id.clone());
            return None;
        }
        let calls = call.calls + 1;
        Some(ModelCall { at, calls, ..call })
    }

    /// Simulates jobs, given in the order of their arrival, for `duration_ms`; returns those
    /// that ended.
    pub fn run(&mut self, jobs: &[ModelJob], duration_ms: u64) -> Vec<EndedJob> {
        let start = self.now;
        let mut coming = jobs.iter().peekable();
        let mut calls: Vec<ModelCall<'_>> = Vec::new();
        while self.now < start + duration_ms {
            self.now += TICK_MS;
            self.set_limits(start);
            if (self.now - start).is_multiple_of(INTAKE_MS) {
                self.report_intake();
            }
            while let Some(job) = coming.next_if(|job| start + job.at <= self.now) {
                calls.push(ModelCall {
                    job,
                    first_at: self.now,
                    at: self.now,
                    calls: 1,
                });
            }
            let now = self.now;
            let (due, later) = calls.into_iter().partition(|call| call.at <= now);
            calls = later;
            let due: Vec<ModelCall<'_>> = due;
            calls.extend(due.into_iter().filter_map(|call| self.answer(call)));
            self.finish_moves();
            for pool in self.pools.values_mut() {
                pool.report(self.now, &mut self.remaining_ms);
                pool.decide(self.now, &self.remaining_ms);
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
                self.remaining_ms
                    .insert(format!("{}.0.{step}.{index}", job.id), *time);
            }
        }
        let Some(pool) = self.pools.get_mut(&job.pool) else {
            return;
        };
        let new = NewJob {
            id: job.id.clone(),
            submission: JobSubmission {
                team: job.team.clone(),
                version: 0,
                queue: job.pool.clone(),
                policy: POLICY,
                accepted_ms: 0,
                expected_wait_ms: None,
                spec: job.spec.clone(),
            },
            progress: None,
            accepted_at: self.now,
        };
        pool.state.add_job(new, self.now);
    }

    /// Adds the VMs that have arrived to their new pools.
    fn finish_moves(&mut self) {
        let now = self.now;
        let (arrived, coming) = std::mem::take(&mut self.moves)
            .into_iter()
            .partition(|order| order.arrives_at <= now);
        self.moves = coming;
        for order in arrived {
            for pool in self.pools.values_mut() {
                pool.balance.sent.remove(&order.vm);
            }
            self.arrive(&order.to, order.vm, now);
        }
    }

    /// Publishes the balance of each pool, plans moves from all of them, and begins the moves
    /// of VMs that are empty.
    fn balance(&mut self) {
        let now = self.now;
        for (name, pool) in &mut self.pools {
            pool.update_balance(name == OFF, now);
        }
        let balances: BTreeMap<String, VmBalance> = self
            .pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.balance.clone()))
            .collect();
        let planned = plan_moves(&balances);
        for (name, pool) in &mut self.pools {
            let own = planned.iter().filter(|order| order.from == *name);
            let targets: Vec<&String> = own
                .flat_map(|order| std::iter::repeat_n(&order.to, order.count))
                .collect();
            let vms = pool.evacuate(name == OFF, targets.len(), now);
            for (vm, to) in vms.into_iter().zip(targets) {
                pool.send(&vm, to, now);
                self.moved += 1;
                self.moves.push(ModelMove {
                    vm,
                    to: to.clone(),
                    arrives_at: now + MOVE_MS,
                });
            }
        }
    }
}

impl ModelPool {
    /// Updates what the pool publishes of the VMs that it has, wants and keeps.
    fn update_balance(&mut self, off: bool, now: u64) {
        let forecast = self.demand.forecast(self.state.wanted_vms(now), now);
        self.balance.want = if off { 0 } else { forecast.want };
        self.balance.keep = if off { 0 } else { forecast.keep };
        self.balance.spare = off;
        self.balance.vms = if off {
            self.turned_off.iter().map(|(vm, _)| vm.clone()).collect()
        } else {
            self.state.vms()
        };
    }

    /// Evacuates as many runners as VMs are to be given, and no others; returns the VMs that
    /// can be sent away now. VMs that are turned off can be sent once they have been in the
    /// pool for [`SETTLE_MS`].
    fn evacuate(&mut self, off: bool, count: usize, now: u64) -> Vec<String> {
        if off {
            let free = self
                .turned_off
                .iter()
                .filter(|(_, since)| since + SETTLE_MS <= now);
            return free.map(|(vm, _)| vm.clone()).take(count).collect();
        }
        let spare = self.state.spare_runners(now, count);
        for key in self.evacuating.iter().filter(|key| !spare.contains(key)) {
            self.state.cancel_evacuation(*key);
        }
        self.evacuating = spare;
        let mut free = Vec::new();
        for key in &self.evacuating {
            self.state
                .begin_evacuation(*key, EvacuationStage::Emptying, now);
            self.state.evict_resumable(*key, now);
            if self.state.evacuation_status(*key) == EvacuationStatus::Free {
                free.extend(self.state.runner(*key).map(|entry| entry.facts.vm.clone()));
            }
        }
        free
    }

    /// Removes a VM that is sent to another pool.
    fn send(&mut self, vm: &str, to: &str, now: u64) {
        self.balance.sent.insert(vm.to_owned(), to.to_owned());
        self.turned_off.retain(|(name, _)| name != vm);
        if let Some(place) = self.vms.iter().position(|entry| entry.name == vm) {
            let entry = self.vms.remove(place);
            self.evacuating.retain(|key| *key != entry.key);
            self.state.record_planned_shutdown(entry.key, now);
            self.state
                .remove_runner(entry.key, RunnerLoss::Planned, now);
        }
    }

    /// Each runner reports its ends at once, and else what runs at intervals.
    fn report(&mut self, now: u64, remaining_ms: &mut HashMap<String, u64>) {
        for vm in &mut self.vms {
            let (ended, running) = std::mem::take(&mut vm.runs)
                .into_iter()
                .partition::<Vec<_>, _>(|run| run.is_over(now));
            vm.runs = running;
            if ended.is_empty() && vm.reported_at + REPORT_MS > now {
                continue;
            }
            vm.reported_at = now;
            let mut rows = Vec::new();
            for run in ended {
                vm.last_end += 1;
                rows.push(run.end(vm.last_end, now, remaining_ms));
            }
            let report = HeartbeatReport {
                started_at: None,
                clock_ms: now,
                running: vm.runs.iter().map(|run| run.row(now)).collect(),
                ended: rows,
                more_ends: false,
            };
            self.state.record_heartbeat(vm.key, &report, now, now);
        }
        self.ended.extend(self.state.take_ended_jobs());
    }

    /// A pass of the owner: plans, and carries out its orders to stop and to start tasks.
    fn decide(&mut self, now: u64, remaining_ms: &HashMap<String, u64>) {
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
                run.stops_at = run.stops_at.or(Some(now + STOP_MS));
            }
            self.state.record_stop_ack(&stop, now);
        }
        let plan = self.state.begin_flush(usize::MAX);
        for order in self.state.finish_flush(&plan, now) {
            self.start(&order, now, remaining_ms);
        }
    }

    /// Starts a task on its runner, which always succeeds.
    fn start(&mut self, order: &StartOrder, now: u64, remaining_ms: &HashMap<String, u64>) {
        let name = order.name.to_string();
        let Some(vm) = self.vms.iter_mut().find(|vm| vm.key == order.runner) else {
            return;
        };
        vm.runs.push(ModelRun {
            remaining_ms: remaining_ms.get(&name).copied().unwrap_or(0),
            name,
            run: order.run,
            began_at: now + ORDER_MS,
            stops_at: None,
        });
        self.state
            .record_start_outcome(order, StartOutcome::Started, now);
    }
}

impl ModelRun {
    fn is_over(&self, now: u64) -> bool {
        self.began_at.saturating_add(self.remaining_ms) <= now
            || self.stops_at.is_some_and(|at| at <= now)
    }

    /// The report of the run's end. The time that a stopped task still needs is saved, as by a
    /// checkpoint.
    fn end(&self, number: u64, now: u64, remaining_ms: &mut HashMap<String, u64>) -> EndedTask {
        let done = self.began_at.saturating_add(self.remaining_ms) <= now;
        if !done {
            let ran = now.saturating_sub(self.began_at);
            remaining_ms.insert(self.name.clone(), self.remaining_ms.saturating_sub(ran));
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

    /// The report of the run while it goes on; a long-running task is always available.
    fn row(&self, now: u64) -> RunningTask {
        let ran = now.saturating_sub(self.began_at);
        let percent = if self.remaining_ms > 1_000_000 {
            100
        } else {
            100 * ran / self.remaining_ms.max(1)
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

/// Length of the windows of arrival in which jobs are counted, in milliseconds.
const WINDOW_MS: u64 = 2_000;
/// Least number of jobs of a window that counts among the worst.
const MIN_WINDOW_JOBS: usize = 10;

/// Share of the jobs that were done within their objective, of all jobs and as the mean of the
/// two worst windows; long-running jobs don't count.
pub fn in_time(ended: &[EndedJob], jobs: &[ModelJob]) -> (f64, f64) {
    let took: HashMap<&str, u64> = ended
        .iter()
        .filter(|job| job.phase == JobPhase::Completed)
        .map(|job| (job.id.as_str(), job.took))
        .collect();
    let mut windows: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for job in jobs.iter().filter(|job| !job.spec.is_long_running()) {
        let critical_path: u64 = job.times.iter().filter_map(|step| step.iter().max()).sum();
        let objective = 600 + critical_path * 16 / 10;
        let good = took
            .get(job.id.as_str())
            .is_some_and(|took| *took <= objective);
        let (done, all) = windows.entry(job.at / WINDOW_MS).or_default();
        *done += usize::from(good);
        *all += 1;
    }
    let sum = |part: fn(&(usize, usize)) -> usize| windows.values().map(part).sum();
    let share = ratio(sum(|window| window.0), sum(|window| window.1));
    let counted = windows.values().filter(|(_, all)| *all >= MIN_WINDOW_JOBS);
    let mut shares: Vec<f64> = counted.map(|(done, all)| ratio(*done, *all)).collect();
    shares.sort_by(f64::total_cmp);
    (share, shares.iter().take(2).sum::<f64>() / 2.0)
}

#[expect(clippy::cast_precision_loss, reason = "some thousands of jobs")]
fn ratio(part: usize, all: usize) -> f64 {
    part as f64 / all.max(1) as f64
}
