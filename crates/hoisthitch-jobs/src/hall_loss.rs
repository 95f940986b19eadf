//! Data halls whose runners count as lost together.
//!
//! [`HallMonitor`] is given what the runners of each hall last answered, and decides which halls
//! count as lost: most runners there fell silent within a short time, while most runners
//! elsewhere respond. More silent halls than the deployment tolerates mean that the owner itself
//! is cut off, and none counts as lost.
//!
//! While a hall counts as lost, nothing is placed on its runners, whatever each of them last
//! reported. What may run there is not started elsewhere before its lease is over or its end is
//! known. Losses of runners that fell silent with their hall say nothing against their tasks.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    Millis,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerKey, //
    }, //
};

/// Least number of silent runners in a lost hall, and of runners that respond elsewhere.
const RUNNERS_MIN: usize = 3;

/// Part of a hall's runners that are silent when it begins to count as lost: numerator and
/// denominator. It ends when half of them respond, so that a few lost runners don't decide.
const SILENT_PART: (usize, usize) = (2, 3);

/// Time within which the runners of a lost hall fell silent, in milliseconds.
const SILENCE_WINDOW_MS: Millis = 1_500;

/// Time since its last response after which a runner counts as silent before a heartbeat has
/// failed, in milliseconds. A heartbeat waits for 700 ms and the next one follows within 100 ms; one
/// without a response fails after 1.7 s.
const OVERDUE_MS: Millis = 1_100;

/// Longest time between two decisions of an owner that was not held up, in milliseconds.
const HELD_UP_MS: Millis = 500;

/// Time after which an owner that was held up has heard all runners that respond, in milliseconds.
const CATCH_UP_MS: Millis = 1_500;

/// Time within which a runner answers its first heartbeat, in milliseconds.
const FIRST_RESPONSE_MS: Millis = 1_500;

/// What the runners of a hall last answered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HallSilence {
    /// Number of runners that are neither draining nor being emptied, and were not silent long before
    /// the others.
    pub runners: usize,
    /// Those that are silent.
    pub silent: usize,
    /// Last response of the runner that was the last to fall silent; none while all respond.
    pub since: Option<Millis>,
}

impl HallSilence {
    fn responding(&self) -> usize {
        self.runners - self.silent
    }

    /// Whether most of the runners fell silent together.
    fn is_silent(&self) -> bool {
        let (part, whole) = SILENT_PART;
        self.silent >= RUNNERS_MIN && self.silent * whole >= self.runners * part
    }

    /// Whether half of the runners respond, or none is left.
    fn is_back(&self) -> bool {
        self.responding() * 2 >= self.runners
    }
}

/// Why a hall does not count as lost any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HallReturn {
    /// Half of its runners respond, or none is left.
    Responding,
    /// More halls are silent than may be lost at once.
    TooManySilent,
}

/// A change of the halls that count as lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HallChange {
    /// The hall.
    pub hall: String,
    /// Why it does not count as lost any more; none if it counts as lost now.
    pub back: Option<HallReturn>,
    /// What its runners last answered.
    pub silence: HallSilence,
    /// Time since its last response before it was lost, in milliseconds.
    pub age: Millis,
}

/// Which halls count as lost.
#[derive(Clone, Debug, Default)]
pub struct HallMonitor {
    /// Time of the last response before the loss, by hall.
    lost: BTreeMap<String, Millis>,
    /// When it last decided; none before the first time.
    updated_at: Option<Millis>,
    /// Time until which no further hall counts as lost, after the owner was held up.
    unsure_until: Millis,
}

impl HallMonitor {
    /// Decides anew; returns what changed. `tolerated` is the number of halls that may be lost
    /// at once.
    pub fn update(
        &mut self,
        halls: &BTreeMap<String, HallSilence>,
        tolerated: u32,
        now: Millis,
    ) -> Vec<HallChange> {
        if self.updated_at.is_some_and(|at| at + HELD_UP_MS < now) {
            self.unsure_until = now + CATCH_UP_MS;
        }
        self.updated_at = Some(now);
        let silence_of = |hall: &str| halls.get(hall).copied().unwrap_or_default();
        let silent: BTreeSet<&str> = halls
            .iter()
            .filter(|(hall, silence)| {
                let is_lost = self.lost.contains_key(*hall) && !silence.is_back();
                is_lost || silence.is_silent()
            })
            .map(|(hall, _)| hall.as_str())
            .collect();
        let is_tolerated = usize::try_from(tolerated).is_ok_and(|most| silent.len() <= most);
        let mut changes = Vec::new();
        let mut kept = BTreeMap::new();
        for (hall, since) in std::mem::take(&mut self.lost) {
            if is_tolerated && silent.contains(hall.as_str()) {
                kept.insert(hall, since);
                continue;
            }
            changes.push(HallChange {
                silence: silence_of(&hall),
                age: now.saturating_sub(since),
                back: Some(if silent.contains(hall.as_str()) {
                    HallReturn::TooManySilent
                } else {
                    HallReturn::Responding
                }),
                hall,
            });
        }
        self.lost = kept;
        if !is_tolerated || now < self.unsure_until || !responds_elsewhere(halls, &silent) {
            return changes;
        }
        for hall in silent {
            if self.lost.contains_key(hall) {
                continue;
            }
            let silence = silence_of(hall);
            let since = silence.since.unwrap_or(now);
            self.lost.insert(hall.to_owned(), since);
            changes.push(HallChange {
                hall: hall.to_owned(),
                back: None,
                silence,
                age: now.saturating_sub(since),
            });
        }
        changes
    }

    /// Halls that count as lost.
    pub fn lost(&self) -> BTreeSet<String> {
        self.lost.keys().cloned().collect()
    }
}

/// Whether most runners outside the silent halls respond.
fn responds_elsewhere(halls: &BTreeMap<String, HallSilence>, silent: &BTreeSet<&str>) -> bool {
    let others = halls
        .iter()
        .filter(|(hall, _)| !silent.contains(hall.as_str()));
    let (mut runners, mut responding) = (0, 0);
    for (_, silence) in others {
        runners += silence.runners;
        responding += silence.responding();
    }
    responding >= RUNNERS_MIN && responding * 2 > runners
}

impl RunnerEntry {
    /// Time of the last response if the runner is silent now, or of its first heartbeat if it never
    /// responded. `begun` is when runners began to respond to this owner.
    fn silent_from(&self, begun: Millis, now: Millis) -> Option<Millis> {
        let Some(response) = self.last_response_at else {
            return Some(self.first_seen_at.max(begun));
        };
        let is_silent = self.silent_since.is_some() || response + OVERDUE_MS < now;
        is_silent.then_some(response)
    }

    /// Whether it may still answer its first heartbeat.
    fn is_new(&self, begun: Millis, now: Millis) -> bool {
        let first = self.first_seen_at.max(begun);
        self.last_response_at.is_none() && first + FIRST_RESPONSE_MS > now
    }
}

impl PoolState {
    /// What the runners of each hall last answered.
    pub fn hall_silences(&self, now: Millis) -> BTreeMap<String, HallSilence> {
        let begun = self.responding_since.unwrap_or(now);
        let counted = |runner: &&RunnerEntry| {
            let is_known = !runner.facts.hall.is_empty();
            // VMs that are moved or maintained go down by the dozen, many of them in one hall.
            let is_staying = !runner.facts.draining && runner.evacuation.takes_tasks();
            is_known && is_staying && !runner.is_new(begun, now)
        };
        let mut halls: BTreeMap<String, HallSilence> = BTreeMap::new();
        for runner in self.runners.values().filter(counted) {
            let silence = halls.entry(runner.facts.hall.clone()).or_default();
            silence.since = silence.since.max(runner.silent_from(begun, now));
        }
        for runner in self.runners.values().filter(counted) {
            let Some(silence) = halls.get_mut(&runner.facts.hall) else {
                continue;
            };
            let silent_from = runner.silent_from(begun, now);
            let earliest = silence.since.unwrap_or(0).saturating_sub(SILENCE_WINDOW_MS);
            // It was lost before, by itself.
            if silent_from.is_some_and(|from| from < earliest) {
                continue;
            }
            silence.runners += 1;
            if silent_from.is_some() {
                silence.silent += 1;
            }
        }
        halls
    }

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
            // Cleared by its next response.
            runner.lost_with_hall |= runner.hall_lost;
        }
    }
}
