//! Fair sharing of a full pool between teams, by weight.
//!
//! A team that submits more than its share would take the capacity of the others, whose jobs
//! would then be late together with its own. While a pool does not have enough capacity for
//! all, a team is beyond its share if its part of the processors in use is above its weight's
//! part among the teams with work there. Jobs of such a team that have not begun are served
//! after those of the others. No capacity is kept idle for a share: what one team leaves, the
//! others may use.

use std::collections::{
    HashMap,
    HashSet, //
};

use crate::{
    pool::PoolState,
    quota::TeamUsage, //
};

/// What a team may use before it counts as beyond its share, in percent of the share: single
/// jobs need up to a tenth of a pool.
const BEYOND_SHARE_PERCENT: f64 = 120.0;

impl PoolState {
    /// Sets the weights of teams; a team without an entry has weight one.
    pub fn set_weights(&mut self, weights: HashMap<String, f64>) {
        self.weights = weights;
    }

    /// Teams that use more of a full pool than their share.
    pub(crate) fn teams_beyond_share<'a>(
        &self,
        usage: &HashMap<&'a str, TeamUsage>,
    ) -> HashSet<&'a str> {
        if self.weights.is_empty() || !self.lacked_capacity {
            return HashSet::new();
        }
        let weight = |team: &str| self.weights.get(team).copied().unwrap_or(1.0);
        let all_weights: f64 = usage.keys().map(|team| weight(team)).sum();
        let all_used: u64 = usage
            .values()
            .map(|team_usage| team_usage.used.cpu_milli)
            .sum();
        let beyond = usage.iter().filter(|(team, team_usage)| {
            let share = weight(team) * BEYOND_SHARE_PERCENT / 100.0 / all_weights;
            as_f64(team_usage.used.cpu_milli) > as_f64(all_used) * share
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
