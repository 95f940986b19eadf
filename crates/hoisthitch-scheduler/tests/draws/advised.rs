//! Jobs on a queue with an adviser that permits few runners: short ones, long-running ones, and one
//! that fits on no runner. Tickets end soon, starts get no answer, runners crash and owners are
//! restarted. Once the faults are over, each job that fits is done or runs: no task waits for good
//! for a ticket, nor for a start that will not be carried out.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::IndexedRandom, //
};

use super::{
    check_invariants,
    restart_owner,
    run_seeds, //
};
use crate::world::{
    TestWorld,
    codec::advised_queue,
    job,
    lasting,
    sleep_ms, //
};

/// Number of VMs; each has one runner.
const VMS: usize = 6;

/// CPU capacity of a VM, in thousandths of a core.
const CAPACITY_MILLI: u64 = 8_000;

/// Least number of VMs whose runners the adviser permits.
const PERMITTED_MIN: usize = 2;

/// Steps of a history; each submits a job and injects a fault.
const STEPS: usize = 10;

/// Time after the last fault within which every task that fits has to run, in milliseconds:
/// `finish_s` of the users' bounds.
const START_LIMIT_MS: u64 = 14_000;

/// Time within which each job has to be completed after that, in milliseconds.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn advised_jobs_that_fit_run_after_faults() -> Result<()> {
    run_seeds(history)
}

/// Submits jobs to the advised queue while faults are injected.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, VMS).await?;
    let adviser = world.fleet.adviser();
    let vms: Vec<String> = (0..VMS).map(|number| format!("vm-{number}")).collect();
    let count = rng.random_range(PERMITTED_MIN..=VMS);
    let permitted = vms.choose_multiple(&mut rng, count);
    let permitted: Vec<&str> = permitted.map(String::as_str).collect();
    adviser.set_good(&permitted);
    adviser.set_validity(Duration::from_millis(rng.random_range(500..3_000)));
    let (mut jobs, mut long_running) = (Vec::new(), Vec::new());
    for number in 0..STEPS {
        inject_fault(&mut world, &mut rng).await?;
        let id = format!("j{number}");
        let spec = if number == 1 {
            // A step without room on any runner.
            let mut spec = job("work 300", &[1]);
            spec.steps[0].need.cpu_milli = CAPACITY_MILLI + 1;
            spec
        } else if rng.random_bool(0.5) {
            let spec = lasting(1, rng.random_range(0..2));
            long_running.push(id.clone());
            spec
        } else {
            let work = format!("work {}", rng.random_range(300..2_000));
            jobs.push(id.clone());
            job(&work, &[rng.random_range(1..4)])
        };
        world.submit_to(&advised_queue(), &id, spec).await?;
        sleep_ms(rng.random_range(0..1_500)).await;
    }
    clear_faults(&world);
    sleep_ms(START_LIMIT_MS).await;
    let running = world.fleet.running();
    for id in &long_running {
        let task = format!("{id}.0.0.0");
        ensure!(running.contains(&task), "{task} waits: {running:?}");
    }
    for id in &jobs {
        world
            .wait_phase(id, JobPhase::Completed, COMPLETION_LIMIT_MS)
            .await?;
    }
    check_invariants(&world)
}

/// Injects one random fault, or clears all of them.
async fn inject_fault(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    let living = world.fleet.living();
    let (runner, vm) = living[rng.random_range(0..living.len())].clone();
    match rng.random_range(0..8) {
        0..3 => {
            let late_by = Duration::from_millis(rng.random_range(0..9_000));
            world.fleet.set_late_by(late_by);
            world.fleet.set_late(rng.random_range(1..4));
        }
        3 => {
            world.fleet.crash(&runner);
            sleep_ms(rng.random_range(0..3_000)).await;
            world.begin_runner(&vm);
        }
        4 => {
            let (planned, down_ms) = (rng.random_bool(0.5), rng.random_range(50..1_500));
            restart_owner(world, planned, down_ms).await?;
        }
        5 => {
            let capacity = rng.random_range(1_000..CAPACITY_MILLI);
            world.set_room(&runner, &vm, capacity);
        }
        _ => clear_faults(world),
    }
    Ok(())
}

/// Ends the faults of starts and of capacities.
fn clear_faults(world: &TestWorld) {
    world.fleet.set_late(0);
    for (runner, vm) in world.fleet.living() {
        world.set_room(&runner, &vm, CAPACITY_MILLI);
    }
}
