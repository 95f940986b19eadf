//! The queue against a naive version: a list that is searched whole each time.

use std::time::{
    Duration,
    Instant, //
};

use hoisthitch_core::{
    PaidPriority,
    QueueLimits,
    TeamKey,
    WorkQueue,
    WorkUnit, //
};
use quickcheck::{
    Arbitrary,
    Gen,
    quickcheck, //
};
use slotmap::SlotMap;

/// Grants of which one may go to promoted background work.
const PROMOTED_TURN: u32 = 8;

/// Teams of a history, with the weights 1, 2 and 4.
const WEIGHTS: [u32; 3] = [1, 2, 4];

/// One step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Push {
        urgent: bool,
        team: usize,
        deadline_ms: u64,
    },
    Pop {
        background_allowed: bool,
    },
    Remove(usize),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Push {
                urgent: bool::arbitrary(g),
                team: usize::arbitrary(g) % WEIGHTS.len(),
                deadline_ms: u64::arbitrary(g) % 500,
            },
            4..=5 => Self::Pop {
                background_allowed: u8::arbitrary(g) % 4 > 0,
            },
            6 => Self::Remove(usize::arbitrary(g)),
            _ => Self::Wait(u64::arbitrary(g) % 100),
        }
    }
}

/// The naive version: the rules, one by one, over a list.
struct NaiveQueue {
    units: Vec<NaiveUnit>,
    passes: Vec<u64>,
    clock: u64,
    since_promoted: u32,
    limits: QueueLimits,
}

#[derive(Clone, Copy, Debug)]
struct NaiveUnit {
    number: usize,
    urgent: bool,
    team: usize,
    deadline: Instant,
}

impl NaiveQueue {
    fn push(&mut self, unit: NaiveUnit) -> Result<Option<usize>, ()> {
        let mut evicted = None;
        if self.units.len() >= self.limits.capacity {
            let background = self.units.iter().filter(|unit| !unit.urgent);
            let last = background.max_by_key(|unit| (unit.deadline, unit.number));
            let last = last.copied().filter(|_| unit.urgent).ok_or(())?;
            self.units.retain(|other| other.number != last.number);
            evicted = Some(last.number);
        }
        let idle = !self
            .units
            .iter()
            .any(|other| other.urgent && other.team == unit.team);
        if unit.urgent && idle {
            self.passes[unit.team] = self.passes[unit.team].max(self.clock);
        }
        self.units.push(unit);
        Ok(evicted)
    }

    fn pop(&mut self, now: Instant, background_allowed: bool) -> Option<usize> {
        let background = self.units.iter().filter(|unit| !unit.urgent);
        let first = background
            .min_by_key(|unit| (unit.deadline, unit.number))
            .copied();
        let promoted = first.filter(|unit| {
            let left = unit.deadline.saturating_duration_since(now);
            let competes = background_allowed || self.units.iter().any(|unit| unit.urgent);
            let due = left <= self.limits.promote_within;
            due && competes && self.since_promoted >= PROMOTED_TURN
        });
        let chosen = if let Some(unit) = promoted {
            self.since_promoted = 0;
            unit
        } else if let Some(unit) = self.next_urgent() {
            self.since_promoted += 1;
            self.clock = self.passes[unit.team];
            self.passes[unit.team] += (1 << 20) / u64::from(WEIGHTS[unit.team]);
            unit
        } else {
            first.filter(|_| background_allowed)?
        };
        self.units.retain(|unit| unit.number != chosen.number);
        Some(chosen.number)
    }

    fn next_urgent(&self) -> Option<NaiveUnit> {
        let urgent = self.units.iter().filter(|unit| unit.urgent);
        urgent
            .min_by_key(|unit| (self.passes[unit.team], unit.team, unit.number))
            .copied()
    }
}

fn limits() -> QueueLimits {
    QueueLimits {
        capacity: 12,
        promote_within: Duration::from_millis(60),
    }
}

fn teams() -> Vec<TeamKey> {
    let mut arena = SlotMap::with_key();
    WEIGHTS.iter().map(|_| arena.insert(())).collect()
}

/// Plays a history on both; whether all answers were the same.
fn plays_alike(steps: &[Step]) -> bool {
    let start = Instant::now();
    let mut now = start;
    let teams = teams();
    let mut queue = WorkQueue::new(limits());
    let mut naive = NaiveQueue {
        units: Vec::new(),
        passes: vec![0; WEIGHTS.len()],
        clock: 0,
        since_promoted: PROMOTED_TURN,
        limits: limits(),
    };
    let mut tickets = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        let alike = match *step {
            Step::Push {
                urgent,
                team,
                deadline_ms,
            } => {
                let deadline = now + Duration::from_millis(deadline_ms);
                let priority = if urgent {
                    PaidPriority::Urgent
                } else {
                    PaidPriority::Background
                };
                let pushed = queue.push(WorkUnit {
                    item: number,
                    priority,
                    team: teams[team],
                    weight: WEIGHTS[team],
                    deadline,
                });
                let wanted = naive.push(NaiveUnit {
                    number,
                    urgent,
                    team,
                    deadline,
                });
                match (pushed, wanted) {
                    (Ok((ticket, evicted)), Ok(wanted)) => {
                        tickets.push((number, ticket, priority, teams[team], deadline));
                        evicted == wanted
                    }
                    (Err(_), Err(())) => true,
                    _ => false,
                }
            }
            Step::Pop { background_allowed } => {
                let announced = queue.has_next(background_allowed);
                let popped = queue.pop(now, background_allowed).map(|unit| unit.item);
                announced == popped.is_some() && popped == naive.pop(now, background_allowed)
            }
            Step::Remove(index) if !tickets.is_empty() => {
                let (number, ticket, priority, team, deadline) = tickets[index % tickets.len()];
                let removed = queue.remove(ticket, priority, team, deadline).is_some();
                let held = naive.units.iter().any(|unit| unit.number == number);
                naive.units.retain(|unit| unit.number != number);
                removed == held
            }
            Step::Remove(_) => true,
            Step::Wait(ms) => {
                now += Duration::from_millis(ms);
                true
            }
        };
        if !alike || queue.len() != naive.units.len() {
            return false;
        }
    }
    true
}

quickcheck! {
    fn queue_does_as_the_naive_one(steps: Vec<Step>) -> bool {
        plays_alike(&steps)
    }

    fn teams_get_their_weights(rounds: u8) -> bool {
        let teams = teams();
        let mut queue = WorkQueue::new(QueueLimits { capacity: usize::MAX, ..limits() });
        let now = Instant::now();
        let rounds = usize::from(rounds) + 1;
        for _ in 0..rounds * 7 {
            for (team, weight) in teams.iter().zip(WEIGHTS) {
                let _ = queue.push(WorkUnit {
                    item: *team,
                    priority: PaidPriority::Urgent,
                    team: *team,
                    weight,
                    deadline: now + Duration::from_secs(1),
                });
            }
        }
        let mut counts = [0_usize; 3];
        for _ in 0..rounds * 7 {
            let served = queue.pop(now, true).map(|unit| unit.item);
            let index = teams.iter().position(|team| Some(*team) == served);
            counts[index.unwrap()] += 1;
        }
        let fits = |(count, weight): (usize, u32)| count.abs_diff(rounds * weight as usize) <= 2;
        counts.into_iter().zip(WEIGHTS).all(fits)
    }
}
