//! Unresponsive runners, and the times by which everything that they were ordered to run has
//! ended for certain.
//!
//! A runner stops all runs when its lease ends, so an owner that can't reach it only has to
//! wait for that time before it starts the tasks elsewhere.

use std::collections::BTreeMap;

use crate::{
    Millis,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerKey, //
    },
    task::TaskState, //
};

/// Times by which runs that earlier owners ordered have ended for certain on runners that
/// can't be asked.
#[derive(Clone, Debug, Default)]
pub struct InheritedRuns {
    /// On any runner.
    pub until: Millis,
    /// On runners that an earlier owner published as unresponsive, by name.
    pub silent: BTreeMap<String, Millis>,
    /// On runners that have restarted lately, by name: orders for the previous instance may have
    /// granted leases that last longer there.
    pub stray: BTreeMap<String, Millis>,
}

impl InheritedRuns {
    /// When they have ended on a runner.
    pub(crate) fn until_on(&self, runner: &str) -> Millis {
        let silent = self.silent.get(runner).copied();
        let until = silent.map_or(self.until, |until| until.min(self.until));
        until.max(self.stray_until(runner))
    }

    fn stray_until(&self, runner: &str) -> Millis {
        self.stray.get(runner).copied().unwrap_or(0)
    }
}

/// Runs on an unresponsive runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SilentRuns {
    /// Number of tasks that may run there.
    pub tasks: usize,
    /// Time by which all of them have ended for certain.
    pub until: Millis,
}

impl SilentRuns {
    fn add(&mut self, tasks: usize, until: Millis) {
        self.tasks += tasks;
        self.until = self.until.max(until);
    }
}

impl PoolState {
    /// Runs on runners that have not responded since `time` or longer, by the runner's name.
    /// For runs that earlier owners ordered, the silence counts from `owned_since`, when this
    /// owner began to send heartbeats.
    pub fn silent_runs(&self, owned_since: Millis, time: Millis) -> BTreeMap<String, SilentRuns> {
        let is_silent = |runner: &RunnerEntry| {
            let since = runner.silent_since.map(|since| since.max(owned_since));
            since.is_some_and(|since| since <= time)
        };
        self.runs_where(is_silent, owned_since <= time)
    }

    /// Runs on all runners, by the runner's name. The times are certain once no runner gets
    /// another lease.
    pub fn all_runs(&self) -> BTreeMap<String, SilentRuns> {
        self.runs_where(|_| true, true)
    }

    /// Runs on the runners for which `counts` is true, and those of earlier owners if
    /// `inherited` is true.
    fn runs_where(
        &self,
        counts: impl Fn(&RunnerEntry) -> bool,
        inherited: bool,
    ) -> BTreeMap<String, SilentRuns> {
        let mut found: BTreeMap<String, SilentRuns> = BTreeMap::new();
        for (_, runner) in self.runners() {
            if counts(runner) && !runner.tasks.is_empty() {
                let runs = found.entry(runner.facts.name.clone()).or_default();
                runs.add(runner.tasks.len(), runner.lease_until);
            }
        }
        if self.has_unconfirmed() && inherited {
            for (_, task) in self.active_tasks() {
                if let TaskState::Unconfirmed { runner, until, .. } = &task.state {
                    found.entry(runner.clone()).or_default().add(1, *until);
                }
            }
        }
        found
    }

    /// Records that a runner responded to this owner for the first time, and from now on
    /// refuses earlier owners: what they ordered there ends by `until`, or with the leases that
    /// orders for a previous instance may have granted. Those may outlast the end that an earlier
    /// owner recorded for a silent runner.
    pub fn fence_runner(&mut self, key: RunnerKey, until: Millis) {
        if let Some(runner) = self.runners.get_mut(key)
            && !runner.fenced
        {
            runner.fenced = true;
            let stray = self.inherited.stray_until(&runner.facts.name);
            runner.lease_until = runner.lease_until.min(until).max(stray);
        }
    }

    /// Records that orders for a previous instance of a runner may have granted it leases until
    /// `until`.
    pub fn record_stray_leases(&mut self, key: RunnerKey, until: Millis) {
        if let Some(runner) = self.runners.get(key) {
            let name = runner.facts.name.clone();
            let known = self.inherited.stray.entry(name).or_insert(0);
            *known = until.max(*known);
        }
    }

    /// Runners that may have such leases at `now`, by name, and until when.
    pub fn stray_leases(&mut self, now: Millis) -> BTreeMap<String, Millis> {
        self.inherited.stray.retain(|_, until| *until > now);
        self.inherited.stray.clone()
    }
}
