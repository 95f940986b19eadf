//! Runners behind a cut that resets: a firewall resets their open connections and refuses new
//! ones, while they go on with what they run.
//!
//! The failure: half a second after such a cut all tasks of the runner were started elsewhere,
//! while their first runs went on for up to five seconds. Two refused connections in a row
//! counted as the end of the runner's process, and its tasks were released before its lease was
//! over. The log of the owner has `runner_ended` for an instance that responds again later.

use eyre::{
    Result,
    WrapErr,
    ensure, //
};
use hoisthitch_jobs::JobPhase;

use super::{
    check_invariants,
    world::{
        TestWorld,
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

/// Longest time that a long-running task may be unavailable after its runner was lost: the
/// platform's six seconds, and three to be placed.
const MAX_UNAVAILABLE_MS: u64 = 9_000;

/// Long-running tasks of the cases.
const TASKS: usize = 3;

/// Times of cuts, in milliseconds: shorter than a lease, about as long, and longer.
const CUTS_MS: [u64; 4] = [700, 3_000, 5_200, 7_000];

cases! {
    cut_that_resets_runs_no_short_task_twice => cuts_short_tasks();
    cut_that_resets_runs_no_long_running_task_twice => cuts_long_running();
    cut_that_resets_under_two_owners_runs_nothing_twice => cuts_while_owners_change();
    run_that_ends_behind_a_cut_that_resets_is_not_repeated => ends_behind_cut();
    runner_lost_behind_a_cut_that_resets_is_given_up => loses_cut_runner();
    acknowledgement_that_was_reset_and_arrives_later_hides_no_end => resets_acknowledgements();
}

/// Names of all nodes.
fn all_nodes(world: &TestWorld) -> Vec<String> {
    world.nodes.keys().cloned().collect()
}

async fn cuts_short_tasks() -> Result<()> {
    for cut_ms in CUTS_MS {
        let world = TestWorld::start(2, 6).await?;
        world.submit("j", job("work 9000", &[4])).await?;
        sleep_ms(1_000).await;
        let busy = world.fleet.busy();
        world.fleet.cut_with_resets(&busy[0], &all_nodes(&world));
        sleep_ms(cut_ms).await;
        world.fleet.cut(&busy[0], &[]);
        world.wait_phase("j", JobPhase::Completed, 30_000).await?;
        check_invariants(&world)?;
    }
    Ok(())
}

async fn cuts_long_running() -> Result<()> {
    for cut_ms in CUTS_MS {
        let world = TestWorld::start(2, 5).await?;
        world.submit("long", lasting(TASKS as u32, 1)).await?;
        sleep_ms(8_000).await;
        let busy = world.fleet.busy();
        world.fleet.cut_with_resets(&busy[0], &[world.owner()]);
        sleep_ms(cut_ms).await;
        world.fleet.cut(&busy[0], &[]);
        sleep_ms(MAX_UNAVAILABLE_MS.saturating_sub(cut_ms)).await;
        let running = world.fleet.running().len();
        ensure!(
            running == TASKS,
            "{running} tasks run after a cut of {cut_ms} ms"
        );
        check_invariants(&world)?;
    }
    Ok(())
}

/// What an owner tells the next one of the runner counts as well: the runs of a runner that
/// counted as ended were left out.
async fn cuts_while_owners_change() -> Result<()> {
    for planned in [true, false] {
        let mut world = TestWorld::start(3, 5).await?;
        world.submit("long", lasting(TASKS as u32, 1)).await?;
        sleep_ms(8_000).await;
        let busy = world.fleet.busy();
        world.fleet.cut_with_resets(&busy[0], &all_nodes(&world));
        for pause_ms in [900, 1_500] {
            sleep_ms(pause_ms).await;
            let owner = world.owner();
            if planned {
                world.nodes[&owner].stop();
            } else {
                world.nodes[&owner].kill();
            }
            sleep_ms(300).await;
            world.start_node(&owner)?;
        }
        sleep_ms(6_000).await;
        world.fleet.cut(&busy[0], &[]);
        sleep_ms(6_000).await;
        let running = world.fleet.running().len();
        ensure!(running == TASKS, "{running} tasks run (planned: {planned})");
        check_invariants(&world)?;
    }
    Ok(())
}

async fn ends_behind_cut() -> Result<()> {
    let world = TestWorld::start(2, 6).await?;
    world.submit("j", job("work 2500", &[4])).await?;
    sleep_ms(1_000).await;
    let busy = world.fleet.busy();
    world.fleet.cut_with_resets(&busy[0], &all_nodes(&world));
    sleep_ms(3_000).await;
    world.fleet.cut(&busy[0], &[]);
    world.wait_phase("j", JobPhase::Completed, 5_000).await?;
    let starts = (0..4).map(|task| world.fleet.starts(&format!("j.0.0.{task}")));
    ensure!(
        starts.into_iter().all(|starts| starts == 1),
        "a run was repeated"
    );
    check_invariants(&world)
}

/// A runner that is cut off and then lost for good: its tasks run again once its lease is over.
async fn loses_cut_runner() -> Result<()> {
    let world = TestWorld::start(2, 5).await?;
    world.submit("long", lasting(TASKS as u32, 1)).await?;
    sleep_ms(8_000).await;
    let busy = world.fleet.busy();
    world.fleet.cut_with_resets(&busy[0], &all_nodes(&world));
    world.fleet.end_process(&busy[0]);
    sleep_ms(MAX_UNAVAILABLE_MS).await;
    let running = world.fleet.running().len();
    ensure!(running == TASKS, "{running} tasks run");
    check_invariants(&world)
}

/// Heartbeats that acknowledge ends are in transit when a firewall resets their connections; they
/// arrive once the cut is healed, at the next instance of the runner, which takes the acknowledgement
/// for its own ends and drops them unread.
///
/// The failure: a reset passed for the end of the process that the acknowledgement was sent to, so
/// that the next instance got tasks as if it listed all of their ends.
async fn resets_acknowledgements() -> Result<()> {
    for offset_ms in 0..40 {
        let world = TestWorld::start(1, 1).await?;
        sleep_ms(3_000).await;
        world.fleet.set_calls_held(true);
        world.submit("first", job("work 300", &[4, 4])).await?;
        sleep_ms(295 + offset_ms).await;
        let (name, vm) = world.fleet.living()[0].clone();
        world.fleet.cut_with_resets(&name, &all_nodes(&world));
        sleep_ms(100).await;
        world.fleet.crash(&name);
        sleep_ms(200).await;
        world.fleet.restart(&name);
        world.record_runner(&name, &vm);
        world.fleet.cut(&name, &[]);
        world.submit("next", job("work 200", &[6])).await?;
        for id in ["first", "next"] {
            let phase = world.wait_phase(id, JobPhase::Completed, 60_000).await;
            phase.wrap_err_with(|| format!("cut after {offset_ms} ms"))?;
        }
        check_invariants(&world).wrap_err_with(|| format!("cut after {offset_ms} ms"))?;
    }
    Ok(())
}
