//! All faults together, at random, while callers send requests: entries and stewards are killed
//! and frozen, the store is unavailable, slow or loses responses, runners fail and hang, the table
//! is edited, and VMs are moved.
//!
//! The invariants are checked on the records of the callers and the journals of the runners. The
//! seed is printed; `HOISTHITCH_SEED` sets another.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    env,
    rc::Rc,
    time::Duration, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_api::{
    MOVE_PATH,
    MoveCall, //
};
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    PoolPlan,
    TestRequest,
    cases,
    wait_until, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use serde_json::json;
use tokio::time::Instant;

/// Seed if `HOISTHITCH_SEED` sets none.
const SEED: u64 = 20_261_202;

/// Time for which faults are injected.
const TIME: Duration = Duration::from_secs(25);

/// Entries of the fleet.
const ENTRIES: usize = 3;

/// Runners of each of the two pools.
const RUNNERS: usize = 3;

/// Number of callers, a third of each kind.
const CALLERS: usize = 9;

cases! {
    nothing_runs_twice_or_crosses_over_while_all_fails => soak();
}

/// Outcomes that the callers got.
#[derive(Default)]
struct CallerLog {
    /// Requests that got the outcome `not-run` and were not sent again.
    not_run: BTreeSet<String>,
    /// Number of requests for each outcome.
    outcomes: BTreeMap<String, usize>,
    /// Wrong responses that the callers got.
    wrong_responses: Vec<String>,
}

type SharedLog = Rc<RefCell<CallerLog>>;

async fn soak() -> Result<()> {
    let seed = env::var("HOISTHITCH_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    println!("seed {seed}");
    let mut fleet = Fleet::start(FleetPlan {
        entries: ENTRIES,
        stewards: 2,
        pools: vec![
            PoolPlan::new("quotes", RUNNERS),
            PoolPlan::new("picking", RUNNERS),
        ],
        ..FleetPlan::default()
    })
    .await?;
    let log = SharedLog::default();
    let end = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| Caller::new(&fleet, number, &log, &end))
        .map(|caller| actix_rt::spawn(caller.run()))
        .collect();
    inject(&mut fleet, StdRng::seed_from_u64(seed)).await?;
    heal(&mut fleet).await?;
    end.set(true);
    for caller in callers {
        caller.await?;
    }
    let log = log.take();
    check_callers(&log)?;
    check_runs(&fleet, &log).await?;
    check_table(&fleet).await
}

/// A caller that sends one kind of request, through the entries in turn: bookings with a key,
/// posts without one, or repeatable requests.
struct Caller {
    urls: Vec<String>,
    number: usize,
    log: SharedLog,
    end: Rc<Cell<bool>>,
}

impl Caller {
    fn new(fleet: &Fleet, number: usize, log: &SharedLog, end: &Rc<Cell<bool>>) -> Self {
        let path = if number.is_multiple_of(2) {
            "/quotes/1"
        } else {
            "/picking/1"
        };
        Self {
            urls: (0..ENTRIES)
                .map(|entry| fleet.caller_url(entry, path))
                .collect(),
            number,
            log: log.clone(),
            end: end.clone(),
        }
    }

    async fn run(self) {
        let mut sent = 0;
        while !self.end.get() {
            sent += 1;
            let name = format!("k{}-{}-{sent}", self.number % 3, self.number);
            match self.number % 3 {
                0 => self.keyed(&name, sent).await,
                1 => self.unkeyed(&name, sent).await,
                _ => self.repeatable(&name, sent).await,
            }
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
    }

    /// Sends a booking, and repeats it with the same key through other entries until it ran, at
    /// most four times in all.
    async fn keyed(&self, name: &str, sent: usize) {
        for attempt in 0..4 {
            let request = self
                .post(name, sent + attempt)
                .header("idempotency-key", name);
            let outcome = self.send(request, name).await;
            if outcome == "ran" {
                return;
            }
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    async fn unkeyed(&self, name: &str, sent: usize) {
        let outcome = self.send(self.post(name, sent), name).await;
        if outcome == "not-run" {
            self.log.borrow_mut().not_run.insert(name.to_owned());
        }
    }

    async fn repeatable(&self, name: &str, sent: usize) {
        let url = &self.urls[sent % ENTRIES];
        let request = TestRequest::get(url).header("x-request-name", name);
        self.send(request.header("hoisthitch-deadline-ms", "2000"), name)
            .await;
    }

    fn post(&self, name: &str, turn: usize) -> TestRequest {
        TestRequest::post(&self.urls[turn % ENTRIES], name.as_bytes())
            .header("x-request-name", name)
            .header("x-work-us", "20000")
            .header("hoisthitch-deadline-ms", "2000")
    }

    async fn send(&self, request: TestRequest, name: &str) -> String {
        let sent = tokio::time::timeout(Duration::from_secs(10), request.send()).await;
        let (outcome, body) = match sent {
            Ok(Ok(response)) => {
                let whole = response.status == 200;
                let outcome = response.outcome().to_owned();
                (outcome, whole.then(|| response.text()))
            }
            Ok(Err(_)) => ("no-answer".to_owned(), None),
            Err(_) => ("frozen".to_owned(), None),
        };
        let mut log = self.log.borrow_mut();
        if let Some(body) = body
            && !body.is_empty()
            && body != name
        {
            log.wrong_responses
                .push(format!("{name} got the response {body}"));
        }
        *log.outcomes.entry(outcome.clone()).or_default() += 1;
        outcome
    }
}

/// Injects random faults, some of them overlapping, until the time is over.
async fn inject(fleet: &mut Fleet, mut random: StdRng) -> Result<()> {
    let start = Instant::now();
    while start.elapsed() < TIME {
        match random.random_range(0..11) {
            0 => {
                let entry = random.random_range(0..ENTRIES);
                fleet.start_entry(entry)?;
            }
            1 => {
                let entry = random.random_range(0..ENTRIES);
                fleet.entries[entry].signal("STOP")?;
                pause(&mut random, 500, 3_500).await;
                fleet.entries[entry].signal("CONT")?;
            }
            2 => fleet.start_steward(random.random_range(0..2))?,
            3 => {
                let steward = random.random_range(0..2);
                fleet.stewards[steward].signal("STOP")?;
                pause(&mut random, 200, 1_500).await;
                fleet.stewards[steward].signal("CONT")?;
            }
            4 => fleet.set_faults(json!({"outage": true})).await?,
            5 => {
                let delay = random.random_range(5..400);
                fleet.set_faults(json!({"delay_ms": delay})).await?;
            }
            6 => fleet.set_faults(json!({"lose_answers": 3})).await?,
            7 => fleet.set_faults(json!({"silent_watches": true})).await?,
            8 => {
                let runner = random.random_range(0..2 * RUNNERS);
                let mode = ["failing", "hanging", "healthy"][random.random_range(0..3)];
                fleet.set_runner_mode(runner, mode).await?;
            }
            9 => {
                let value = random.random_range(50..500_u32).to_string();
                // An entry that is down or has no store refuses the edit, which is allowed.
                let _ = fleet
                    .set_cell(
                        random.random_range(0..ENTRIES),
                        "quotes",
                        "queue_limit",
                        &value,
                    )
                    .await;
            }
            _ => {
                let vm = fleet
                    .runner_vm(random.random_range(0..2 * RUNNERS))
                    .to_owned();
                let to = ["quotes", "picking"][random.random_range(0..2)].to_owned();
                let _ = fleet
                    .operator_post(0, MOVE_PATH, &MoveCall { vm, to })
                    .await;
            }
        }
        pause(&mut random, 50, 700).await;
        if random.random_range(0..3) == 0 {
            fleet.set_faults(json!({})).await?;
        }
    }
    Ok(())
}

async fn pause(random: &mut StdRng, low_ms: u64, high_ms: u64) {
    let time = random.random_range(low_ms..high_ms);
    tokio::time::sleep(Duration::from_millis(time)).await;
}

/// Ends all faults and waits until every entry is ready.
async fn heal(fleet: &mut Fleet) -> Result<()> {
    fleet.set_faults(json!({})).await?;
    for runner in 0..2 * RUNNERS {
        fleet.set_runner_mode(runner, "healthy").await?;
    }
    for entry in 0..ENTRIES {
        wait_until("an entry to be ready", || async {
            let url = fleet.operator_url(entry, "/ready");
            let response = TestRequest::get(&url).send().await.ok()?;
            (response.status == 200).then_some(())
        })
        .await?;
    }
    Ok(())
}

fn check_callers(log: &CallerLog) -> Result<()> {
    println!("outcomes {:?}", log.outcomes);
    ensure!(log.wrong_responses.is_empty(), "{:?}", log.wrong_responses);
    let ran = log.outcomes.get("ran").copied().unwrap_or(0);
    ensure!(ran > 200, "only {ran} requests ran");
    Ok(())
}

async fn check_runs(fleet: &Fleet, log: &CallerLog) -> Result<()> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for runner in 0..2 * RUNNERS {
        let runs = fleet.journal(runner).await?;
        for run in &runs {
            *counts.entry(run.name.clone()).or_default() += 1;
        }
        let mut spans: Vec<(u64, u64, &str)> = runs
            .iter()
            .map(|run| {
                (
                    run.start_us,
                    run.end_us.unwrap_or(run.start_us),
                    run.path.as_str(),
                )
            })
            .collect();
        spans.sort_unstable();
        let mut open: Option<(u64, &str)> = None;
        for (start, end, path) in spans {
            if let Some((busy, other)) = open {
                ensure!(
                    other == path || busy <= start,
                    "runner {runner} served two pools at once"
                );
            }
            let busy = open
                .filter(|(_, other)| *other == path)
                .map_or(0, |(busy, _)| busy);
            open = Some((busy.max(end), path));
        }
    }
    // Names that begin with k0 are bookings with a key, those with k1 are posts sent once, and
    // those with k2 are repeatable requests.
    let once = counts.iter().filter(|(name, _)| !name.starts_with("k2"));
    let twice: Vec<_> = once.filter(|(_, count)| **count > 1).collect();
    ensure!(twice.is_empty(), "ran more than once: {twice:?}");
    let false_not_run: Vec<_> = log
        .not_run
        .iter()
        .filter(|name| counts.contains_key(*name))
        .collect();
    ensure!(
        false_not_run.is_empty(),
        "outcome not-run, but ran: {false_not_run:?}"
    );
    Ok(())
}

async fn check_table(fleet: &Fleet) -> Result<()> {
    let stored = fleet.stored_table().await?;
    for entry in 0..ENTRIES {
        fleet.wait_for_revision(entry, stored.revision).await?;
        ensure!(fleet.table(entry).await?.pools == stored.pools);
    }
    Ok(())
}
