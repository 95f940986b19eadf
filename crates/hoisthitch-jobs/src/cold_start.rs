//! Slow start of runners: a runner that is cold gets starts at a limited rate.
//!
//! A runner is cold for some time after the start of its process, and after the cordon of its data
//! hall is over. Warm runners are preferred meanwhile. Nothing here is on in a pool without
//! [`ColdStart`].
//!
//! Each cold runner has a token bucket of the owner's starts. The bucket of a runner that the owner
//! has inherited begins empty, since the owner before may have used the tolerance: what both start
//! within a second stays within the bounds without any message between them.

use crate::{
    Millis,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerInstance,
        RunnerKey, //
    },
    task::TaskState, //
};

/// Cost of placing a task on a cold runner: more than any difference in load and than data on
/// another rack, less than crowding a step on a runner.
pub(crate) const COLD_COST: f64 = 3.0;

/// Slow start of a pool's runners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long a runner is cold, in milliseconds.
    pub duration_ms: Millis,
    /// Starts in a second for which a cold runner is meant.
    pub starts_per_s: f64,
}

/// By how much the rate of a cold runner may be exceeded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ColdStartBounds {
    /// Overage of the rate, in percent of it.
    pub overage_percent: u32,
    /// Starts beyond that in any second.
    pub tolerance: u32,
}

/// Why a runner counts as cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdCause {
    /// Its process has started.
    Started,
    /// This owner has taken over the pool, and the process started lately or at an unknown time.
    Inherited,
    /// The cordon of its data hall is over.
    CordonOver,
}

/// A runner that has become cold, or warm again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WarmthChange {
    /// The runner.
    pub runner: RunnerInstance,
    /// Why it is cold, and for how long, in milliseconds; none once it is warm.
    pub cold: Option<(ColdCause, Millis)>,
}

/// Whether a runner is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum RunnerWarmth {
    /// Not decided yet; it gets no starts.
    #[default]
    Unknown,
    /// It gets starts at a limited rate.
    Cold(ColdBudget),
    /// It gets starts like any other.
    Warm,
}

/// Token bucket of the starts of a cold runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ColdBudget {
    until: Millis,
    tokens: f64,
    filled_at: Millis,
}

/// Rate and size of the buckets of a pool.
#[derive(Clone, Copy)]
struct BucketSize {
    tokens_per_ms: f64,
    depth: f64,
}

impl BucketSize {
    fn new(cold_start: ColdStart, bounds: ColdStartBounds) -> Self {
        let overage = f64::from(bounds.overage_percent) / 100.0;
        Self {
            tokens_per_ms: cold_start.starts_per_s * (1.0 + overage) / 1_000.0,
            // Without a whole token nothing would ever be started.
            depth: f64::from(bounds.tolerance).max(1.0),
        }
    }
}

impl ColdBudget {
    /// Tokens at `now`.
    fn tokens_at(&self, size: BucketSize, now: Millis) -> f64 {
        let passed = as_f64(now.saturating_sub(self.filled_at));
        (self.tokens + passed * size.tokens_per_ms).min(size.depth)
    }
}

impl PoolState {
    /// Sets the slow start of the pool's runners, and decides which of them are cold now. `unix_ms`
    /// is the time of day; `inherited` says whether runners that were not known before were
    /// listed before this owner took over.
    pub fn update_warmth(
        &mut self,
        cold_start: Option<ColdStart>,
        inherited: bool,
        unix_ms: u64,
        now: Millis,
    ) {
        if cold_start != self.cold_start {
            self.cold_start = cold_start;
            self.plan_needed = true;
            for runner in self.runners.values_mut() {
                runner.warmth = RunnerWarmth::Unknown;
            }
        }
        let Some(cold_start) = cold_start else {
            return;
        };
        let size = BucketSize::new(cold_start, self.terms.cold_bounds);
        for runner in self.runners.values_mut() {
            match runner.warmth {
                RunnerWarmth::Unknown => {
                    let age = if inherited {
                        let started_at = runner.facts.started_at;
                        started_at.map_or(0, |started_at| unix_ms.saturating_sub(started_at))
                    } else {
                        now.saturating_sub(runner.first_seen_at)
                    };
                    let left = cold_start.duration_ms.saturating_sub(age);
                    if left == 0 {
                        runner.warmth = RunnerWarmth::Warm;
                        continue;
                    }
                    let (cause, tokens) = if inherited {
                        (ColdCause::Inherited, 0.0)
                    } else {
                        (ColdCause::Started, size.depth)
                    };
                    runner.warmth = cold_for(left, tokens, now);
                    self.warmth_changes.push(cold_change(runner, cause, left));
                }
                RunnerWarmth::Cold(budget) if budget.until <= now => {
                    runner.warmth = RunnerWarmth::Warm;
                    self.plan_needed = true;
                    self.warmth_changes.push(WarmthChange {
                        runner: runner.facts.instance(),
                        cold: None,
                    });
                }
                RunnerWarmth::Cold(_) | RunnerWarmth::Warm => {}
            }
            if runner.cordoned {
                runner.cools_in_cordon = true;
            } else if std::mem::take(&mut runner.cools_in_cordon) {
                // The owner has started nothing there meanwhile, nor has any other.
                runner.warmth = cold_for(cold_start.duration_ms, size.depth, now);
                let change = cold_change(runner, ColdCause::CordonOver, cold_start.duration_ms);
                self.warmth_changes.push(change);
            }
        }
    }

    /// The runners that became cold or warm since this was last called.
    pub fn take_warmth_changes(&mut self) -> Vec<WarmthChange> {
        std::mem::take(&mut self.warmth_changes)
    }

    /// Number of waiting tasks that could be on a cold runner if its rate allowed it, when starts
    /// were last planned.
    pub fn held_back_starts(&self) -> usize {
        self.held_back_starts
    }

    /// Whether a runner is cold, or not known to be warm.
    pub(crate) fn is_cold(&self, runner: &RunnerEntry) -> bool {
        self.cold_start.is_some() && runner.warmth != RunnerWarmth::Warm
    }

    /// Whether the rate of a runner allows one more start besides those that are planned.
    pub(crate) fn rate_allows_plan(&self, runner: &RunnerEntry, now: Millis) -> bool {
        if !self.is_cold(runner) {
            return true;
        }
        let planned = runner.tasks.iter().filter(|task| {
            let entry = self.task(**task);
            entry.is_some_and(|entry| matches!(entry.state, TaskState::Planned(_)))
        });
        let planned = u32::try_from(planned.count()).unwrap_or(u32::MAX);
        self.start_tokens(runner, now) >= f64::from(planned) + 1.0
    }

    /// Whether the rate of a runner allows a start that is planned.
    pub(crate) fn rate_allows_start(&self, runner: &RunnerEntry, now: Millis) -> bool {
        !self.is_cold(runner) || self.start_tokens(runner, now) >= 1.0
    }

    /// Starts that a cold runner may get now.
    fn start_tokens(&self, runner: &RunnerEntry, now: Millis) -> f64 {
        match (self.cold_start, runner.warmth) {
            (Some(cold_start), RunnerWarmth::Cold(budget)) => {
                let size = BucketSize::new(cold_start, self.terms.cold_bounds);
                budget.tokens_at(size, now)
            }
            _ => 0.0,
        }
    }

    /// Counts a start against the rate of a runner.
    pub(crate) fn count_cold_start(&mut self, key: RunnerKey, now: Millis) {
        let Some(cold_start) = self.cold_start else {
            return;
        };
        let size = BucketSize::new(cold_start, self.terms.cold_bounds);
        if let Some(runner) = self.runners.get_mut(key)
            && let RunnerWarmth::Cold(budget) = &mut runner.warmth
        {
            budget.tokens = (budget.tokens_at(size, now) - 1.0).max(0.0);
            budget.filled_at = now;
        }
    }

    /// Counts the waiting tasks that only the rate of a cold runner keeps waiting.
    pub(crate) fn count_held_back(&self, now: Millis) -> usize {
        if self.cold_start.is_none() {
            return 0;
        }
        let spent: Vec<&RunnerEntry> = self
            .runners
            .values()
            .filter(|runner| runner.takes_tasks(now) && !self.rate_allows_plan(runner, now))
            .collect();
        if spent.is_empty() {
            return 0;
        }
        let waiting = self.unended_jobs().flat_map(|(_, job)| {
            let slots = (0..job.tasks.len()).filter(|slot| job.waits_for_runner(*slot));
            slots.filter_map(|slot| job.step_of(slot))
        });
        waiting
            .filter(|step| spent.iter().any(|runner| runner.fits(step)))
            .count()
    }
}

fn cold_for(time: Millis, tokens: f64, now: Millis) -> RunnerWarmth {
    RunnerWarmth::Cold(ColdBudget {
        until: now.saturating_add(time),
        tokens,
        filled_at: now,
    })
}

fn cold_change(runner: &RunnerEntry, cause: ColdCause, left: Millis) -> WarmthChange {
    WarmthChange {
        runner: runner.facts.instance(),
        cold: Some((cause, left)),
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times are far below 2^52 milliseconds"
)]
fn as_f64(time: Millis) -> f64 {
    time as f64
}
