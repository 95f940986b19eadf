//! Invariants of the slot ledger over random histories: no runner has more
//! requests than its limit, no request goes to a draining runner, and no more
//! runners are ejected than the budget allows.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use hoisthitch_core::{
    RunnerHealth,
    RunnerKey,
    SlotLedger, //
};
use quickcheck::{
    Arbitrary,
    Gen,
    quickcheck, //
};

/// Number of runners in a history.
const RUNNERS: usize = 4;

/// Largest number of runners that may be ejected at a time.
const EJECT_CAP: usize = 2;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Take,
    GiveBack(usize, Option<bool>),
    SetLimit(usize, u32),
    SetLeaving(usize, bool),
    Forget(usize),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let runner = usize::arbitrary(g) % RUNNERS;
        match u8::arbitrary(g) % 12 {
            0..=4 => Self::Take,
            5..=7 => Self::GiveBack(usize::arbitrary(g), Option::arbitrary(g)),
            8 => Self::SetLimit(runner, u32::arbitrary(g) % 4),
            9 => Self::SetLeaving(runner, bool::arbitrary(g)),
            10 => Self::Forget(runner),
            _ => Self::Wait(u64::arbitrary(g) % 2_000),
        }
    }
}

fn address(runner: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + runner as u16))
}

/// Reference model of a runner.
#[derive(Clone, Copy, Debug, Default)]
struct ModelRunner {
    limit: u32,
    leaving: bool,
}

fn limits_hold(steps: &[Step]) -> bool {
    let mut now = Instant::now();
    let mut ledger = SlotLedger::default();
    ledger.set_eject_cap(EJECT_CAP);
    let mut model = BTreeMap::new();
    let mut held: Vec<(RunnerKey, usize)> = Vec::new();
    for runner in 0..RUNNERS {
        ledger.put(&format!("vm-{runner}"), address(runner), 2, false);
        model.insert(
            runner,
            ModelRunner {
                limit: 2,
                leaving: false,
            },
        );
    }
    for step in steps {
        match *step {
            Step::Take => {
                if let Some(key) = ledger.take(now, None) {
                    let Some(slots) = ledger.get(key) else {
                        return false;
                    };
                    let port = slots.address.port();
                    let runner = usize::from(port - 9_000);
                    let count = held.iter().filter(|(_, other)| *other == runner).count();
                    let known = model.get(&runner).copied().unwrap_or_default();
                    if known.leaving || count as u32 >= known.limit {
                        return false;
                    }
                    held.push((key, runner));
                }
            }
            Step::GiveBack(index, healthy) if !held.is_empty() => {
                let (key, _) = held.swap_remove(index % held.len());
                ledger.release(key, healthy, now);
            }
            Step::GiveBack(..) => {}
            Step::SetLimit(runner, limit) => {
                let leaving = model.get(&runner).is_some_and(|known| known.leaving);
                ledger.put(&format!("vm-{runner}"), address(runner), limit, leaving);
                model.insert(runner, ModelRunner { limit, leaving });
            }
            Step::SetLeaving(runner, leaving) => {
                ledger.set_leaving(&format!("vm-{runner}"), leaving);
                if let Some(known) = model.get_mut(&runner) {
                    known.leaving = leaving;
                }
            }
            Step::Forget(runner) => {
                model.remove(&runner);
                ledger.retain(|slots| model.keys().any(|kept| slots.address == address(*kept)));
            }
            Step::Wait(ms) => now += Duration::from_millis(ms),
        }
        let ejected = ledger
            .iter()
            .filter(|slots| slots.health != RunnerHealth::Healthy);
        if ejected.count() > EJECT_CAP || ledger.in_flight() as usize != held.len() {
            return false;
        }
    }
    true
}

quickcheck! {
    fn ledger_keeps_its_limits(steps: Vec<Step>) -> bool {
        limits_hold(&steps)
    }
}

#[test]
fn ejected_runner_is_probed_and_returns() {
    let start = Instant::now();
    let mut ledger = SlotLedger::default();
    ledger.set_eject_cap(1);
    ledger.put("vm-0", address(0), 1, false);
    ledger.put("vm-1", address(1), 0, false);
    for _ in 0..3 {
        let key = ledger.take(start, None).unwrap();
        ledger.release(key, Some(false), start);
    }
    assert_eq!(ledger.take(start, None), None);
    let later = start + Duration::from_millis(500);
    let probe = ledger.take(later, None).unwrap();
    assert_eq!(ledger.take(later, None), None);
    ledger.release(probe, Some(true), later);
    assert!(ledger.take(later, None).is_some());
}
