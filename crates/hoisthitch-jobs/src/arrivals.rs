//! How much work comes in, told from the jobs that came of late.
//!
//! A rise shows in short windows as far as chance does not explain their jobs, a fall where
//! fewer jobs came than chance explains.

use crate::Millis;

/// Short times over which the work that comes in is averaged, in milliseconds. They
/// count as far as chance does not explain their jobs, so that the begin of a turn shows
/// after some of them: 2 in 100 more of what is owed where demand goes from pool to pool
/// (40 plays, docs/decisions.md).
const WINDOWS_MS: [Millis; 4] = [250, 500, 1_000, 2_000];

/// The longest time over which it is averaged, which counts in full.
const LONGEST_MS: Millis = 4_000;

/// Time over which a fall of the work that comes in is looked at, in milliseconds.
const FALL_MS: Millis = 1_000;

/// Standard deviations of the number of jobs within which a smaller number may be
/// chance.
const FALL_SPREADS: u64 = 2;

/// Jobs whose mean is taken as it is: that of as many is off by a third or so.
const TREND_JOBS: u64 = 10;

/// A job that came in.
#[derive(Clone, Copy, Debug)]
struct JobArrival {
    accepted_at: Millis,
    /// Its work, in thousandths of a core times milliseconds.
    work: u64,
}

/// Jobs that came in of late.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalLog {
    arrivals: Vec<JobArrival>,
}

/// Jobs and work of a window.
#[derive(Clone, Copy, Default)]
struct WindowSum {
    jobs: u64,
    work: u64,
}

impl ArrivalLog {
    /// Notes a job that was accepted at `accepted_at`, with its work in thousandths of a
    /// core times milliseconds.
    pub(crate) fn note(&mut self, accepted_at: Millis, work: u64, now: Millis) {
        self.arrivals
            .retain(|arrival| arrival.accepted_at + LONGEST_MS > now);
        self.arrivals.push(JobArrival { accepted_at, work });
    }

    /// Work that comes in, in thousandths of a core.
    pub(crate) fn rate(&self, now: Millis) -> u64 {
        let longest = self.sum(LONGEST_MS, now);
        let rises = WINDOWS_MS.map(|window| certain_rate(self.sum(window, now), window));
        let mean = longest.work / LONGEST_MS;
        let risen = rises.into_iter().max().unwrap_or(0).max(mean);
        self.fallen(longest, now)
            .map_or(risen, |fallen| fallen.min(risen))
    }

    /// Jobs that were accepted in the time before now.
    fn sum(&self, window: Millis, now: Millis) -> WindowSum {
        let mut sum = WindowSum::default();
        for arrival in &self.arrivals {
            if arrival.accepted_at + window > now {
                sum.jobs += 1;
                sum.work += arrival.work;
            }
        }
        sum
    }

    /// The rate of work after a fall, if fewer jobs came lately than chance explains.
    /// The longest window alone shows it only seconds after the end of a turn.
    fn fallen(&self, longest: WindowSum, now: Millis) -> Option<u64> {
        let lately = self.sum(FALL_MS, now).jobs;
        let likely_most = lately + FALL_SPREADS * lately.isqrt().max(1);
        let usual = longest.jobs * FALL_MS / LONGEST_MS;
        (likely_most < usual).then(|| longest.work / LONGEST_MS * likely_most / usual)
    }
}

/// The rate of work that chance alone does not explain: that of as many jobs less
/// one standard deviation.
fn certain_rate(sum: WindowSum, window: Millis) -> u64 {
    let rate = sum.work / window;
    if sum.jobs >= TREND_JOBS {
        return rate;
    }
    rate * sum.jobs.saturating_sub(sum.jobs.isqrt() + 1) / sum.jobs.max(1)
}
