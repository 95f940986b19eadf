//! Evidence that a task crashes its runners.
//!
//! Each loss of a runner is weighed in bits: how much likelier it is if the task crashes its
//! runners within the longest time that it ran on one, than if runners of the pool are lost at
//! their usual rate. A crash right after a start says much, one after a long run little, and
//! one where runners are lost all the time hardly anything. Tasks that ran on the same runner
//! share the weight, and the most recently started one gets most of it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Millis,
    losses::RunnerLoss,
    pattern::CrashPattern,
    record::is_default, //
};

/// Shortest running time that is distinguished, in milliseconds: shorter ones count as this.
const RUN_TIME_MIN_MS: Millis = 20;

/// Running time that is assumed where it is not known, in milliseconds: short tasks take about
/// as long.
const UNKNOWN_RUN_TIME_MS: Millis = 1_000;

/// The same for long-running tasks, which mostly ran for longer.
const LONG_RUNNING_UNKNOWN_MS: Millis = 10_000;

/// Weight from which a task is run in isolation, in tenths of a bit: a crash right after its
/// start in a calm pool.
const ISOLATION_WEIGHT: i32 = 70;

/// Number of losses from which a task is run in isolation, whatever their weight.
const ISOLATION_LOSSES: u32 = 2;

/// Longest time for which a suspect that runs keeps its runner to itself, in milliseconds.
const ISOLATION_MAX_MS: Millis = 10_000;

/// The same for a suspect whose losses say little: a long-running task would otherwise keep a
/// runner to itself for ten seconds each time that runners crash by themselves.
const ISOLATION_SHORT_MS: Millis = 2_000;

/// Weight from which a task is failed after a crash while it ran in isolation, in tenths of a
/// bit.
const ISOLATED_CRASH_LIMIT: i32 = 300;

/// The same after its runner became unresponsive while the task ran in isolation.
const ISOLATED_SILENCE_LIMIT: i32 = 380;

/// The same after a loss with other tasks on the runner: a task may never run in isolation,
/// for want of a free runner.
const SHARED_LOSS_LIMIT: i32 = 280;

/// Reduction of these limits for each crash while the task ran in isolation, in tenths of a
/// bit: each was on another runner that was kept free for it.
const LIMIT_REDUCTION: i32 = 50;

/// Least limit that remains after these reductions, in tenths of a bit.
const LIMIT_MIN: i32 = 100;

/// Number of losses from which the deciding limit applies if the last one was in isolation: a
/// task that crashes its runners may be started twice after three crashes, and no more.
const DECIDING_LOSSES: u32 = 5;

/// Deciding limit if the crashes in isolation are alike, but too few for a clear pattern, in
/// tenths of a bit.
const ALIKE_DECIDING_LIMIT: i32 = 130;

/// Deciding limit if there is a clear pattern, in tenths of a bit.
const DECIDING_LIMIT: i32 = 80;

/// The same for a long-running task: it is running during most crashes, and the losses of a
/// storm of crashes add up against it.
const LONG_RUNNING_DECIDING_LIMIT: i32 = 160;

/// Difference between the shortest and the longest running time before a crash up to which
/// they count as alike, in milliseconds.
const ALIKE_MS: Millis = 40;

/// The same as a part of the shortest running time: one in this many.
const ALIKE_DIVISOR: Millis = 20;

/// Least limit for a task whose crashes are not known to be alike, in tenths of a bit: delays
/// of orders and missing responses blur the times, so the task may still be the cause.
const SCATTERED_LIMIT: i32 = 170;

/// The same for a long-running task.
const LONG_RUNNING_SCATTERED_LIMIT: i32 = 250;

/// Reduction of the weight of a loss that shows by missing responses instead of reset
/// connections, in tenths of a bit: a task that crashes its runner ends the process, while
/// most runners that become unresponsive lose their VM or are cut off.
const SILENCE_REDUCTION: i32 = 30;

/// Least running time after which a suspect is cleared, in milliseconds.
const CLEAR_MIN_MS: Millis = 1_000;

/// Number of losses that do not count if other runners are lost at the same moment.
const EXCUSED_LOSSES: u32 = 2;

/// Evidence against a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskSuspicion {
    /// Number of runners that were lost while they ran it.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub losses: u32,
    /// Those since it was last cleared.
    #[serde(rename = "r", skip_serializing_if = "is_default")]
    recent: u32,
    /// Those of them that count and came after a run of known length.
    #[serde(rename = "c", skip_serializing_if = "is_default")]
    pub counted: u32,
    /// Sum of the weights of losses, in tenths of a bit, as if the task had run for one second
    /// each time.
    #[serde(rename = "s", skip_serializing_if = "is_default")]
    sum: i32,
    /// Number of crashes with reset connections while it ran in isolation.
    #[serde(rename = "a", skip_serializing_if = "is_default")]
    pub isolated_crashes: u32,
    /// Running times before these crashes, as far as they are known.
    #[serde(rename = "b", skip_serializing_if = "is_default")]
    pub(crate) isolated_span: Option<RunSpan>,
    /// Running times before crashes with reset connections, in isolation or not.
    #[serde(rename = "p", skip_serializing_if = "is_default")]
    pattern: CrashPattern,
    /// Number of the last run that was lost, in whatever way, so that a loss is counted once,
    /// whoever detects it.
    #[serde(rename = "u", skip_serializing_if = "is_default")]
    last_run: u32,
    /// Longest time that it had been running when a runner was lost, in milliseconds.
    #[serde(rename = "l", skip_serializing_if = "is_default")]
    longest: Millis,
}

/// Range of the running times of some runs before a crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct RunSpan {
    /// Shortest of them, in milliseconds.
    #[serde(rename = "s")]
    shortest: Millis,
    /// Longest of them, in milliseconds.
    #[serde(rename = "l")]
    longest: Millis,
    /// Number of runs.
    #[serde(rename = "n")]
    runs: u32,
}

impl RunSpan {
    fn of_run(ran: Millis) -> Self {
        Self {
            shortest: ran,
            longest: ran,
            runs: 1,
        }
    }

    pub(crate) fn join(first: Option<Self>, second: Option<Self>) -> Option<Self> {
        match (first, second) {
            (Some(first), Some(second)) => Some(Self {
                shortest: first.shortest.min(second.shortest),
                longest: first.longest.max(second.longest),
                runs: first.runs + second.runs,
            }),
            (first, second) => first.or(second),
        }
    }

    /// Whether there are several runs, and all of them took about the same time.
    pub(crate) fn is_narrow(self) -> bool {
        let width = self.longest.saturating_sub(self.shortest);
        self.runs > 1 && width <= ALIKE_MS.max(self.shortest / ALIKE_DIVISOR)
    }
}

/// What is known about a task on a runner that was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LossEvidence {
    /// Number of the run that was lost.
    pub(crate) run: u32,
    /// How the runner was lost.
    pub(crate) loss: RunnerLoss,
    /// How long the task had been running; none where that is not known.
    pub(crate) ran: Option<Millis>,
    /// Whether the time of the loss is known.
    pub(crate) timed: bool,
    /// Whether the task is long-running.
    pub(crate) long_running: bool,
    /// Part of the weight that the task gets among all that ran there: the shorter its running
    /// time, the larger.
    pub(crate) share: f64,
    /// Whether the runner became unresponsive, and its connections were not reset.
    pub(crate) silent: bool,
    /// Whether nothing else ran there.
    pub(crate) isolated: bool,
    /// Whether other runners were lost at that moment.
    pub(crate) concurrent_loss: bool,
    /// Rate at which a runner of the pool is lost for reasons other than the task, per second.
    pub(crate) rate: f64,
}

impl TaskSuspicion {
    /// Adds a loss; returns whether the task is to be failed as the cause.
    pub(crate) fn add(&mut self, evidence: LossEvidence) -> bool {
        self.last_run = evidence.run;
        let excused = evidence.concurrent_loss && self.recent < EXCUSED_LOSSES;
        self.losses += 1;
        self.recent += 1;
        let is_timed = evidence.timed && !evidence.silent;
        if let Some(ran) = evidence.ran.filter(|_| is_timed) {
            self.pattern.add(ran, evidence.isolated);
        }
        if excused {
            return false;
        }
        self.sum += tenths_of_bits(evidence.share / evidence.rate);
        if let Some(ran) = evidence.ran {
            self.counted += 1;
            self.longest = self.longest.max(ran);
        } else {
            self.sum -= tenths_of_bits(seconds(time_of(None, evidence.long_running)));
        }
        let known = evidence.ran.is_some() || !evidence.long_running;
        if evidence.isolated && !evidence.silent && known {
            self.isolated_crashes += 1;
            let ran = evidence.ran.filter(|_| evidence.timed);
            self.isolated_span = RunSpan::join(self.isolated_span, ran.map(RunSpan::of_run));
        }
        self.sum -= if evidence.silent {
            SILENCE_REDUCTION
        } else {
            0
        };
        self.weight() >= self.limit(evidence)
    }

    /// Weight from which the task is failed after such a loss, in tenths of a bit.
    fn limit(&self, evidence: LossEvidence) -> i32 {
        let initial = match (evidence.isolated, evidence.loss == RunnerLoss::Silent) {
            (true, false) => ISOLATED_CRASH_LIMIT,
            (true, true) => ISOLATED_SILENCE_LIMIT,
            (false, _) => SHARED_LOSS_LIMIT,
        };
        let crashes = i32::try_from(self.isolated_crashes).unwrap_or(i32::MAX);
        let reduced = initial.saturating_sub(crashes.saturating_mul(LIMIT_REDUCTION));
        let has_many = self.recent >= DECIDING_LOSSES;
        if has_many && self.pattern.crash_time().is_some() {
            return if evidence.long_running {
                LONG_RUNNING_DECIDING_LIMIT
            } else {
                DECIDING_LIMIT
            };
        }
        let decides = evidence.isolated && has_many;
        let (deciding, least) = match (self.crashes_alike(), evidence.long_running) {
            (true, false) => (ALIKE_DECIDING_LIMIT, LIMIT_MIN),
            (true, true) => (LONG_RUNNING_DECIDING_LIMIT, LIMIT_MIN),
            (false, false) => (SCATTERED_LIMIT, SCATTERED_LIMIT),
            (false, true) => (LONG_RUNNING_SCATTERED_LIMIT, LONG_RUNNING_SCATTERED_LIMIT),
        };
        if decides {
            deciding
        } else {
            reduced.max(least)
        }
    }

    /// Whether the crashes in isolation came after about the same running time each: crashes
    /// by chance come at any time.
    fn crashes_alike(&self) -> bool {
        self.isolated_span.is_some_and(RunSpan::is_narrow)
    }

    /// Weight of the evidence against the task, in tenths of a bit: the shorter the time
    /// within which the task crashes its runners if it is the cause, the more each loss
    /// counts.
    pub fn weight(&self) -> i32 {
        let counted = i32::try_from(self.counted).unwrap_or(i32::MAX);
        // A crash that is noticed late does not hide a clear pattern.
        let time = self.pattern.crash_time().unwrap_or(self.longest);
        let time = time.max(RUN_TIME_MIN_MS);
        let each = tenths_of_bits(seconds(time));
        self.sum.saturating_sub(counted.saturating_mul(each)).max(0)
    }

    /// Whether the loss of a run is counted already.
    pub(crate) fn is_counted(&self, run: u32) -> bool {
        run > 0 && self.last_run == run
    }

    /// Records that a run was lost without anything that counts against the task.
    pub(crate) fn add_planned(&mut self, run: u32) {
        self.last_run = run;
    }

    /// Whether any loss counts against the task.
    pub(crate) fn is_suspect(&self) -> bool {
        self.recent > 0
    }

    /// Whether the task is to be run in isolation.
    pub(crate) fn needs_isolation(&self) -> bool {
        self.recent >= ISOLATION_LOSSES || self.is_likely()
    }

    /// Whether the task is likely to be the cause of the loss of a runner that ran it.
    pub(crate) fn is_likely(&self) -> bool {
        self.weight() >= ISOLATION_WEIGHT
    }

    /// Running time after which the task is cleared, in milliseconds.
    pub(crate) fn clear_time(&self) -> Millis {
        CLEAR_MIN_MS.max(2 * self.longest)
    }

    /// Running time after which other tasks may be placed beside the task, in milliseconds.
    pub(crate) fn isolation_time(&self) -> Millis {
        if self.is_likely() {
            ISOLATION_MAX_MS
        } else {
            ISOLATION_SHORT_MS
        }
    }

    /// Clears the evidence after the task ran for longer than it took to crash.
    pub(crate) fn clear(&mut self) {
        *self = Self {
            losses: self.losses,
            last_run: self.last_run,
            ..Self::default()
        };
    }
}

/// Running time of a run as it is used for its weight, in milliseconds.
pub(crate) fn time_of(ran: Option<Millis>, long_running: bool) -> Millis {
    let unknown = if long_running {
        LONG_RUNNING_UNKNOWN_MS
    } else {
        UNKNOWN_RUN_TIME_MS
    };
    ran.unwrap_or(unknown).max(RUN_TIME_MIN_MS)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times of runs are far below 2^52 ms"
)]
pub(crate) fn seconds(time: Millis) -> f64 {
    time as f64 / 1_000.0
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "shares, rates and times of runs are far from zero and from infinity"
)]
fn tenths_of_bits(ratio: f64) -> i32 {
    (ratio.max(f64::MIN_POSITIVE).log2() * 10.0) as i32
}
