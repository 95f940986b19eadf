//! Shares of a pool that is too small for all: each team by its weight.
//!
//! A team that sends more than its share takes the room of the others, whose jobs are then
//! late with its own. While a pool has no room for all, teams that have more of its processors
//! than their weight gives them among the teams with work there wait behind the others with
//! what has not begun. Nothing idles for a share: what others leave is theirs.

use std::collections::{
    HashMap,
    HashSet, //
};

use crate::{
    pool::PoolState,
    quota::TeamUsage, //
};

/// What a team may have beyond its share before it waits, in hundredths: jobs come in sizes
/// of a tenth of a pool.
const SLACK_PERCENT: f64 = 120.0;

impl PoolState {
    /// Sets the weights of teams; one that is not named has a weight of one.
    pub fn set_weights(&mut self, weights: HashMap<String, f64>) {
        self.weights = weights;
    }

    /// Teams that have more of a full pool than their share.
    pub(crate) fn teams_beyond_share<'a>(
        &self,
        uses: &HashMap<&'a str, TeamUsage>,
    ) -> HashSet<&'a str> {
        if self.weights.is_empty() || !self.was_full {
            return HashSet::new();
        }
        let weight = |team: &str| self.weights.get(team).copied().unwrap_or(1.0);
        let all_weights: f64 = uses.keys().map(|team| weight(team)).sum();
        let all_used: u64 = uses.values().map(|found| found.used.cpu_milli).sum();
        let beyond = uses.iter().filter(|(team, found)| {
            let share = weight(team) * SLACK_PERCENT / 100.0 / all_weights;
            as_f64(found.used.cpu_milli) > as_f64(all_used) * share
        });
        beyond.map(|(team, _)| *team).collect()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "amounts of processors are far below 2^52 thousandths of a core"
)]
fn as_f64(value: u64) -> f64 {
    value as f64
}
