//! Slots of a pool's runners in one entry, with outlier ejection.
//!
//! [`SlotLedger`] is given the runners, the number of slots that this entry may
//! use of each (`limit`; the caller decides how entries share slots) and the
//! results of requests. It selects the runner for the next request. Runners that
//! fail repeatedly are ejected, but never more of them than the pool's
//! availability budget allows. An ejected runner is probed with one request at a
//! time before it returns to service.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use slotmap::SlotMap;

use crate::keys::RunnerKey;

/// Consecutive failures after which a runner is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;

/// First ejection period; it doubles with each failed probe.
const EJECT_PERIOD_MIN: Duration = Duration::from_millis(500);

/// Longest ejection period.
const EJECT_PERIOD_MAX: Duration = Duration::from_secs(30);

/// Health of a runner, judged by the results of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunnerHealth {
    /// The runner gets requests.
    Healthy,
    /// The runner gets no requests until `until`, then one as a probe.
    Ejected {
        /// Time from which on a probe may be sent.
        until: Instant,
        /// Length of the ejection period.
        period: Duration,
    },
    /// One probe is in flight.
    Probing {
        /// Length of the ejection period before the probe.
        period: Duration,
    },
}

impl RunnerHealth {
    /// Name in API responses and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::Ejected { .. } => "ejected",
            Self::Probing { .. } => "probing",
        }
    }
}

/// Slots of one runner.
#[derive(Clone, Debug)]
pub struct RunnerSlots {
    /// Name of the VM on which the runner runs.
    pub vm: Arc<str>,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Slots that this entry may use.
    pub limit: u32,
    /// Requests of this entry that are at the runner.
    pub in_flight: u32,
    /// Whether the runner is draining and gets no new requests.
    pub leaving: bool,
    /// Health of the runner, judged by the results of requests.
    pub health: RunnerHealth,
    /// Consecutive failures.
    failures: u32,
    /// Whether the runner was removed from the pool. It is deleted once it has no
    /// request in flight.
    removed: bool,
    /// Value of `SlotLedger::turn` when a slot was last taken.
    last_turn: u64,
}

/// Slots of all runners of one pool.
#[derive(Debug, Default)]
pub struct SlotLedger {
    runners: SlotMap<RunnerKey, RunnerSlots>,
    in_flight: u32,
    eject_cap: usize,
    /// Number of slots taken so far.
    turn: u64,
}

impl SlotLedger {
    /// Sets the largest number of runners that may be ejected at a time.
    pub fn set_eject_cap(&mut self, cap: usize) {
        self.eject_cap = cap;
    }

    /// Adds or updates a runner. Its requests in flight stay counted.
    pub fn put(&mut self, vm: &str, address: SocketAddr, limit: u32, leaving: bool) {
        let found = self
            .runners
            .values_mut()
            .find(|runner| *runner.vm == *vm && runner.address == address);
        if let Some(runner) = found {
            runner.limit = limit;
            runner.leaving = leaving;
            runner.removed = false;
            return;
        }
        self.runners.insert(RunnerSlots {
            vm: Arc::from(vm),
            address,
            limit,
            in_flight: 0,
            leaving,
            health: RunnerHealth::Healthy,
            failures: 0,
            removed: false,
            last_turn: 0,
        });
    }

    /// Removes the runners for which `kept` is false. They get no new requests and
    /// are deleted once they have none in flight.
    pub fn retain(&mut self, kept: impl Fn(&RunnerSlots) -> bool) {
        for runner in self.runners.values_mut() {
            if !kept(runner) {
                runner.removed = true;
            }
        }
        self.runners
            .retain(|_, runner| runner.in_flight > 0 || !runner.removed);
    }

    /// Sets the slots that this entry may use of each runner.
    pub fn set_limits(&mut self, limit: impl Fn(&RunnerSlots) -> u32) {
        for runner in self.runners.values_mut() {
            runner.limit = limit(runner);
        }
    }

    /// Sets whether a VM's runner is draining.
    pub fn set_leaving(&mut self, vm: &str, leaving: bool) {
        for runner in self.runners.values_mut() {
            if *runner.vm == *vm {
                runner.leaving = leaving;
            }
        }
    }

    /// Takes a slot of the runner with the largest free share of its slots; among
    /// equals, of the least recently used one, so that a runner that fails fast
    /// attracts no more than its share of requests.
    ///
    /// The runner `avoid` is taken only if no other one has a free slot.
    pub fn take(&mut self, now: Instant, avoid: Option<RunnerKey>) -> Option<RunnerKey> {
        let key = self
            .select_runner(now, avoid)
            .or_else(|| avoid.and_then(|_| self.select_runner(now, None)))?;
        let runner = self.runners.get_mut(key)?;
        if let RunnerHealth::Ejected { period, .. } = runner.health {
            runner.health = RunnerHealth::Probing { period };
        }
        self.turn += 1;
        runner.last_turn = self.turn;
        runner.in_flight += 1;
        self.in_flight += 1;
        Some(key)
    }

    /// Releases a slot and records the result of its request.
    ///
    /// `healthy` is `None` when the result says nothing about the runner.
    pub fn release(&mut self, key: RunnerKey, healthy: Option<bool>, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let ejected = self.ejected_count();
        let cap = self.eject_cap;
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        runner.in_flight = runner.in_flight.saturating_sub(1);
        match healthy {
            Some(true) => runner.record_success(),
            Some(false) => runner.record_failure(ejected < cap, now),
            None => runner.record_no_result(now),
        }
        if runner.in_flight == 0 && runner.removed {
            self.runners.remove(key);
        }
    }

    /// Requests of this entry that are at runners.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots that this entry may use of healthy runners that get new requests.
    pub fn usable(&self) -> u32 {
        self.runners
            .values()
            .filter(|runner| {
                !runner.leaving && !runner.removed && runner.health == RunnerHealth::Healthy
            })
            .map(|runner| runner.limit)
            .sum()
    }

    /// Whether any runner may get a request now or later: whether one is neither
    /// draining nor removed.
    pub fn has_runner(&self) -> bool {
        self.runners
            .values()
            .any(|runner| !runner.leaving && !runner.removed)
    }

    /// Returns a runner's slots.
    pub fn get(&self, key: RunnerKey) -> Option<&RunnerSlots> {
        self.runners.get(key)
    }

    /// Keys of all runners.
    pub fn keys(&self) -> impl Iterator<Item = RunnerKey> {
        self.runners.keys()
    }

    /// All runners.
    pub fn iter(&self) -> impl Iterator<Item = &RunnerSlots> {
        self.runners.values()
    }

    fn select_runner(&self, now: Instant, avoid: Option<RunnerKey>) -> Option<RunnerKey> {
        self.runners
            .iter()
            .filter(|(key, runner)| Some(*key) != avoid && runner.has_free_slot(now))
            .max_by_key(|(_, runner)| (runner.free_share(), Reverse(runner.last_turn)))
            .map(|(key, _)| key)
    }

    fn ejected_count(&self) -> usize {
        self.runners
            .values()
            .filter(|runner| runner.health != RunnerHealth::Healthy)
            .count()
    }
}

/// Scale of a free share, so that shares are compared as integers.
const SHARE_SCALE: u64 = 1_000_000;

impl RunnerSlots {
    fn has_free_slot(&self, now: Instant) -> bool {
        if self.leaving || self.removed || self.in_flight >= self.limit {
            return false;
        }
        match self.health {
            RunnerHealth::Healthy => true,
            RunnerHealth::Ejected { until, .. } => now >= until,
            RunnerHealth::Probing { .. } => false,
        }
    }

    fn free_share(&self) -> u64 {
        let free = u64::from(self.limit - self.in_flight);
        free * SHARE_SCALE / u64::from(self.limit)
    }

    fn record_success(&mut self) {
        self.failures = 0;
        self.health = RunnerHealth::Healthy;
    }

    fn record_failure(&mut self, may_eject: bool, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        let period = match self.health {
            RunnerHealth::Probing { period } => (period * 2).min(EJECT_PERIOD_MAX),
            RunnerHealth::Healthy if self.failures >= EJECT_AFTER_FAILURES && may_eject => {
                EJECT_PERIOD_MIN
            }
            _ => return,
        };
        self.health = RunnerHealth::Ejected {
            until: now + period,
            period,
        };
    }

    /// After a probe without a result, lets the next probe be sent at once.
    fn record_no_result(&mut self, now: Instant) {
        if let RunnerHealth::Probing { period } = self.health {
            self.health = RunnerHealth::Ejected { until: now, period };
        }
    }
}
