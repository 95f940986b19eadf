//! Likelihood that a task crashes its runners, weighed against chance.
//!
//! Two hypotheses are compared for the losses of runners that ran a task. By chance, a runner is
//! lost at any time, at the pool's rate of losses. A task that is the cause crashes each of its
//! runners after the same running time, unless the runner is lost by chance before. That time is
//! not known, so the ratio of the two likelihoods is averaged over all times, by a prior that is
//! uniform in the logarithm of the time.
//!
//! The running time before a loss is a range, since neither the begin of the run nor the loss is
//! known exactly. A loss with a narrow range says much if other ranges overlap with it, one with a
//! wide range says little, and one that is shorter than the others says nothing: the runner was
//! lost by chance before the task could crash it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Millis,
    record::is_default, //
};

/// Inaccuracy of the ends of a range of running times, in milliseconds: travel times of orders
/// and responses, and the interval between two looks at a connection.
const RANGE_ERROR_MS: f64 = 6.0;

/// Greatest running time after which a task is expected to crash its runners, in milliseconds.
const CRASH_TIME_MAX_MS: f64 = 12_000.0;

/// Running time below which the prior is uniform, in milliseconds.
const UNIFORM_PRIOR_MS: f64 = 20.0;

/// Probability that a task which is the cause crashes its runner in a given run.
const CRASH_PROBABILITY: f64 = 0.9;

/// Longest running time that is assumed where nothing limits it, in milliseconds: short tasks
/// take about as long.
const UNLIMITED_RUN_MS: Millis = 1_000;

/// The same for long-running tasks.
const UNLIMITED_LONG_RUN_MS: Millis = 10_000;

/// Range of a task's running time before the loss of its runner, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct RunTimeRange {
    /// Shortest possible time.
    #[serde(rename = "f", skip_serializing_if = "is_default")]
    pub(crate) from: Millis,
    /// Longest possible time.
    #[serde(rename = "t", skip_serializing_if = "is_default")]
    pub(crate) to: Millis,
}

impl RunTimeRange {
    /// A range; where the longest time is not known, a usual one is assumed.
    pub(crate) fn new(from: Millis, to: Option<Millis>, long_running: bool) -> Self {
        let unlimited = if long_running {
            UNLIMITED_LONG_RUN_MS
        } else {
            UNLIMITED_RUN_MS
        };
        Self {
            from,
            to: to.unwrap_or(from + unlimited).max(from),
        }
    }
}

/// How certain it is that the loss of a runner shows a crash, if its task is the cause.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum LossCertainty {
    /// The run had begun, and the runner's connections were reset.
    #[default]
    #[serde(rename = "c")]
    Crashed,
    /// The run had begun, and the runner's responses did not come until another instance was
    /// found.
    #[serde(rename = "u")]
    Unresponsive,
    /// The run had begun, and the runner never responded again.
    #[serde(rename = "s")]
    Silent,
    /// An earlier owner ordered the run, and it is not known what became of it.
    #[serde(rename = "n")]
    Unconfirmed,
    /// The start got no answer. Few of these runs have begun.
    #[serde(rename = "a")]
    Unanswered,
}

impl LossCertainty {
    /// Probability that a crash by the task shows as such a loss, relative to one that shows by a
    /// reset of the connections.
    fn factor(self) -> f64 {
        match self {
            Self::Crashed => 1.0,
            Self::Unconfirmed => 0.25,
            Self::Unresponsive | Self::Silent => 0.1,
            Self::Unanswered => 0.05,
        }
    }

    /// Whether the run had begun for certain.
    fn has_begun(self) -> bool {
        !matches!(self, Self::Unconfirmed | Self::Unanswered)
    }
}

/// What the loss of a runner says about a task that it ran.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub(crate) struct LossSample {
    /// Number of the run that was lost.
    #[serde(rename = "u", skip_serializing_if = "is_default")]
    pub(crate) run: u32,
    /// Hash of the runner's name; zero in records of earlier versions.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub(crate) runner: u32,
    /// Running time of the task.
    #[serde(flatten)]
    pub(crate) ran: RunTimeRange,
    /// Rate at which the runner was expected to be lost for other reasons, in losses per million
    /// seconds.
    #[serde(rename = "r")]
    pub(crate) rate: u64,
    /// What shows the loss.
    #[serde(rename = "c", skip_serializing_if = "is_default")]
    pub(crate) certainty: LossCertainty,
    /// Whether nothing else ran on the runner.
    #[serde(rename = "i", skip_serializing_if = "is_default")]
    pub(crate) isolated: bool,
    /// Whether other runners were lost at the same moment.
    #[serde(rename = "o", skip_serializing_if = "is_default")]
    pub(crate) concurrent: bool,
}

impl LossSample {
    /// Ends of the range in which the task's crash time lies if it caused the loss.
    #[expect(
        clippy::cast_precision_loss,
        reason = "times of runs are far below 2^52 ms"
    )]
    fn bounds(&self) -> (f64, f64) {
        let from = self.ran.from as f64 - RANGE_ERROR_MS;
        (from.max(0.0), self.ran.to as f64 + RANGE_ERROR_MS)
    }

    /// How much likelier the loss is if the task crashes its runners after `crash_time`, in
    /// milliseconds, than by chance.
    #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
    fn ratio(&self, crash_time: f64) -> f64 {
        let (from, to) = self.bounds();
        if crash_time > to {
            return 1.0;
        }
        if crash_time < from {
            // The task did not crash the runner, though it ran for long enough.
            let has_begun = self.certainty.has_begun();
            return if has_begun {
                1.0 - CRASH_PROBABILITY
            } else {
                1.0
            };
        }
        let crash = CRASH_PROBABILITY * self.certainty.factor();
        let rate = self.rate.max(1) as f64 / 1e6;
        let chance = (rate * (to - from) / 1_000.0).min(1.0);
        crash / chance + 1.0 - crash
    }
}

/// Prior probability of a crash time of up to `time` milliseconds.
fn prior_up_to(time: f64) -> f64 {
    let all = 1.0 + (CRASH_TIME_MAX_MS / UNIFORM_PRIOR_MS).ln();
    let part = if time < UNIFORM_PRIOR_MS {
        time / UNIFORM_PRIOR_MS
    } else {
        1.0 + (time.min(CRASH_TIME_MAX_MS) / UNIFORM_PRIOR_MS).ln()
    };
    part / all
}

/// How much likelier the losses are if the task crashes its runners than by chance, in tenths of
/// a bit; zero without losses.
pub(crate) fn crash_weight(samples: &[LossSample]) -> i32 {
    // The ratio is constant between the ends of the ranges.
    let mut ends = vec![0.0, CRASH_TIME_MAX_MS];
    for sample in samples {
        let (from, to) = sample.bounds();
        ends.extend([from, to].map(|end| end.min(CRASH_TIME_MAX_MS)));
    }
    ends.sort_by(f64::total_cmp);
    let mut ratio = 0.0;
    for (from, to) in ends.iter().zip(ends.iter().skip(1)) {
        let middle = from.midpoint(*to);
        let product: f64 = samples.iter().map(|sample| sample.ratio(middle)).product();
        ratio += product * (prior_up_to(*to) - prior_up_to(*from));
    }
    tenths_of_bits(ratio)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "ratios are neither zero nor infinite"
)]
fn tenths_of_bits(ratio: f64) -> i32 {
    (ratio.max(f64::MIN_POSITIVE).log2() * 10.0) as i32
}
