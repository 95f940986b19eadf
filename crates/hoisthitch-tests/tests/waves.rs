//! Maintenance waves: the availability budget is kept at all times, and waves end, while stewards,
//! the store and VMs fail.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_api::{
    WAVE_STATE_PATH,
    WAVES_PATH,
    WaveAnswer,
    WaveCall,
    WaveStateCall, //
};
use hoisthitch_core::{
    AssignmentState,
    WaveState, //
};
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    PoolPlan,
    SteadyLoad,
    cases,
    wait_until, //
};
use serde_json::json;
use tokio::task::JoinHandle;

/// Runners of the pool, in two racks of four.
const RUNNERS: usize = 8;

/// VMs that may be absent at once.
const BUDGET: usize = 2;

/// Name of the wave in each test.
const WAVE: &str = "kernel-1";

cases! {
    wave_under_load_keeps_the_budget => under_load();
    stewards_killed_at_any_step_finish_the_wave => stewards_killed();
    unplanned_losses_count_against_the_budget => losses_count();
    lost_rack_pauses_the_wave => rack_lost();
    vm_that_does_not_come_back_keeps_its_permit => not_back();
    store_outage_stops_drains_and_loses_none => store_out();
    paused_wave_drains_no_more_and_resumes => paused();
    cancelled_wave_returns_what_it_drained => cancelled();
}

async fn fleet_with(stewards: usize) -> Result<Fleet> {
    let mut pool = PoolPlan::new("quotes", RUNNERS);
    pool.row.max_absent = u32::try_from(BUDGET)?;
    let fleet = Fleet::start(FleetPlan {
        stewards,
        pools: vec![pool],
        ..FleetPlan::default()
    })
    .await?;
    fleet.set_list(json!({"reboot_ms": 200})).await?;
    Ok(fleet)
}

async fn start_wave(fleet: &Fleet) -> Result<()> {
    let call = WaveCall {
        name: WAVE.to_owned(),
        pools: Vec::new(),
    };
    let response = fleet.operator_post(0, WAVES_PATH, &call).await?;
    ensure!(response.status == 200, "{}", response.text());
    Ok(())
}

async fn set_state(fleet: &Fleet, state: WaveState) -> Result<()> {
    let call = WaveStateCall {
        name: WAVE.to_owned(),
        state,
    };
    let response = fleet.operator_post(0, WAVE_STATE_PATH, &call).await?;
    ensure!(response.status == 200, "{}", response.text());
    Ok(())
}

async fn wave(fleet: &Fleet) -> Result<WaveAnswer> {
    let mut waves: Vec<WaveAnswer> = fleet.operator_get(0, WAVES_PATH).await?.json()?;
    ensure!(waves.len() == 1);
    Ok(waves.remove(0))
}

async fn wait_done(fleet: &Fleet, count: usize) -> Result<()> {
    wait_until("the wave to get so far", || async {
        let wave = wave(fleet).await.ok()?;
        (wave.progress.done >= count).then_some(())
    })
    .await
}

async fn absent(fleet: &Fleet) -> Result<usize> {
    let assignments = fleet.stored_assignments().await?;
    let leaving = |state| state == AssignmentState::Leaving;
    Ok(assignments
        .iter()
        .filter(|found| leaving(found.state))
        .count())
}

/// Checks all the time that the budget is kept; reports the most VMs that were absent at once.
struct BudgetWatch {
    end: Rc<Cell<bool>>,
    task: JoinHandle<Result<usize>>,
}

impl BudgetWatch {
    fn start(fleet: &Rc<Fleet>) -> Self {
        let end = Rc::new(Cell::new(false));
        let (seen, fleet) = (end.clone(), fleet.clone());
        let task = actix_rt::spawn(async move {
            let mut most = 0;
            while !seen.get() {
                // The read may fail while a test injects faults of the store.
                if let Ok(absent) = absent(&fleet).await {
                    ensure!(absent <= BUDGET, "{absent} VMs were absent");
                    most = most.max(absent);
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            Ok(most)
        });
        Self { end, task }
    }

    async fn stop(self) -> Result<usize> {
        self.end.set(true);
        self.task.await?
    }
}

async fn ensure_rebooted_once(fleet: &Fleet) -> Result<()> {
    let listed = fleet.listed().await?;
    let runners = listed
        .iter()
        .filter(|listed| listed.vm.starts_with("quotes"));
    for listed in runners {
        ensure!(
            listed.boots == 2,
            "{} was started {} times",
            listed.vm,
            listed.boots
        );
    }
    Ok(())
}

async fn under_load() -> Result<()> {
    let fleet = Rc::new(fleet_with(1).await?);
    let urls = (0..6)
        .map(|n| fleet.caller_url(n % 2, "/quotes/1"))
        .collect();
    let load = SteadyLoad::start(urls, 20_000);
    let watch = BudgetWatch::start(&fleet);
    start_wave(&fleet).await?;
    wait_done(&fleet, RUNNERS).await?;
    ensure!(watch.stop().await? == BUDGET, "the budget was not used");
    ensure!(load.stop().await? > 50);
    ensure_rebooted_once(&fleet).await
}

async fn stewards_killed() -> Result<()> {
    let mut fleet = fleet_with(2).await?;
    start_wave(&fleet).await?;
    for round in 0..12 {
        tokio::time::sleep(Duration::from_millis(10 + 20 * round)).await;
        ensure!(absent(&fleet).await? <= BUDGET);
        for steward in 0..2 {
            fleet.start_steward(steward)?;
        }
    }
    let fleet = Rc::new(fleet);
    let watch = BudgetWatch::start(&fleet);
    wait_done(&fleet, RUNNERS).await?;
    watch.stop().await?;
    wait_until("all permits to be returned", || async {
        let ledger = fleet.permits("quotes").await.ok()?;
        ledger.permits.is_empty().then_some(())
    })
    .await?;
    ensure_rebooted_once(&fleet).await
}

async fn losses_count() -> Result<()> {
    let fleet = fleet_with(1).await?;
    // One VM in each rack, so that neither rack counts as lost.
    fleet.unlist_runner(0).await?;
    fleet.unlist_runner(4).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    start_wave(&fleet).await?;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    ensure!(absent(&fleet).await? == 0, "drained beside two lost VMs");
    fleet.relist_runner(0).await?;
    fleet.relist_runner(4).await?;
    wait_done(&fleet, RUNNERS).await
}

async fn rack_lost() -> Result<()> {
    let fleet = fleet_with(1).await?;
    start_wave(&fleet).await?;
    wait_done(&fleet, 1).await?;
    for runner in 4..8 {
        fleet.unlist_runner(runner).await?;
    }
    let paused = wait_until("the wave to pause", || async {
        let wave = wave(&fleet).await.ok()?;
        (wave.state == WaveState::Paused).then_some(wave)
    })
    .await?;
    ensure!(paused.reason.contains("rack-1"), "{}", paused.reason);
    Ok(())
}

async fn not_back() -> Result<()> {
    let fleet = fleet_with(1).await?;
    let plan = json!({"reboot_ms": 100, "lost": ["quotes-1", "quotes-2"]});
    fleet.set_list(plan).await?;
    start_wave(&fleet).await?;
    wait_until("both VMs to be waited for", || async {
        let wave = wave(&fleet).await.ok()?;
        (wave.absent == ["quotes-1", "quotes-2"]).then_some(())
    })
    .await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let ledger = fleet.permits("quotes").await?;
    ensure!(
        ledger.permits.len() == BUDGET,
        "{} permits",
        ledger.permits.len()
    );
    ensure!(wave(&fleet).await?.progress.done == 0);
    Ok(())
}

async fn store_out() -> Result<()> {
    let fleet = fleet_with(1).await?;
    start_wave(&fleet).await?;
    wait_done(&fleet, 2).await?;
    fleet.set_faults(json!({"outage": true})).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.set_faults(json!({})).await?;
    ensure!(absent(&fleet).await? <= BUDGET);
    wait_done(&fleet, RUNNERS).await?;
    ensure_rebooted_once(&fleet).await
}

async fn paused() -> Result<()> {
    let fleet = fleet_with(1).await?;
    start_wave(&fleet).await?;
    wait_done(&fleet, 1).await?;
    set_state(&fleet, WaveState::Paused).await?;
    wait_until("the drained VMs to be back", || async {
        (absent(&fleet).await.ok()? == 0).then_some(())
    })
    .await?;
    let done = wave(&fleet).await?.progress.done;
    ensure!(done < RUNNERS, "the wave was done before it was paused");
    tokio::time::sleep(Duration::from_millis(800)).await;
    ensure!(wave(&fleet).await?.progress.done == done);
    set_state(&fleet, WaveState::Running).await?;
    wait_done(&fleet, RUNNERS).await
}

async fn cancelled() -> Result<()> {
    let fleet = fleet_with(1).await?;
    start_wave(&fleet).await?;
    wait_done(&fleet, 1).await?;
    set_state(&fleet, WaveState::Cancelled).await?;
    wait_until("the drained VMs to be back", || async {
        (absent(&fleet).await.ok()? == 0).then_some(())
    })
    .await?;
    let call = WaveStateCall {
        name: WAVE.to_owned(),
        state: WaveState::Running,
    };
    let response = fleet.operator_post(0, WAVE_STATE_PATH, &call).await?;
    ensure!(response.status == 409, "a cancelled wave was resumed");
    Ok(())
}
