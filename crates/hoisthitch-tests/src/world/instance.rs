//! One instance of a simulated runner: the tasks that it runs, its lease, and the ends that it
//! reports.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    time::Duration, //
};

use hoisthitch_jobs::{
    EndKind,
    EndedTask,
    HeartbeatReport,
    RunningTask,
    StartOrder, //
};
use tokio::time::Instant;

use super::{
    capacity::TimedCapacity,
    sharing::TailModel, //
};

/// Time after its start until a long-running task is available.
pub(super) const STARTUP_TIME: Duration = Duration::from_millis(300);

/// Longest lease that a runner accepts.
const LEASE_LIMIT: Duration = Duration::from_secs(10);

/// Most ends that a runner lists in a response, unless a test sets another number.
const ENDS_AT_ONCE: usize = 500;

/// Value of a runner's clock at the start of the instance, in milliseconds.
const CLOCK_START_MS: u64 = 480_000;

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) run: u32,
    pub(super) began: Instant,
    pub(super) work: Duration,
    pub(super) fails: bool,
    pub(super) long_running: bool,
    /// When a stop that was ordered is complete.
    pub(super) stops_at: Option<Instant>,
    /// Its gang, if it belongs to one.
    pub(super) gang: Option<GangPart>,
    /// Target latency of a serving task, in milliseconds; zero for others.
    pub(super) target_ms: u64,
    /// Whether it is a best-effort task.
    pub(super) best_effort: bool,
    /// Throttle: the share of its full speed at which it works, in percent.
    pub(super) pace: u32,
    /// Whether it was ordered from an earlier instance, and this one could not reject the start.
    pub(super) unguarded: bool,
}

/// The gang of a run.
#[derive(Clone, Debug)]
pub(super) struct GangPart {
    /// Name of the step: job, round, step.
    pub(super) step: String,
    /// Number of members.
    pub(super) size: usize,
    /// Since when all members are present.
    pub(super) complete_since: Option<Instant>,
}

pub(super) struct Runner {
    pub(super) vm: String,
    /// Start time of the process, in milliseconds since 1970; none if runners don't report it.
    pub(super) started_at: Option<u64>,
    pub(super) alive: bool,
    pub(super) began: Instant,
    pub(super) fence: u64,
    pub(super) lease: Instant,
    pub(super) running: BTreeMap<String, Run>,
    pub(super) ended: Vec<EndedTask>,
    /// When the work of the runs that ended done was over, by the number of their ends; without
    /// unguarded runs.
    pub(super) done_at: BTreeMap<u64, Instant>,
    pub(super) last_end: u64,
    pub(super) acked_end: u64,
    /// Last end before the lease expired. The platform counts such ends as acknowledged only if
    /// the acknowledgement came before the expiry.
    pub(super) expired_end: u64,
    /// Highest run that was stopped or has ended, by task.
    pub(super) finished_runs: HashMap<String, u32>,
    /// Nodes that are cut off from the runner in both directions.
    pub(super) cut: HashSet<String>,
    /// Whether those nodes' calls are reset and refused at once, as by a firewall; otherwise they
    /// get no response.
    pub(super) cut_resets: bool,
    /// When a cut was last made or healed.
    pub(super) cut_changed_at: Instant,
    /// Since when it is listed as draining.
    pub(super) draining_since: Option<Instant>,
    /// Nodes whose calls arrive but get no response.
    pub(super) unanswered: HashSet<String>,
    /// Whether its process has ended and its VM still runs: calls are refused at once.
    pub(super) process_ended: bool,
    /// Its capacities so far, the current one last.
    pub(super) capacities: Vec<TimedCapacity>,
    /// Whether it refuses each start.
    pub(super) refuses_starts: bool,
    /// Whether each run that starts on it fails.
    pub(super) fails_runs: bool,
    /// Most ends that it lists in a response.
    pub(super) ends_at_once: usize,
    /// Time that stopping a task takes.
    pub(super) stop_time: Duration,
    /// Label that steps may require.
    pub(super) label: String,
    /// Latency of serving tasks, as best-effort tasks on the runner affect it.
    pub(super) sharing: TailModel,
}

impl Run {
    /// The run that an order starts. The order's payload sets how it goes: a number is its work
    /// in milliseconds, `fail` makes it fail, `lasts` makes it long-running (with
    /// `fail`, until its work is over), and with `uneven` the work grows with the task's index.
    pub(super) fn begin(order: &StartOrder, now: Instant) -> Self {
        Self {
            run: order.run,
            began: now,
            work: Duration::from_millis(work_ms(&order.payload)) * work_share(order),
            fails: order.payload.contains("fail"),
            long_running: order.payload.contains("lasts"),
            stops_at: None,
            gang: None,
            target_ms: 0,
            best_effort: false,
            pace: 100,
            unguarded: false,
        }
    }

    /// When it started its work; a member of a gang first waits for the others.
    pub(super) fn work_since(&self) -> Option<Instant> {
        let part = self.gang.as_ref();
        part.map_or(Some(self.began), |part| part.complete_since)
    }

    fn is_over(&self, now: Instant) -> bool {
        let since = self
            .work_since()
            .filter(|_| !self.long_running || self.fails);
        since.is_some_and(|since| since + self.work <= now)
    }

    pub(super) fn percent(&self, now: Instant) -> u32 {
        let work = if self.long_running {
            STARTUP_TIME
        } else {
            self.work
        };
        let Some(since) = self.work_since() else {
            return 0;
        };
        let done = now.duration_since(since).as_millis() * 100;
        let percent = done / work.as_millis().max(1);
        u32::try_from(percent).unwrap_or(100).min(100)
    }
}

impl Runner {
    /// An instance that starts now.
    pub(super) fn begin(vm: &str, started_at: Option<u64>) -> Self {
        Self {
            vm: vm.to_owned(),
            started_at,
            alive: true,
            began: Instant::now(),
            fence: 0,
            lease: Instant::now(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            done_at: BTreeMap::new(),
            last_end: 0,
            acked_end: 0,
            expired_end: 0,
            finished_runs: HashMap::new(),
            cut: HashSet::new(),
            cut_resets: false,
            cut_changed_at: Instant::now(),
            draining_since: None,
            unanswered: HashSet::new(),
            process_ended: false,
            capacities: vec![TimedCapacity::usual()],
            refuses_starts: false,
            fails_runs: false,
            ends_at_once: ENDS_AT_ONCE,
            stop_time: Duration::ZERO,
            label: String::new(),
            sharing: TailModel::default(),
        }
    }

    pub(super) fn instant_at(&self, clock_ms: u64) -> Instant {
        let since = clock_ms.saturating_sub(CLOCK_START_MS);
        self.began + Duration::from_millis(since)
    }

    pub(super) fn extend_lease(&mut self, lease_end_ms: u64, now: Instant) {
        let until = self.instant_at(lease_end_ms).min(now + LEASE_LIMIT);
        self.lease = self.lease.max(until);
    }

    pub(super) fn end(&mut self, task: &str, kind: EndKind) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.last_end += 1;
        let over = self.finished_runs.entry(task.to_owned()).or_insert(0);
        *over = (*over).max(run.run);
        // Nobody could prevent an unguarded run, nor know of it when the next one was ordered.
        let counts = kind == EndKind::Done && !run.unguarded;
        if let Some(since) = run.work_since().filter(|_| counts) {
            self.done_at.insert(self.last_end, since + run.work);
        }
        self.ended.push(EndedTask {
            number: self.last_end,
            name: task.to_owned(),
            run: run.run,
            kind,
            checkpoint: String::new(),
        });
    }

    /// Ends the runs that are complete, stopped, or without a lease by now; returns the tasks
    /// that are done.
    pub(super) fn settle(&mut self, now: Instant) -> Vec<String> {
        let mut done = Vec::new();
        let lapse = self.lease;
        let over: Vec<(String, Run)> = self
            .running
            .iter()
            .filter(|(_, run)| run.is_over(now.min(lapse)))
            .map(|(task, run)| (task.clone(), run.clone()))
            .collect();
        for (task, run) in over {
            let kind = if run.fails {
                EndKind::Failed
            } else {
                EndKind::Done
            };
            if kind == EndKind::Done {
                done.push(task.clone());
            }
            self.end(&task, kind);
        }
        let stopped = self.running.iter();
        let stopped = stopped.filter(|(_, run)| run.stops_at.is_some_and(|at| at <= now));
        let stopped: Vec<String> = stopped.map(|(task, _)| task.clone()).collect();
        for task in stopped {
            self.end(&task, EndKind::Stopped);
        }
        if lapse <= now {
            self.expired_end = self.last_end;
            let lapsed: Vec<String> = self.running.keys().cloned().collect();
            for task in lapsed {
                self.end(&task, EndKind::LeaseExpired);
            }
        }
        done
    }

    pub(super) fn report(&self, now: Instant) -> HeartbeatReport {
        let running = self.running.iter().map(|(task, run)| RunningTask {
            name: task.clone(),
            run: run.run,
            checkpoint: String::new(),
            percent: run.percent(now),
            load: if run.target_ms > 0 {
                self.sharing.reported(now)
            } else {
                0
            },
        });
        HeartbeatReport {
            clock_ms: CLOCK_START_MS + now.duration_since(self.began).as_millis() as u64,
            started_at: self.started_at,
            running: running.collect(),
            ended: self.ended.iter().take(self.ends_at_once).cloned().collect(),
            more_ends: self.ended.len() >= self.ends_at_once,
        }
    }
}

/// Work of a task in milliseconds: the number in its payload, or 300.
fn work_ms(payload: &str) -> u64 {
    let digits: String = payload.chars().filter(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(300)
}

/// Factor on the work of a task, larger for each further task of an uneven step.
fn work_share(order: &StartOrder) -> u32 {
    if order.payload.contains("uneven") {
        order.name.index + 1
    } else {
        1
    }
}
