//! Runners that do not answer, and when what they were told to run has ended
//! for certain.

use std::collections::BTreeMap;

use crate::{
    Millis,
    pool::PoolState,
    task::TaskPlace, //
};

/// Time without an answer after which a runner counts as silent, in
/// milliseconds: a hold that failed and the next one.
pub const SILENT_MS: Millis = 300;

/// Runs on a runner that does not answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SilentRuns {
    /// Tasks that may run there.
    pub tasks: usize,
    /// When all of them have ended for certain.
    pub until: Millis,
}

impl SilentRuns {
    fn add(&mut self, tasks: usize, until: Millis) {
        self.tasks += tasks;
        self.until = self.until.max(until);
    }
}

impl PoolState {
    /// Runs on runners of which nothing was heard for [`SILENT_MS`], by the
    /// runner's name. Those that earlier owners ordered count from `owned_since`,
    /// when this owner began to ask.
    pub fn silent_runs(&self, owned_since: Millis, now: Millis) -> BTreeMap<String, SilentRuns> {
        let mut silent: BTreeMap<String, SilentRuns> = BTreeMap::new();
        for (_, runner) in self.runners() {
            let since = runner.silent_since.map(|since| since.max(owned_since));
            if since.is_some_and(|since| since + SILENT_MS <= now) && !runner.tasks.is_empty() {
                let runs = silent.entry(runner.facts.name.clone()).or_default();
                runs.add(runner.tasks.len(), runner.lease_until);
            }
        }
        if self.has_unlocated() && owned_since + SILENT_MS <= now {
            for (_, task) in self.active_tasks() {
                if let TaskPlace::Unlocated { runner, until } = &task.place {
                    silent.entry(runner.clone()).or_default().add(1, *until);
                }
            }
        }
        silent
    }
}
