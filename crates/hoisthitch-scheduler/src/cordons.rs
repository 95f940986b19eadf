//! Data halls that operators have cordoned: nothing is to be started there for now.
//!
//! [`HallCordons`] is what a node knows of them from the operators' records, and since when. It is
//! acted on only while the records were confirmed lately ([`crate::shared::NodeShared`]).

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use hoisthitch_jobs::Millis;
use hoisthitch_telemetry::event;

/// The cordoned data halls, each with the time at which this node noticed it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HallCordons {
    halls: BTreeMap<String, Millis>,
}

impl HallCordons {
    /// Whether a data hall is cordoned.
    pub fn contains(&self, hall: &str) -> bool {
        self.halls.contains_key(hall)
    }

    /// Whether no data hall is cordoned.
    pub fn is_empty(&self) -> bool {
        self.halls.is_empty()
    }

    /// Names of the cordoned halls.
    pub fn names(&self) -> BTreeSet<String> {
        self.halls.keys().cloned().collect()
    }

    /// The cordoned halls and since when, by this node's clock.
    pub fn iter(&self) -> impl Iterator<Item = (&String, Millis)> {
        self.halls.iter().map(|(hall, since)| (hall, *since))
    }

    /// Whether all of these halls are cordoned; false if there are none.
    pub fn cover(&self, halls: &BTreeSet<String>) -> bool {
        !halls.is_empty() && halls.iter().all(|hall| self.contains(hall))
    }

    /// Adds a hall; returns whether it is new.
    pub(crate) fn add(&mut self, hall: &str, now: Millis) -> bool {
        if self.contains(hall) {
            return false;
        }
        self.halls.insert(hall.to_owned(), now);
        event!(
            Info,
            "hall_cordoned",
            hall = hall,
            cordoned = self.halls.len()
        );
        true
    }

    /// Removes a hall; returns whether it was there.
    pub(crate) fn remove(&mut self, hall: &str, now: Millis) -> bool {
        let Some(since) = self.halls.remove(hall) else {
            return false;
        };
        event!(
            Info,
            "hall_uncordoned",
            hall = hall,
            lasted_ms = now.saturating_sub(since),
            cordoned = self.halls.len()
        );
        true
    }

    /// Replaces the halls by those of a complete list; returns whether that changed anything.
    pub(crate) fn replace(&mut self, listed: &BTreeSet<&str>, now: Millis) -> bool {
        let mut changed = false;
        for hall in self.names() {
            if !listed.contains(hall.as_str()) {
                changed |= self.remove(&hall, now);
            }
        }
        for hall in listed {
            changed |= self.add(hall, now);
        }
        changed
    }
}
