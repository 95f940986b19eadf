//! Evidence that a task crashes its runners.
//!
//! The losses of runners that ran the task are kept, and weighed together in bits: how much
//! likelier they are if the task crashes its runners than if runners of the pool are lost at
//! their usual rate ([`crash_weight`]). A crash right after a start says much, one after a long
//! run little, and one where runners are lost all the time hardly anything. Tasks that ran on
//! the same runner share the blame, and the most recently started one gets most of it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Millis,
    likelihood::{
        LossCertainty,
        LossSample,
        RunTimeRange,
        crash_weight, //
    },
    losses::RunnerLoss,
    record::is_default, //
};

/// Shortest running time that is distinguished where tasks share the blame for a loss, in
/// milliseconds: shorter ones count as this.
const RUN_TIME_MIN_MS: Millis = 20;

/// Running time that is assumed there where it is not known, in milliseconds: short tasks take
/// about as long.
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

/// Weight from which a task is failed, in tenths of a bit.
const FAILURE_WEIGHT: i32 = 220;

/// The same from [`DECIDING_LOSSES`] on: each further start of a task that is the cause costs a
/// runner.
const DECIDING_WEIGHT: i32 = 120;

/// Number of losses from which the deciding weight applies: a task that crashes its runners may
/// be started twice after three crashes, and no more.
const DECIDING_LOSSES: u32 = 5;

/// Number of losses up to which those do not count that came together with losses of other
/// runners.
const EXCUSED_LOSSES: usize = 2;

/// Number of losses that are kept; older ones are dropped.
const KEPT_LOSSES: usize = 8;

/// Least running time after which a suspect is cleared, in milliseconds.
const CLEAR_MIN_MS: Millis = 1_000;

/// Evidence against a task.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskSuspicion {
    /// Number of runners that were lost while they ran it.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub losses: u32,
    /// Those since it was last cleared.
    #[serde(rename = "r", skip_serializing_if = "is_default")]
    recent: u32,
    /// The latest of these, in their order.
    #[serde(rename = "e", skip_serializing_if = "Vec::is_empty")]
    samples: Vec<LossSample>,
    /// Number of the last run that was lost, in whatever way, so that a loss is counted once,
    /// whoever detects it.
    #[serde(rename = "u", skip_serializing_if = "is_default")]
    last_run: u32,
    /// Longest time that it had been running when a runner was lost, in milliseconds.
    #[serde(rename = "l", skip_serializing_if = "is_default")]
    longest: Millis,
}

/// What is known about a task on a runner that was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LossEvidence {
    /// Number of the run that was lost.
    pub(crate) run: u32,
    /// Hash of the runner's name.
    pub(crate) runner: u32,
    /// How the runner was lost.
    pub(crate) loss: RunnerLoss,
    /// Estimate of the time for which the task had been running; none where that is not known.
    pub(crate) ran: Option<Millis>,
    /// Range of that time.
    pub(crate) range: RunTimeRange,
    /// What shows the loss.
    pub(crate) certainty: LossCertainty,
    /// Part of the blame that the task gets among all that ran there: the shorter its running
    /// time, the larger.
    pub(crate) share: f64,
    /// Whether nothing else ran there.
    pub(crate) isolated: bool,
    /// Whether other runners were lost at that moment.
    pub(crate) concurrent_loss: bool,
    /// Rate at which the runner was expected to be lost for reasons other than the task, per
    /// second.
    pub(crate) rate: f64,
}

impl LossEvidence {
    fn sample(&self) -> LossSample {
        LossSample {
            run: self.run,
            runner: self.runner,
            ran: self.range,
            rate: per_million_seconds(self.rate / self.share),
            certainty: self.certainty,
            isolated: self.isolated,
            concurrent: self.concurrent_loss,
        }
    }
}

impl TaskSuspicion {
    /// Adds a loss.
    pub(crate) fn add(&mut self, evidence: LossEvidence) {
        self.last_run = evidence.run;
        self.losses += 1;
        self.recent += 1;
        self.longest = self.longest.max(evidence.ran.unwrap_or(0));
        if self.samples.len() == KEPT_LOSSES {
            self.samples.remove(0);
        }
        self.samples.push(evidence.sample());
    }

    /// Removes the loss of a run that goes on, or has ended otherwise; returns whether there was
    /// one.
    pub(crate) fn withdraw(&mut self, run: u32) -> bool {
        let Some(place) = self.samples.iter().rposition(|sample| sample.run == run) else {
            return false;
        };
        self.samples.remove(place);
        self.losses = self.losses.saturating_sub(1);
        self.recent = self.recent.saturating_sub(1);
        if self.last_run == run {
            self.last_run = 0;
        }
        true
    }

    /// Whether the evidence is enough to fail the task as the cause.
    pub(crate) fn is_conclusive(&self) -> bool {
        let limit = if self.recent >= DECIDING_LOSSES {
            DECIDING_WEIGHT
        } else {
            FAILURE_WEIGHT
        };
        self.weight() >= limit
    }

    /// Whether it ran in isolation when its last run was lost.
    pub(crate) fn was_isolated(&self) -> bool {
        self.samples.last().is_some_and(|sample| sample.isolated)
    }

    /// Weight of the evidence against the task, in tenths of a bit. The first losses count only
    /// if no other runner was lost at the same moment.
    pub fn weight(&self) -> i32 {
        let has_few = self.samples.len() <= EXCUSED_LOSSES;
        let counted = self.samples.iter().copied();
        let counted = counted.filter(|sample| !has_few || !sample.concurrent);
        let counted: Vec<LossSample> = counted.collect();
        crash_weight(&counted).max(0)
    }

    /// Losses while it ran in isolation.
    pub(crate) fn isolated_losses(&self) -> impl Iterator<Item = LossSample> {
        self.samples
            .iter()
            .copied()
            .filter(|sample| sample.isolated)
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
    clippy::cast_sign_loss,
    reason = "rates are positive, and a float is cut off at the limits of the integer"
)]
fn per_million_seconds(rate: f64) -> u64 {
    (rate * 1e6) as u64
}
