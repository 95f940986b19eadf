//! What counts against a task of the runners that were lost under it.
//!
//! Each loss is weighed, in bits: how much likelier it is if the task crashes its runners
//! within the longest time that it ran on one, than if runners of the pool go on being lost
//! as they are. A crash right after a start says much, one after a long run little, and one
//! where runners are lost all the time hardly anything. Tasks that were there together share
//! what it says, the youngest most of it.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Millis,
    losses::RunnerLoss,
    record::is_default, //
};

/// Shortest time of a run that is told apart, in milliseconds, and the times taken for one
/// that is not known: short tasks take about as long, and lasting ones mostly ran for longer.
const SHORTEST_MS: Millis = 20;
const UNKNOWN_MS: Millis = 1_000;
const LASTING_UNKNOWN_MS: Millis = 10_000;

/// Weight from which a task is tried alone, in tenths of a bit: a crash right after its
/// start in a calm pool. It is after so many losses, whatever they say.
const TRIAL_WEIGHT: i32 = 70;
const TRIAL_LOSSES: u32 = 2;

/// Time for which a suspect that runs has its runner alone at most, in milliseconds, and
/// for which one has whose losses say little: a lasting task would otherwise keep a runner
/// for ten seconds each time that runners crash by themselves.
const ALONE_MOST_MS: Millis = 10_000;
const ALONE_BRIEFLY_MS: Millis = 2_000;

/// Weights at which a task is given up, in tenths of a bit: alone under a crash, alone on a
/// runner of which nothing is heard any more, and never alone, for want of a free runner.
const PROOF_WEIGHT: i32 = 300;
const SILENT_PROOF_WEIGHT: i32 = 380;
const HEAVY_WEIGHT: i32 = 280;

/// What each crash under which the task was alone takes off these limits, down to the least
/// one, in tenths of a bit: each was on another runner that was kept free for it.
const ALONE_WEIGHT: i32 = 50;
const LEAST_WEIGHT: i32 = 100;

/// Losses, the last of them alone, from which this weight is enough: a cause may be started
/// twice after three crashes, and no more. A lasting task is there under most crashes, and
/// losses of a storm add up against it.
const DECIDING_LOSSES: u32 = 5;
const DECIDING_WEIGHT: i32 = 80;
const LASTING_DECIDING_WEIGHT: i32 = 160;

/// Difference between the shortest and the longest run until a crash up to which they count
/// as alike, in milliseconds, and as a part of the shortest: one in this many.
const ALIKE_MS: Millis = 60;
const ALIKE_PART: Millis = 4;

/// Least weights at which a task is given up whose crashes are not known to be alike, in
/// tenths of a bit: where orders and silence blur the times, one may still be the cause.
const SCATTERED_WEIGHT: i32 = 110;
const LASTING_SCATTERED_WEIGHT: i32 = 250;

/// What silence says less than connections that are reset, in tenths of a bit: a task ends
/// its runner's process, and most runners that fall silent lose their VM or are cut off.
const SILENCE_LESS: i32 = 30;

/// Least time for which a suspect has to run to be cleared, in milliseconds.
const CLEAR_LEAST_MS: Millis = 1_000;

/// Losses up to which a task is excused where other runners are lost at the same moment.
const EXCUSED_CRASHES: u32 = 2;

/// What counts against a task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskSuspicion {
    /// Runners that were lost under it.
    #[serde(rename = "n", skip_serializing_if = "is_default")]
    pub losses: u32,
    /// Those of them since it was last cleared.
    #[serde(rename = "r", skip_serializing_if = "is_default")]
    recent: u32,
    /// Those of them that count, after a run of known length.
    #[serde(rename = "c", skip_serializing_if = "is_default")]
    pub counted: u32,
    /// Sum of what they say, in tenths of a bit, as if the task had run for a second.
    #[serde(rename = "s", skip_serializing_if = "is_default")]
    sum: i32,
    /// Those of them under which it was alone, and whose connections were reset.
    #[serde(rename = "a", skip_serializing_if = "is_default")]
    pub alone: u32,
    /// How long it had run when these were lost, as far as that is known.
    #[serde(rename = "b", skip_serializing_if = "is_default")]
    pub(crate) alone_span: Option<RunSpan>,
    /// Number of the last run that was lost: a loss is noted once, whoever finds it.
    #[serde(rename = "u", skip_serializing_if = "is_default")]
    last_run: u32,
    /// Longest time that it had run when one of them was lost, in milliseconds.
    #[serde(rename = "l", skip_serializing_if = "is_default")]
    longest: Millis,
}

/// How long some runs took until a crash.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct RunSpan {
    /// Shortest and longest of them, in milliseconds.
    #[serde(rename = "s")]
    shortest: Millis,
    #[serde(rename = "l")]
    longest: Millis,
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

    /// Whether they are several, and took about the same time.
    pub(crate) fn is_narrow(self) -> bool {
        let width = self.longest.saturating_sub(self.shortest);
        self.runs > 1 && width <= ALIKE_MS.max(self.shortest / ALIKE_PART)
    }
}

/// What is known of a task on a runner that was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LossEvidence {
    /// Number of the run that was lost.
    pub(crate) run: u32,
    /// How the runner was lost.
    pub(crate) loss: RunnerLoss,
    /// How long the task had run; none where that is not known.
    pub(crate) ran: Option<Millis>,
    /// Whether it is known when the runner was lost.
    pub(crate) timed: bool,
    /// Whether it is one that lasts.
    pub(crate) lasts: bool,
    /// Share of the task in what was there, by how young the runs were.
    pub(crate) share: f64,
    /// Whether it fell silent, and its connections were not reset.
    pub(crate) silent: bool,
    /// Whether nothing else ran there.
    pub(crate) alone: bool,
    /// Whether other runners were lost at that moment.
    pub(crate) concurrent_loss: bool,
    /// How often a runner of the pool is lost without the task, a second.
    pub(crate) rate: f64,
}

impl TaskSuspicion {
    /// Takes a loss in; answers whether the task is to be given up for it.
    pub(crate) fn add(&mut self, evidence: LossEvidence) -> bool {
        self.last_run = evidence.run;
        let excused = evidence.concurrent_loss && self.recent < EXCUSED_CRASHES;
        self.losses += 1;
        self.recent += 1;
        if excused {
            return false;
        }
        self.sum += tenths_of_bits(evidence.share / evidence.rate);
        if let Some(ran) = evidence.ran {
            self.counted += 1;
            self.longest = self.longest.max(ran);
        } else {
            self.sum -= tenths_of_bits(seconds(time_of(None, evidence.lasts)));
        }
        let told = evidence.ran.is_some() || !evidence.lasts;
        if evidence.alone && !evidence.silent && told {
            self.alone += 1;
            let ran = evidence.ran.filter(|_| evidence.timed);
            self.alone_span = RunSpan::join(self.alone_span, ran.map(RunSpan::of_run));
        }
        self.sum -= if evidence.silent { SILENCE_LESS } else { 0 };
        self.weight() >= self.limit(evidence)
    }

    /// Weight from which the task is given up after such a loss, in tenths of a bit.
    fn limit(&self, evidence: LossEvidence) -> i32 {
        let first = match (evidence.alone, evidence.loss == RunnerLoss::Silent) {
            (true, false) => PROOF_WEIGHT,
            (true, true) => SILENT_PROOF_WEIGHT,
            (false, _) => HEAVY_WEIGHT,
        };
        let alone = i32::try_from(self.alone).unwrap_or(i32::MAX);
        let less = first.saturating_sub(alone.saturating_mul(ALONE_WEIGHT));
        let decides = evidence.alone && self.recent >= DECIDING_LOSSES;
        let (deciding, least) = match (self.crashes_alike(), evidence.lasts) {
            (true, false) => (DECIDING_WEIGHT, LEAST_WEIGHT),
            (true, true) => (LASTING_DECIDING_WEIGHT, LEAST_WEIGHT),
            (false, false) => (SCATTERED_WEIGHT, SCATTERED_WEIGHT),
            (false, true) => (LASTING_SCATTERED_WEIGHT, LASTING_SCATTERED_WEIGHT),
        };
        if decides { deciding } else { less.max(least) }
    }

    /// Whether the crashes under which the task was alone came at about the same time of
    /// their runs: chance crashes a runner at any.
    fn crashes_alike(&self) -> bool {
        self.alone_span.is_some_and(RunSpan::is_narrow)
    }

    /// What counts against the task, in tenths of a bit: each loss says the more the shorter
    /// the time is within which the task crashes its runners, if it does.
    pub fn weight(&self) -> i32 {
        let counted = i32::try_from(self.counted).unwrap_or(i32::MAX);
        let time = self.longest.max(SHORTEST_MS);
        let each = tenths_of_bits(seconds(time));
        self.sum.saturating_sub(counted.saturating_mul(each)).max(0)
    }

    /// Whether a run is noted as lost.
    pub(crate) fn is_noted(&self, run: u32) -> bool {
        self.losses > 0 && self.last_run == run
    }

    /// Whether anything counts against the task.
    pub(crate) fn is_suspect(&self) -> bool {
        self.recent > 0
    }

    /// Whether the task is to be tried alone.
    pub(crate) fn needs_trial(&self) -> bool {
        self.recent >= TRIAL_LOSSES || self.is_likely()
    }

    /// Whether a runner that was lost under the task is likely to have been lost to it.
    pub(crate) fn is_likely(&self) -> bool {
        self.weight() >= TRIAL_WEIGHT
    }

    /// Time for which the task has to run to be cleared, in milliseconds.
    pub(crate) fn clear_time(&self) -> Millis {
        CLEAR_LEAST_MS.max(2 * self.longest)
    }

    /// Time after which others may go beside the task, in milliseconds.
    pub(crate) fn alone_time(&self) -> Millis {
        if self.is_likely() {
            ALONE_MOST_MS
        } else {
            ALONE_BRIEFLY_MS
        }
    }

    /// Takes in that the task ran on for longer than it took to crash.
    pub(crate) fn clear(&mut self) {
        *self = Self {
            losses: self.losses,
            last_run: self.last_run,
            ..Self::default()
        };
    }
}

/// How long a run went on, in milliseconds, as far as it counts.
pub(crate) fn time_of(ran: Option<Millis>, lasts: bool) -> Millis {
    let unknown = if lasts {
        LASTING_UNKNOWN_MS
    } else {
        UNKNOWN_MS
    };
    ran.unwrap_or(unknown).max(SHORTEST_MS)
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
