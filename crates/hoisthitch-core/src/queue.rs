//! The queue of one pool in one entry.
//!
//! Urgent work goes first, shared among teams by weight (stride scheduling).
//! Background work goes by earliest deadline. Background work whose deadline is
//! near is promoted: it may take a bounded share of the grants ahead of urgent
//! work, so that nothing starves and urgent work is delayed by that share only.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    }, //
};

use thiserror::Error;

use crate::{
    keys::TeamKey,
    table::PaidPriority, //
};

/// Of this many grants, one may go to promoted background work.
const PROMOTED_TURN: u32 = 8;

/// Stride of a team with weight one.
const STRIDE: u64 = 1 << 20;

/// Names a unit of work in one queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkTicket(u64);

/// One request that waits.
#[derive(Clone, Debug)]
pub struct WorkUnit<T> {
    /// What the queue's owner waits with.
    pub item: T,
    /// Priority that the request is served at.
    pub priority: PaidPriority,
    /// Team that pays for it.
    pub team: TeamKey,
    /// Weight of the team.
    pub weight: u32,
    /// When the request is of no more use.
    pub deadline: Instant,
}

/// Bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Most units that wait.
    pub capacity: usize,
    /// Background work this near to its deadline is promoted.
    pub promote_within: Duration,
}

/// Why a unit was not queued.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum QueueRefusal {
    /// The queue holds as much as it may.
    #[error("the queue is full")]
    Full,
}

/// Queue of one pool.
#[derive(Debug)]
pub struct WorkQueue<T> {
    limits: QueueLimits,
    next_ticket: u64,
    urgent: BTreeMap<TeamKey, TeamBacklog<T>>,
    urgent_len: usize,
    background: BTreeMap<(Instant, WorkTicket), WorkUnit<T>>,
    /// Pass of the team that was served last.
    clock: u64,
    /// Grants since promoted work last took a turn.
    since_promoted: u32,
}

#[derive(Debug)]
struct TeamBacklog<T> {
    pass: u64,
    units: BTreeMap<WorkTicket, WorkUnit<T>>,
}

impl<T> WorkQueue<T> {
    /// Starts empty.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            next_ticket: 0,
            urgent: BTreeMap::new(),
            urgent_len: 0,
            background: BTreeMap::new(),
            clock: 0,
            since_promoted: PROMOTED_TURN,
        }
    }

    /// Changes the bounds; what waits already stays.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Units that wait.
    pub fn len(&self) -> usize {
        self.urgent_len + self.background.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Units that wait at a priority.
    pub fn len_of(&self, priority: PaidPriority) -> usize {
        match priority {
            PaidPriority::Urgent => self.urgent_len,
            PaidPriority::Background => self.background.len(),
        }
    }

    /// Adds a unit.
    ///
    /// In a full queue, an urgent unit takes the place of the background unit
    /// with the latest deadline, which is handed back to be refused.
    ///
    /// # Errors
    ///
    /// The unit itself is refused when nothing can give way to it.
    pub fn push(&mut self, unit: WorkUnit<T>) -> Result<(WorkTicket, Option<T>), QueueRefusal> {
        let evicted = if self.len() < self.limits.capacity {
            None
        } else if unit.priority == PaidPriority::Urgent {
            let (_, last) = self.background.pop_last().ok_or(QueueRefusal::Full)?;
            Some(last.item)
        } else {
            return Err(QueueRefusal::Full);
        };
        let ticket = WorkTicket(self.next_ticket);
        self.next_ticket += 1;
        self.insert(ticket, unit);
        Ok((ticket, evicted))
    }

    /// Takes the unit that goes next.
    ///
    /// Where `background_allowed` is false, background work is passed over, but
    /// for promoted work that competes with waiting urgent work: then the slots
    /// that are kept free for urgent work are taken in any case.
    pub fn pop(&mut self, now: Instant, background_allowed: bool) -> Option<WorkUnit<T>> {
        let waits_for_urgent = self.urgent_len > 0;
        if (background_allowed || waits_for_urgent) && self.promoted_turn(now) {
            self.since_promoted = 0;
            return self.pop_background();
        }
        if self.urgent_len > 0 {
            self.since_promoted = self.since_promoted.saturating_add(1);
            return self.pop_urgent();
        }
        if background_allowed {
            return self.pop_background();
        }
        None
    }

    /// Whether [`WorkQueue::pop`] would find a unit.
    pub fn has_next(&self, background_allowed: bool) -> bool {
        self.urgent_len > 0 || (background_allowed && !self.background.is_empty())
    }

    /// Removes a unit that no longer waits.
    pub fn remove(
        &mut self,
        ticket: WorkTicket,
        priority: PaidPriority,
        team: TeamKey,
        deadline: Instant,
    ) -> Option<WorkUnit<T>> {
        match priority {
            PaidPriority::Background => self.background.remove(&(deadline, ticket)),
            PaidPriority::Urgent => {
                let unit = self.urgent.get_mut(&team)?.units.remove(&ticket)?;
                self.urgent_len -= 1;
                Some(unit)
            }
        }
    }

    /// Empties the queue.
    pub fn take_all(&mut self) -> Vec<WorkUnit<T>> {
        let mut units = Vec::with_capacity(self.len());
        for backlog in self.urgent.values_mut() {
            units.extend(std::mem::take(&mut backlog.units).into_values());
        }
        units.extend(std::mem::take(&mut self.background).into_values());
        self.urgent_len = 0;
        units
    }

    fn insert(&mut self, ticket: WorkTicket, unit: WorkUnit<T>) {
        if unit.priority == PaidPriority::Background {
            self.background.insert((unit.deadline, ticket), unit);
            return;
        }
        let clock = self.clock;
        let backlog = self.urgent.entry(unit.team).or_insert(TeamBacklog {
            pass: clock,
            units: BTreeMap::new(),
        });
        if backlog.units.is_empty() {
            // A team that was idle does not save up turns.
            backlog.pass = backlog.pass.max(clock);
        }
        backlog.units.insert(ticket, unit);
        self.urgent_len += 1;
    }

    fn promoted_turn(&self, now: Instant) -> bool {
        if self.since_promoted < PROMOTED_TURN {
            return false;
        }
        let Some(((deadline, _), _)) = self.background.first_key_value() else {
            return false;
        };
        deadline.saturating_duration_since(now) <= self.limits.promote_within
    }

    fn pop_urgent(&mut self) -> Option<WorkUnit<T>> {
        let backlog = self
            .urgent
            .values_mut()
            .filter(|backlog| !backlog.units.is_empty())
            .min_by_key(|backlog| backlog.pass)?;
        let (_, unit) = backlog.units.pop_first()?;
        self.clock = backlog.pass;
        backlog.pass += STRIDE / u64::from(unit.weight.max(1));
        self.urgent_len -= 1;
        Some(unit)
    }

    fn pop_background(&mut self) -> Option<WorkUnit<T>> {
        let (_, unit) = self.background.pop_first()?;
        Some(unit)
    }
}
