//! One life of a runner in memory: what it runs, its lease, its ends.

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
    rooms::TimedCapacity,
    sharing::TailModel, //
};

/// Time after which a lasting task is at work.
pub(super) const STARTUP_TIME: Duration = Duration::from_millis(300);

/// Longest lease.
const LEASE_LIMIT: Duration = Duration::from_secs(10);

/// Start of the runners' clocks.
const CLOCK_START: u64 = 480_000;

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) run: u32,
    pub(super) began: Instant,
    pub(super) work: Duration,
    pub(super) fails: bool,
    pub(super) long_running: bool,
    /// When it has stopped, as it was told to.
    pub(super) stops_at: Option<Instant>,
    /// The gang that it is of.
    pub(super) gang: Option<GangPart>,
    /// Target of a serving task, in milliseconds; zero for others.
    pub(super) target_ms: u64,
    /// Whether it is a filler.
    pub(super) best_effort: bool,
    /// Share at which it works, in percent.
    pub(super) pace: u32,
    /// Whether it was ordered of the life before, and nobody could keep it from starting.
    pub(super) unguarded: bool,
}

/// A run's part in a gang.
#[derive(Clone, Debug)]
pub(super) struct GangPart {
    /// Name of the step: job, round, step.
    pub(super) step: String,
    /// Members of the gang.
    pub(super) size: usize,
    /// Since when all members are present.
    pub(super) complete_since: Option<Instant>,
}

pub(super) struct Runner {
    pub(super) vm: String,
    /// When the life began, in milliseconds since 1970; none where runners don't tell.
    pub(super) started_at: Option<u64>,
    pub(super) alive: bool,
    pub(super) began: Instant,
    pub(super) fence: u64,
    pub(super) lease: Instant,
    pub(super) running: BTreeMap<String, Run>,
    pub(super) ended: Vec<EndedTask>,
    pub(super) last_end: u64,
    pub(super) acked_end: u64,
    /// Last end before a lapse of the lease: the platform counts such ends as
    /// taken note of only if that was before the lapse.
    pub(super) expired_end: u64,
    /// Highest run that was stopped or ended, by task.
    pub(super) finished_runs: HashMap<String, u32>,
    pub(super) cut: HashSet<String>,
    /// When a cut was last made or healed.
    pub(super) cut_changed_at: Instant,
    /// Since when it is listed as leaving.
    pub(super) draining_since: Option<Instant>,
    /// Nodes whose calls arrive and whose answers do not.
    pub(super) unheard: HashSet<String>,
    /// Whether its process is gone and its VM is not: calls are refused at once.
    pub(super) refuses: bool,
    /// Its rooms so far, the one of now last.
    pub(super) rooms: Vec<TimedCapacity>,
    /// Whether it refuses each start.
    pub(super) sick: bool,
    /// Time that a stop takes.
    pub(super) stop_time: Duration,
    /// What its kind is.
    pub(super) label: String,
    /// How tasks beside one another fare.
    pub(super) sharing: TailModel,
}

impl Run {
    /// The run that an order begins; its payload tells how it goes.
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

    /// When it went to work; a member of a gang waits for the others.
    pub(super) fn work_since(&self) -> Option<Instant> {
        let part = self.gang.as_ref();
        part.map_or(Some(self.began), |part| part.complete_since)
    }

    fn is_over(&self, now: Instant) -> bool {
        let since = self.work_since().filter(|_| !self.long_running);
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
    /// A life that begins now.
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
            last_end: 0,
            acked_end: 0,
            expired_end: 0,
            finished_runs: HashMap::new(),
            cut: HashSet::new(),
            cut_changed_at: Instant::now(),
            draining_since: None,
            unheard: HashSet::new(),
            refuses: false,
            rooms: vec![TimedCapacity::usual()],
            sick: false,
            stop_time: Duration::ZERO,
            label: String::new(),
            sharing: TailModel::default(),
        }
    }

    pub(super) fn instant_at(&self, clock_ms: u64) -> Instant {
        let since = clock_ms.saturating_sub(CLOCK_START);
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
        self.ended.push(EndedTask {
            number: self.last_end,
            name: task.to_owned(),
            run: run.run,
            kind,
            checkpoint: String::new(),
        });
    }

    /// Ends what is over by now; answers with the tasks that are done.
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
            clock_ms: CLOCK_START + now.duration_since(self.began).as_millis() as u64,
            started_at: self.started_at,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

/// The work of a task: the number in its payload.
fn work_ms(payload: &str) -> u64 {
    let digits: String = payload.chars().filter(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(300)
}

/// How often an uneven task does the work of the first of its step.
fn work_share(order: &StartOrder) -> u32 {
    if order.payload.contains("uneven") {
        order.name.index + 1
    } else {
        1
    }
}
