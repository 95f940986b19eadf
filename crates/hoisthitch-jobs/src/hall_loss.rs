//! Data halls whose runners count as lost together.
//!
//! While a hall counts as lost, nothing is placed on its runners, whatever each of them last
//! reported.

use std::collections::BTreeSet;

use crate::{
    pool::PoolState,
    runner::RunnerKey, //
};

impl PoolState {
    /// Sets which halls count as lost; returns whether that changed.
    pub fn set_lost_halls(&mut self, halls: BTreeSet<String>) -> bool {
        if self.lost_halls == halls {
            return false;
        }
        self.lost_halls = halls;
        let keys: Vec<RunnerKey> = self.runners.keys().collect();
        for key in keys {
            self.update_hall_loss(key);
        }
        self.plan_needed = true;
        true
    }

    /// Halls that count as lost.
    pub fn lost_halls(&self) -> &BTreeSet<String> {
        &self.lost_halls
    }

    /// Sets whether a runner is in a lost hall.
    pub(crate) fn update_hall_loss(&mut self, key: RunnerKey) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.hall_lost = self.lost_halls.contains(&runner.facts.hall);
        }
    }
}
