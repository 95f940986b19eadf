//! An adviser in memory: it decides which runners may run a step, and issues tickets for them.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration, //
};

use hoisthitch_jobs::{
    AdviceRequest,
    AdviceTicket,
    StartOrder, //
};
use hoisthitch_scheduler::platform::{
    AdviceResponse,
    AdviceSource, //
};
use tokio::time::Instant;

use super::{
    MemoryFleet,
    rules::step_name, //
};

/// Time after which a caller's request times out.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Most requests that may be in progress at once; further ones get status 429.
const WAITING_LIMIT: usize = 32;

/// How the adviser responds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdviserBehaviour {
    /// After a time for the request and a time for each runner named in it.
    Answers {
        /// Time for the request.
        call: Duration,
        /// Time for each runner named.
        each: Duration,
    },
    /// Never.
    Silent,
    /// It refuses at once with status 429, as with too many waiting requests.
    Crowded,
}

/// Tickets that the adviser has issued, and how it responds.
pub(super) struct AdviserState {
    mood: AdviserBehaviour,
    valid: Duration,
    /// VMs whose runners are allowed to run the steps.
    good: HashSet<String>,
    /// Issued tickets by step and runner, each with its expiry.
    tickets: HashMap<(String, String), HashMap<String, Instant>>,
    given: u64,
    calls: u64,
    waiting: usize,
    most_waiting: usize,
    /// Starts that were refused for lack of a valid ticket.
    refused: u64,
}

impl Default for AdviserState {
    fn default() -> Self {
        Self {
            mood: AdviserBehaviour::Answers {
                call: Duration::from_millis(40),
                each: Duration::from_millis(5),
            },
            valid: Duration::from_secs(1),
            good: HashSet::new(),
            tickets: HashMap::new(),
            given: 0,
            calls: 0,
            waiting: 0,
            most_waiting: 0,
            refused: 0,
        }
    }
}

impl AdviserState {
    /// Whether the order's ticket is valid for its step on that runner.
    pub(super) fn check_ticket(&mut self, runner: &str, order: &StartOrder, now: Instant) -> bool {
        let key = (step_name(order), runner.to_owned());
        let tickets = self.tickets.get(&key);
        let until = tickets.and_then(|tickets| tickets.get(&order.ticket));
        let holds = until.is_some_and(|until| *until > now);
        self.refused += u64::from(!holds);
        holds
    }

    fn give(&mut self, step: &str, runner: &str, now: Instant) -> AdviceTicket {
        self.given += 1;
        let ticket = format!("ticket-{}", self.given);
        let key = (step.to_owned(), runner.to_owned());
        let tickets = self.tickets.entry(key).or_default();
        tickets.insert(ticket.clone(), now + self.valid);
        AdviceTicket {
            runner: runner.to_owned(),
            ticket,
        }
    }
}

/// The adviser, as a node calls it.
#[derive(Clone)]
pub struct MemoryAdviser {
    fleet: MemoryFleet,
}

impl MemoryFleet {
    /// The fleet's adviser.
    pub fn adviser(&self) -> MemoryAdviser {
        MemoryAdviser {
            fleet: self.clone(),
        }
    }
}

impl MemoryAdviser {
    /// Changes how the adviser responds.
    pub fn set_behaviour(&self, mood: AdviserBehaviour) {
        self.fleet.state.borrow_mut().rules.adviser.mood = mood;
    }

    /// Changes for how long new tickets are valid.
    pub fn set_validity(&self, valid: Duration) {
        self.fleet.state.borrow_mut().rules.adviser.valid = valid;
    }

    /// Sets the VMs whose runners are allowed to run the steps.
    pub fn set_good(&self, vms: &[&str]) {
        let good = vms.iter().map(|vm| (*vm).to_owned()).collect();
        self.fleet.state.borrow_mut().rules.adviser.good = good;
    }

    /// Revokes all tickets issued so far.
    pub fn revoke(&self) {
        self.fleet.state.borrow_mut().rules.adviser.tickets.clear();
    }

    /// Number of requests so far.
    pub fn calls(&self) -> u64 {
        self.fleet.state.borrow().rules.adviser.calls
    }

    /// Number of starts that were refused for lack of a valid ticket.
    pub fn refused(&self) -> u64 {
        self.fleet.state.borrow().rules.adviser.refused
    }

    /// Most requests that were in progress at once.
    pub fn most_waiting(&self) -> usize {
        self.fleet.state.borrow().rules.adviser.most_waiting
    }

    fn begin_call(&self) -> Result<AdviserBehaviour, String> {
        let mut state = self.fleet.state.borrow_mut();
        let adviser = &mut state.rules.adviser;
        adviser.calls += 1;
        if adviser.waiting >= WAITING_LIMIT || adviser.mood == AdviserBehaviour::Crowded {
            return Err("status 429".to_owned());
        }
        adviser.waiting += 1;
        adviser.most_waiting = adviser.most_waiting.max(adviser.waiting);
        Ok(adviser.mood)
    }

    fn answer(&self, request: &AdviceRequest) -> AdviceResponse {
        let now = Instant::now();
        let mut guard = self.fleet.state.borrow_mut();
        let state = &mut *guard;
        let adviser = &mut state.rules.adviser;
        let runners = &state.runners;
        let good = request.runners.iter().filter(|name| {
            let instance = runners.get(*name).filter(|instance| instance.alive);
            instance.is_some_and(|instance| adviser.good.contains(&instance.vm))
        });
        let good: Vec<&String> = good.collect();
        let tickets = good
            .into_iter()
            .map(|name| adviser.give(&request.step, name, now));
        AdviceResponse {
            tickets: tickets.collect(),
            valid_for: adviser.valid,
        }
    }
}

impl AdviceSource for MemoryAdviser {
    async fn advise(&self, request: &AdviceRequest) -> Result<AdviceResponse, String> {
        let mood = self.begin_call()?;
        let answer = match mood {
            AdviserBehaviour::Answers { call, each } => {
                let count = u32::try_from(request.runners.len()).unwrap_or(u32::MAX);
                let time = call + each * count;
                tokio::time::sleep(time.min(CALL_TIMEOUT)).await;
                if time < CALL_TIMEOUT {
                    Ok(self.answer(request))
                } else {
                    Err("no answer".to_owned())
                }
            }
            AdviserBehaviour::Silent | AdviserBehaviour::Crowded => {
                tokio::time::sleep(CALL_TIMEOUT).await;
                Err("no answer".to_owned())
            }
        };
        self.fleet.state.borrow_mut().rules.adviser.waiting -= 1;
        answer
    }
}
