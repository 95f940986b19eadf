//! Estimates the rate of arriving work from the jobs that arrived lately.
//!
//! A rise is detected over short windows, as far as chance does not explain the number of
//! their jobs. A fall is detected when fewer jobs arrived than chance explains.

use crate::Millis;

/// Short windows over which arriving work is averaged, in milliseconds. A window counts as far
/// as chance does not explain the number of its jobs, so that a rise of demand is seen after a
/// few jobs. This brings 2 percent more of the attainable value where demand goes from pool to
/// pool (40 simulated days, docs/decisions.md).
const WINDOWS_MS: [Millis; 4] = [250, 500, 1_000, 2_000];

/// The longest window over which arriving work is averaged, in milliseconds; it counts in
/// full.
const LONGEST_WINDOW_MS: Millis = 4_000;

/// Window over which a fall of demand is detected, in milliseconds.
const FALL_WINDOW_MS: Millis = 1_000;

/// Number of standard deviations by which the number of jobs may be below the mean by chance.
const FALL_DEVIATIONS: u64 = 2;

/// Number of jobs from which their mean rate is taken as it is: at this number it is off by
/// about a third.
const CERTAIN_JOBS: u64 = 10;

/// A job that arrived.
#[derive(Clone, Copy, Debug)]
struct JobArrival {
    accepted_at: Millis,
    /// Work of the job, in thousandths of a core times milliseconds.
    work: u64,
}

/// Jobs that arrived within the longest window.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalLog {
    arrivals: Vec<JobArrival>,
}

/// Number of jobs and their work in a window.
#[derive(Clone, Copy, Default)]
struct WindowSum {
    jobs: u64,
    work: u64,
}

impl ArrivalLog {
    /// Records a job that was accepted at `accepted_at`, with its work in thousandths of a
    /// core times milliseconds.
    pub(crate) fn note(&mut self, accepted_at: Millis, work: u64, now: Millis) {
        self.arrivals
            .retain(|arrival| arrival.accepted_at + LONGEST_WINDOW_MS > now);
        self.arrivals.push(JobArrival { accepted_at, work });
    }

    /// Rate of arriving work, in thousandths of a core.
    pub(crate) fn rate(&self, now: Millis) -> u64 {
        let longest = self.sum(LONGEST_WINDOW_MS, now);
        let rises = WINDOWS_MS.map(|window| confident_rate(self.sum(window, now), window));
        let mean = longest.work / LONGEST_WINDOW_MS;
        let rising = rises.into_iter().max().unwrap_or(0).max(mean);
        self.rate_after_fall(longest, now)
            .map_or(rising, |falling| falling.min(rising))
    }

    /// Jobs that were accepted within the window before `now`.
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

    /// The rate of work after a fall, if fewer jobs arrived lately than chance explains. The
    /// longest window alone would show the fall only seconds later.
    fn rate_after_fall(&self, longest: WindowSum, now: Millis) -> Option<u64> {
        let lately = self.sum(FALL_WINDOW_MS, now).jobs;
        let likely_most = lately + FALL_DEVIATIONS * lately.isqrt().max(1);
        let usual = longest.jobs * FALL_WINDOW_MS / LONGEST_WINDOW_MS;
        (likely_most < usual).then(|| longest.work / LONGEST_WINDOW_MS * likely_most / usual)
    }
}

/// The rate of work that chance alone does not explain: for a small number of jobs, that
/// number less one standard deviation.
fn confident_rate(sum: WindowSum, window: Millis) -> u64 {
    let rate = sum.work / window;
    if sum.jobs >= CERTAIN_JOBS {
        return rate;
    }
    rate * sum.jobs.saturating_sub(sum.jobs.isqrt() + 1) / sum.jobs.max(1)
}
