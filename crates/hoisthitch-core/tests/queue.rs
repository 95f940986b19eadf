//! The queue compared with a reference model: a list that is searched as a whole
//! for each operation.

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

/// Urgent grants between two promoted background requests.
const GRANTS_PER_PROMOTED: u32 = 8;

/// Weights of the teams of a history.
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

/// Reference model: the rules of the queue, applied to a list.
struct ModelQueue {
    units: Vec<ModelUnit>,
    passes: Vec<u64>,
    virtual_time: u64,
    grants_since_promoted: u32,
    limits: QueueLimits,
}

#[derive(Clone, Copy, Debug)]
struct ModelUnit {
    number: usize,
    urgent: bool,
    team: usize,
    deadline: Instant,
}

impl ModelQueue {
    fn push(&mut self, unit: ModelUnit) -> Result<Option<usize>, ()> {
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
            self.passes[unit.team] = self.passes[unit.team].max(self.virtual_time);
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
            due && competes && self.grants_since_promoted >= GRANTS_PER_PROMOTED
        });
        let chosen = if let Some(unit) = promoted {
            self.grants_since_promoted = 0;
            unit
        } else if let Some(unit) = self.next_urgent() {
            self.grants_since_promoted += 1;
            self.virtual_time = self.passes[unit.team];
            self.passes[unit.team] += (1 << 20) / u64::from(WEIGHTS[unit.team]);
            unit
        } else {
            first.filter(|_| background_allowed)?
        };
        self.units.retain(|unit| unit.number != chosen.number);
        Some(chosen.number)
    }

    fn next_urgent(&self) -> Option<ModelUnit> {
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

/// Runs a history on the queue and the model; whether all results were the same.
fn results_match(steps: &[Step]) -> bool {
    let start = Instant::now();
    let mut now = start;
    let teams = teams();
    let mut queue = WorkQueue::new(limits());
    let mut model = ModelQueue {
        units: Vec::new(),
        passes: vec![0; WEIGHTS.len()],
        virtual_time: 0,
        grants_since_promoted: GRANTS_PER_PROMOTED,
        limits: limits(),
    };
    let mut tickets = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        let matches = match *step {
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
                let expected = model.push(ModelUnit {
                    number,
                    urgent,
                    team,
                    deadline,
                });
                match (pushed, expected) {
                    (Ok((ticket, evicted)), Ok(expected)) => {
                        tickets.push((number, ticket, priority, teams[team], deadline));
                        evicted == expected
                    }
                    (Err(_), Err(())) => true,
                    _ => false,
                }
            }
            Step::Pop { background_allowed } => {
                let has_next = queue.has_next(background_allowed);
                let popped = queue.pop(now, background_allowed).map(|unit| unit.item);
                has_next == popped.is_some() && popped == model.pop(now, background_allowed)
            }
            Step::Remove(index) if !tickets.is_empty() => {
                let (number, ticket, priority, team, deadline) = tickets[index % tickets.len()];
                let removed = queue.remove(ticket, priority, team, deadline).is_some();
                let held = model.units.iter().any(|unit| unit.number == number);
                model.units.retain(|unit| unit.number != number);
                removed == held
            }
            Step::Remove(_) => true,
            Step::Wait(ms) => {
                now += Duration::from_millis(ms);
                true
            }
        };
        if !matches || queue.len() != model.units.len() {
            return false;
        }
    }
    true
}

quickcheck! {
    fn queue_matches_the_model(steps: Vec<Step>) -> bool {
        results_match(&steps)
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
