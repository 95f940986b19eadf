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
    HoldReport,
    RunningTask,
    StartOrder, //
};
use tokio::time::Instant;

/// Time after which a lasting task is at work.
pub(super) const STARTED: Duration = Duration::from_millis(300);

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
    pub(super) lasts: bool,
}

pub(super) struct Runner {
    pub(super) vm: String,
    pub(super) alive: bool,
    pub(super) began: Instant,
    pub(super) fence: u64,
    pub(super) lease: Instant,
    pub(super) running: BTreeMap<String, Run>,
    pub(super) ended: Vec<EndedTask>,
    pub(super) last_end: u64,
    pub(super) seen: u64,
    /// Last end before a lapse of the lease: the platform counts such ends as
    /// taken note of only if that was before the lapse.
    pub(super) void: u64,
    /// Highest run that was stopped or ended, by task.
    pub(super) over: HashMap<String, u32>,
    pub(super) cut: HashSet<String>,
}

impl Run {
    /// The run that an order begins; its payload tells how it goes.
    pub(super) fn begin(order: &StartOrder, now: Instant) -> Self {
        Self {
            run: order.run,
            began: now,
            work: Duration::from_millis(work_ms(&order.payload)),
            fails: order.payload.contains("fail"),
            lasts: order.payload.contains("lasts"),
        }
    }

    pub(super) fn percent(&self, now: Instant) -> u32 {
        let work = if self.lasts { STARTED } else { self.work };
        let done = now.duration_since(self.began).as_millis() * 100;
        let percent = done / work.as_millis().max(1);
        u32::try_from(percent).unwrap_or(100).min(100)
    }
}

impl Runner {
    /// A life that begins now.
    pub(super) fn begin(vm: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            alive: true,
            began: Instant::now(),
            fence: 0,
            lease: Instant::now(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            seen: 0,
            void: 0,
            over: HashMap::new(),
            cut: HashSet::new(),
        }
    }

    pub(super) fn at(&self, clock_ms: u64) -> Instant {
        let since = clock_ms.saturating_sub(CLOCK_START);
        self.began + Duration::from_millis(since)
    }

    pub(super) fn extend(&mut self, lease_ms: u64, now: Instant) {
        let until = self.at(lease_ms).min(now + LEASE_LIMIT);
        self.lease = self.lease.max(until);
    }

    pub(super) fn end(&mut self, task: &str, kind: EndKind) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.last_end += 1;
        let over = self.over.entry(task.to_owned()).or_insert(0);
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
            .filter(|(_, run)| !run.lasts && run.began + run.work <= now.min(lapse))
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
        if lapse <= now {
            self.void = self.last_end;
            let lapsed: Vec<String> = self.running.keys().cloned().collect();
            for task in lapsed {
                self.end(&task, EndKind::Lapsed);
            }
        }
        done
    }

    pub(super) fn report(&self, now: Instant) -> HoldReport {
        let running = self.running.iter().map(|(task, run)| RunningTask {
            name: task.clone(),
            run: run.run,
            checkpoint: String::new(),
            percent: run.percent(now),
            load: 0,
        });
        HoldReport {
            clock_ms: CLOCK_START + now.duration_since(self.began).as_millis() as u64,
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
