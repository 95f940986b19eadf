//! Request queue of one pool in one entry.
//!
//! [`WorkQueue`] is given requests with a priority, team and deadline and returns
//! them in scheduling order:
//!
//! - Urgent requests go first. Teams share the grants by weight (stride
//!   scheduling).
//! - Background requests follow, earliest deadline first.
//! - A background request whose deadline is near is promoted: it may be taken
//!   before urgent requests, one for each [`GRANTS_PER_PROMOTED`] urgent grants,
//!   so that background work does not starve and urgent work is delayed by that
//!   share only.

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

/// Number of urgent grants that must pass before another promoted background
/// request may be taken ahead of urgent ones.
const GRANTS_PER_PROMOTED: u32 = 8;

/// Stride of a team with weight one (stride scheduling).
const STRIDE: u64 = 1 << 20;

/// Identifies a unit of work in one queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkTicket(u64);

/// One queued request.
#[derive(Clone, Debug)]
pub struct WorkUnit<T> {
    /// Handle by which the queue's owner knows the request.
    pub item: T,
    /// Priority at which the request is served.
    pub priority: PaidPriority,
    /// Team that pays for the request.
    pub team: TeamKey,
    /// Weight of the team.
    pub weight: u32,
    /// Time after which the response is of no use to the caller.
    pub deadline: Instant,
}

/// Limits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Largest number of queued units.
    pub capacity: usize,
    /// A background unit is promoted if its deadline is at most this far away.
    pub promote_within: Duration,
}

/// Why a unit was not queued.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum QueueRefusal {
    /// The queue has reached its capacity.
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
    /// Virtual time of the stride scheduler: the pass of the team that was served
    /// last.
    virtual_time: u64,
    /// Urgent grants since a promoted unit was last taken.
    grants_since_promoted: u32,
}

/// Queued urgent units of one team.
#[derive(Debug)]
struct TeamBacklog<T> {
    /// Virtual time of the team's next grant.
    pass: u64,
    units: BTreeMap<WorkTicket, WorkUnit<T>>,
}

impl<T> WorkQueue<T> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            next_ticket: 0,
            urgent: BTreeMap::new(),
            urgent_len: 0,
            background: BTreeMap::new(),
            virtual_time: 0,
            grants_since_promoted: GRANTS_PER_PROMOTED,
        }
    }

    /// Changes the limits. Units that are already queued stay.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
    }

    /// Number of queued units.
    pub fn len(&self) -> usize {
        self.urgent_len + self.background.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of queued units of a priority.
    pub fn len_of(&self, priority: PaidPriority) -> usize {
        match priority {
            PaidPriority::Urgent => self.urgent_len,
            PaidPriority::Background => self.background.len(),
        }
    }

    /// Adds a unit.
    ///
    /// If the queue is full, an urgent unit evicts the background unit with the
    /// latest deadline. The evicted item is returned, so that the caller can
    /// refuse it.
    ///
    /// # Errors
    ///
    /// Fails when the queue is full and there is no background unit to evict, or
    /// the new unit is a background unit itself.
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

    /// Removes and returns the next unit in scheduling order.
    ///
    /// If `background_allowed` is false, background units are skipped, except for
    /// a promoted unit while urgent units are queued: in that case the slots that
    /// are reserved for urgent work are used up anyway.
    pub fn pop(&mut self, now: Instant, background_allowed: bool) -> Option<WorkUnit<T>> {
        let has_urgent = self.urgent_len > 0;
        if (background_allowed || has_urgent) && self.may_take_promoted(now) {
            self.grants_since_promoted = 0;
            return self.pop_background();
        }
        if self.urgent_len > 0 {
            self.grants_since_promoted = self.grants_since_promoted.saturating_add(1);
            return self.pop_urgent();
        }
        if background_allowed {
            return self.pop_background();
        }
        None
    }

    /// Whether [`WorkQueue::pop`] would return a unit.
    pub fn has_next(&self, background_allowed: bool) -> bool {
        self.urgent_len > 0 || (background_allowed && !self.background.is_empty())
    }

    /// Removes a unit that is no longer to be served.
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

    /// Removes and returns all units.
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
        let virtual_time = self.virtual_time;
        let backlog = self.urgent.entry(unit.team).or_insert(TeamBacklog {
            pass: virtual_time,
            units: BTreeMap::new(),
        });
        if backlog.units.is_empty() {
            // An idle team must not accumulate credit for later grants.
            backlog.pass = backlog.pass.max(virtual_time);
        }
        backlog.units.insert(ticket, unit);
        self.urgent_len += 1;
    }

    /// Whether the first background unit is promoted and enough urgent units were
    /// granted since the last promoted one.
    fn may_take_promoted(&self, now: Instant) -> bool {
        if self.grants_since_promoted < GRANTS_PER_PROMOTED {
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
        self.virtual_time = backlog.pass;
        backlog.pass += STRIDE / u64::from(unit.weight.max(1));
        self.urgent_len -= 1;
        Some(unit)
    }

    fn pop_background(&mut self) -> Option<WorkUnit<T>> {
        let (_, unit) = self.background.pop_first()?;
        Some(unit)
    }
}
