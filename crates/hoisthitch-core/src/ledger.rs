//! Slots of a pool's runners, as one entry sees them.
//!
//! A runner's `limit` is what this entry may use of the runner's slots; how the
//! entries share the slots is decided outside. Runners that fail are ejected,
//! but never more of them than the pool's availability budget allows, and an
//! ejected runner is probed with one request at a time before it returns.

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

/// Failures in a row after which a runner is ejected.
const EJECT_AFTER: u32 = 3;

/// First time of ejection; doubles with each probe that fails.
const EJECT_BASE: Duration = Duration::from_millis(500);

/// Longest time of ejection.
const EJECT_MAX: Duration = Duration::from_secs(30);

/// Whether a runner takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunnerHealth {
    /// Takes work.
    Healthy,
    /// Takes none until the instant, then one probe.
    Ejected {
        /// When a probe may be sent.
        until: Instant,
        /// How long this ejection was set to last.
        period: Duration,
    },
    /// One probe is under way.
    Probing {
        /// How long the ejection before the probe lasted.
        period: Duration,
    },
}

impl RunnerHealth {
    /// Name in answers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::Ejected { .. } => "ejected",
            Self::Probing { .. } => "probing",
        }
    }
}

/// One runner's slots.
#[derive(Clone, Debug)]
pub struct RunnerSlots {
    /// Name of the VM that the runner is on.
    pub vm: Arc<str>,
    /// Address of the runner.
    pub address: SocketAddr,
    /// Slots that this entry may use.
    pub limit: u32,
    /// Requests of this entry that the runner holds.
    pub in_flight: u32,
    /// Whether the runner takes no new work because it leaves.
    pub leaving: bool,
    /// Whether the runner takes work as far as its answers tell.
    pub health: RunnerHealth,
    failures: u32,
    /// Whether the pool no longer holds the runner; it goes once it is empty.
    removed: bool,
    /// Turn at which a slot was last taken.
    last_turn: u64,
}

/// Slots of all runners of one pool.
#[derive(Debug, Default)]
pub struct SlotLedger {
    runners: SlotMap<RunnerKey, RunnerSlots>,
    in_flight: u32,
    eject_cap: usize,
    turn: u64,
}

impl SlotLedger {
    /// Sets how many runners may be ejected at once.
    pub fn set_eject_cap(&mut self, cap: usize) {
        self.eject_cap = cap;
    }

    /// Adds a runner or changes it; requests under way stay counted.
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

    /// Keeps the runners that `kept` names; the others take no new work and go
    /// once they hold no request.
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

    /// Marks a VM's runner as leaving or back.
    pub fn set_leaving(&mut self, vm: &str, leaving: bool) {
        for runner in self.runners.values_mut() {
            if *runner.vm == *vm {
                runner.leaving = leaving;
            }
        }
    }

    /// Takes a slot on the runner with the largest free share; among equals, on
    /// the one whose last turn is the longest ago, so that a runner that fails
    /// fast attracts no more than its share.
    ///
    /// A runner in `avoid` is taken only when no other has a free slot.
    pub fn take(&mut self, now: Instant, avoid: Option<RunnerKey>) -> Option<RunnerKey> {
        let key = self
            .choose(now, avoid)
            .or_else(|| avoid.and_then(|_| self.choose(now, None)))?;
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

    /// Gives a slot back and notes how the request went.
    ///
    /// `healthy` is `None` when the request says nothing about the runner.
    pub fn release(&mut self, key: RunnerKey, healthy: Option<bool>, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let ejected = self.ejected();
        let cap = self.eject_cap;
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        runner.in_flight = runner.in_flight.saturating_sub(1);
        match healthy {
            Some(true) => runner.record_success(),
            Some(false) => runner.record_failure(ejected < cap, now),
            None => runner.note_nothing(now),
        }
        if runner.in_flight == 0 && runner.removed {
            self.runners.remove(key);
        }
    }

    /// Requests that this entry has at runners.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots that this entry may use on runners that take work.
    pub fn usable(&self) -> u32 {
        self.runners
            .values()
            .filter(|runner| {
                !runner.leaving && !runner.removed && runner.health == RunnerHealth::Healthy
            })
            .map(|runner| runner.limit)
            .sum()
    }

    /// Whether any runner may take work, now or when a slot comes free.
    pub fn has_runner(&self) -> bool {
        self.runners
            .values()
            .any(|runner| !runner.leaving && !runner.removed)
    }

    /// Looks a runner up.
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

    fn choose(&self, now: Instant, avoid: Option<RunnerKey>) -> Option<RunnerKey> {
        self.runners
            .iter()
            .filter(|(key, runner)| Some(*key) != avoid && runner.has_free_slot(now))
            .max_by_key(|(_, runner)| (runner.free_share(), Reverse(runner.last_turn)))
            .map(|(key, _)| key)
    }

    fn ejected(&self) -> usize {
        self.runners
            .values()
            .filter(|runner| runner.health != RunnerHealth::Healthy)
            .count()
    }
}

/// Scale of a free share, so that shares compare as whole numbers.
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
            RunnerHealth::Probing { period } => (period * 2).min(EJECT_MAX),
            RunnerHealth::Healthy if self.failures >= EJECT_AFTER && may_eject => EJECT_BASE,
            _ => return,
        };
        self.health = RunnerHealth::Ejected {
            until: now + period,
            period,
        };
    }

    fn note_nothing(&mut self, now: Instant) {
        if let RunnerHealth::Probing { period } = self.health {
            self.health = RunnerHealth::Ejected { until: now, period };
        }
    }
}
