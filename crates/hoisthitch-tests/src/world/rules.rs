//! Specifications of the submitted jobs, and the checkers of starts that violate them: time,
//! order of steps, label, tasks per runner, gangs.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration, //
};

use hoisthitch_jobs::{
    JobSpec,
    StartOrder,
    StepSpec,
    TaskName, //
};
use tokio::time::Instant;

use super::{
    MemoryFleet,
    adviser::AdviserState,
    instance::{
        GangPart,
        Run,
        Runner, //
    },
    runners::FleetState,
    sharing::PaceFate, //
};

/// Time of day at which a simulated fleet starts, in milliseconds since 1970; an arbitrary value.
const FIRST_DAY_MS: u64 = 1_800_000_000_000;

/// Time by which a task may start before its scheduled time, in milliseconds.
const EARLY_MS: u64 = 250;

/// Time after a cancel after which no task of the job may start.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// Time after a fault in which rules with a time bound aren't checked.
pub(super) const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A start that a runner carried out.
#[derive(Clone, Debug)]
pub struct StartRecord {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// Instance of the runner.
    pub runner: String,
    /// Time of day, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Specifications of the submitted jobs, and the state of the checkers.
pub(super) struct RuleBook {
    first: Instant,
    jobs: HashMap<String, JobSpec>,
    /// Jobs of queues with an adviser.
    advised: HashSet<String>,
    cancelled: HashMap<String, Instant>,
    disturbed: Option<Instant>,
    /// Nodes whose calls about VMs get no response.
    unanswered: HashSet<String>,
    starts: Vec<StartRecord>,
    /// Whether the order that is being carried out was delayed.
    late: bool,
    pub(super) adviser: AdviserState,
    pub(super) pace_fates: Vec<PaceFate>,
    pub(super) longest_harm: Duration,
    /// Runs that ended because other members of their gang did not start.
    pub(super) alone: Vec<(String, u32)>,
    /// Runs that ended because another member of their gang ended.
    pub(super) broken_runs: Vec<(String, u32)>,
}

impl Default for RuleBook {
    fn default() -> Self {
        Self {
            first: Instant::now(),
            jobs: HashMap::new(),
            advised: HashSet::new(),
            cancelled: HashMap::new(),
            disturbed: None,
            unanswered: HashSet::new(),
            starts: Vec::new(),
            late: false,
            adviser: AdviserState::default(),
            pace_fates: Vec::new(),
            longest_harm: Duration::ZERO,
            alone: Vec::new(),
            broken_runs: Vec::new(),
        }
    }
}

impl RuleBook {
    pub(super) fn unix_ms(&self) -> u64 {
        FIRST_DAY_MS + self.first.elapsed().as_millis() as u64
    }

    pub(super) fn record_cancel(&mut self, job: &str) {
        let now = Instant::now();
        self.cancelled.entry(job.to_owned()).or_insert(now);
    }

    /// Sets whether the order that is being carried out was delayed; bounds on time aren't
    /// checked for it then.
    pub(super) fn set_late(&mut self, late: bool) {
        self.late = late;
    }

    pub(super) fn is_unanswered(&self, node: &str) -> bool {
        self.unanswered.contains(node)
    }

    /// Whether the last fault was more than [`CONTACT_TIME`] before `since`.
    pub(super) fn is_calm(&self, since: Instant) -> bool {
        let disturbed = self.disturbed;
        disturbed.is_none_or(|disturbed| disturbed + CONTACT_TIME < since)
    }

    /// The time from which rules with a time bound are checked; `since` at the earliest.
    pub(super) fn calm_since(&self, since: Instant) -> Instant {
        let calm = self.disturbed.map(|disturbed| disturbed + CONTACT_TIME);
        calm.map_or(since, |calm| calm.max(since))
    }

    fn step(&self, order: &StartOrder) -> Option<&StepSpec> {
        self.step_named(&order.name)
    }

    pub(super) fn step_named(&self, name: &TaskName) -> Option<&StepSpec> {
        self.jobs.get(&name.job)?.steps.get(name.step as usize)
    }

    pub(super) fn is_late(&self) -> bool {
        self.late
    }

    /// Whether the order carries a valid ticket for that runner, or needs none.
    pub(super) fn has_ticket(&mut self, runner: &str, order: &StartOrder, now: Instant) -> bool {
        let advised = self.advised.contains(&order.name.job);
        !advised || self.adviser.check_ticket(runner, order, now)
    }

    /// Sets what the run takes from its step: target latency, best effort, gang.
    pub(super) fn apply_step(&self, mut run: Run, order: &StartOrder) -> Run {
        let Some(step) = self.step(order) else {
            return run;
        };
        run.target_ms = step.target_ms;
        run.best_effort = step.best_effort;
        run.gang = step.gang.then(|| GangPart {
            step: step_name(order),
            size: step.count as usize,
            complete_since: None,
        });
        run
    }

    /// Returns a violation if the task starts too early, or too late after a cancel.
    fn check_time(&self, order: &StartOrder, now: Instant) -> Option<String> {
        let name = &order.name;
        if let Some(cancelled) = self.cancelled.get(&name.job)
            && *cancelled + CANCEL_TIME < now
            && !self.late
        {
            return Some(format!("{name} began after its job was cancelled"));
        }
        let times = self.jobs.get(&name.job)?.schedule?;
        let due = times.first_ms + u64::from(name.round) * times.interval_ms;
        let today = self.unix_ms();
        (today + EARLY_MS < due).then(|| format!("{name} began {} ms before its time", due - today))
    }
}

impl FleetState {
    /// Records a start that was just carried out, and checks it against its job's specification.
    pub(super) fn check_start(&mut self, runner: &str, order: &StartOrder, now: Instant) {
        let note = StartRecord {
            task: order.name.to_string(),
            run: order.run,
            runner: runner.to_owned(),
            at_ms: self.rules.unix_ms(),
        };
        self.rules.starts.push(note);
        let violations = [
            self.rules.check_time(order, now),
            self.check_order(order),
            self.check_placement(runner, order),
            self.check_gang(order),
        ];
        self.violations.extend(violations.into_iter().flatten());
    }

    /// Returns a violation if a task that this one depends on is not done.
    fn check_order(&self, order: &StartOrder) -> Option<String> {
        let name = &order.name;
        let job = self.rules.jobs.get(&name.job)?;
        let after = self.rules.step(order)?.after.iter();
        let mut before = after.flat_map(|step| {
            let count = job.steps.get(*step as usize).map_or(0, |step| step.count);
            (0..count).map(move |index| format!("{}.{}.{step}.{index}", name.job, name.round))
        });
        let open = before.find(|task| !self.done.contains(task))?;
        Some(format!("{name} began before {open} was done"))
    }

    /// Returns a violation if the runner has another label, or too many tasks of the step.
    fn check_placement(&self, runner: &str, order: &StartOrder) -> Option<String> {
        let name = &order.name;
        let step = self.rules.step(order)?;
        let instance = self.runners.get(runner)?;
        if let Some(label) = step
            .label
            .as_ref()
            .filter(|label| **label != instance.label)
        {
            return Some(format!("{name} began on a runner that is not {label}"));
        }
        let alike = format!("{}.", step_name(order));
        let alike = instance
            .running
            .keys()
            .filter(|task| task.starts_with(&alike));
        let count = alike.count();
        (step.max_per_runner > 0 && count > step.max_per_runner as usize)
            .then(|| format!("{name} began as number {count} of its step on {runner}"))
    }

    /// Returns a violation if other members of the gang are in another run, or done.
    fn check_gang(&self, order: &StartOrder) -> Option<String> {
        let name = &order.name;
        self.rules.step(order).filter(|step| step.gang)?;
        let alike = format!("{}.", step_name(order));
        if self.acked_done.iter().any(|task| task.starts_with(&alike)) {
            return Some(format!("{name} began after its gang was done"));
        }
        let living = self.runners.values().filter(|runner| runner.alive);
        let mut runs = living.flat_map(|runner| &runner.running);
        let (other, run) =
            runs.find(|(task, run)| task.starts_with(&alike) && run.run != order.run)?;
        let (mine, theirs) = (order.run, run.run);
        Some(format!(
            "{name} began run {mine} beside {other} of run {theirs}"
        ))
    }
}

impl MemoryFleet {
    /// The time of day, in milliseconds since 1970.
    pub fn unix_ms(&self) -> u64 {
        self.state.borrow().rules.unix_ms()
    }

    /// Records the specification of a job, and whether its queue has an adviser.
    pub fn record_job(&self, id: &str, spec: &JobSpec, advised: bool) {
        let mut state = self.state.borrow_mut();
        state.rules.jobs.insert(id.to_owned(), spec.clone());
        if advised {
            state.rules.advised.insert(id.to_owned());
        }
    }

    /// Records that a fault affects nodes or runners now.
    pub fn disturb(&self) {
        self.state.borrow_mut().rules.disturbed = Some(Instant::now());
    }

    /// Starts a runner instance with a label on a VM; returns its name.
    pub fn begin_with_label(&self, vm: &str, label: &str) -> String {
        let name = self.begin(vm);
        if let Some(runner) = self.state.borrow_mut().runners.get_mut(&name) {
            label.clone_into(&mut runner.label);
        }
        name
    }

    /// Sets whether a runner refuses each start.
    pub fn set_refusing_all(&self, name: &str, sick: bool) {
        if let Some(runner) = self.state.borrow_mut().runners.get_mut(name) {
            runner.refuses_starts = sick;
        }
    }

    /// Sets how long a stop takes on all runners.
    pub fn set_stop_time(&self, time: Duration) {
        for runner in self.state.borrow_mut().runners.values_mut() {
            runner.stop_time = time;
        }
    }

    /// Drops the responses to calls of these nodes to runners and about VMs; the calls are
    /// carried out.
    pub fn drop_responses(&self, nodes: &[String]) {
        let nodes: HashSet<String> = nodes.iter().cloned().collect();
        let mut state = self.state.borrow_mut();
        for runner in state.runners.values_mut() {
            runner.unanswered.clone_from(&nodes);
        }
        state.rules.unanswered = nodes;
    }

    /// Starts that were carried out so far, in order.
    pub fn start_records(&self) -> Vec<StartRecord> {
        self.state.borrow().rules.starts.clone()
    }

    /// Whether a task has ended as done.
    pub fn is_done(&self, task: &str) -> bool {
        self.settle();
        self.state.borrow().done.contains(task)
    }

    /// Live runners that run a task of a job.
    pub fn runners_of(&self, job: &str) -> Vec<String> {
        let runs = |runner: &&Runner| {
            let mut tasks = runner.running.keys();
            runner.alive && tasks.any(|task| task.split('.').next() == Some(job))
        };
        self.settle();
        let state = self.state.borrow();
        let runners = state.runners.iter().filter(|(_, runner)| runs(runner));
        runners.map(|(name, _)| name.clone()).collect()
    }
}

/// Name of the step of an order's task.
pub(super) fn step_name(order: &StartOrder) -> String {
    let name = &order.name;
    format!("{}.{}.{}", name.job, name.round, name.step)
}
