//! Tasks of cancelled jobs that a runner starts late.
//!
//! An order that got no response may be carried out seconds later, after its job was cancelled,
//! and the node that sent it may be gone. The run still has to end within a bound after its
//! start: three seconds, after which a node counts as in touch, and the time of a stop.

use eyre::{
    OptionExt,
    Result,
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

/// Time in which a late run has to be ended again, in milliseconds: three seconds, and nine
/// tenths for the stop.
const MAX_LATE_RUN_MS: u64 = 3_900;
/// Time after which the runner carries out a first order that it does not respond to, in
/// milliseconds.
const ORDER_DELAY_MS: u64 = 2_700;
/// Time after the cancel in which stops get no response either, in milliseconds: a stop that is
/// acknowledged would keep the late start from being carried out.
const STOPS_LOST_MS: u64 = 2_700;
const TASKS: u32 = 4;
/// Time after a fault by which nodes are in touch again, in milliseconds: `contact_timeout_ms` of
/// the users' bounds.
const CONTACT_MS: u64 = 3_000;
const SAMPLE_MS: u64 = 50;

/// What happens to the node that ordered the starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StarterFate {
    Stays,
    /// Killed that long after the cancel, in milliseconds, and never restarted.
    Killed(u64),
    /// Shut down that long after the cancel, in milliseconds, and never restarted.
    Removed(u64),
}

cases! {
    late_start_of_a_cancelled_job_ends => ends_late(StarterFate::Stays);
    late_start_by_a_node_killed_before_it_ends => ends_late(StarterFate::Killed(400));
    late_start_by_a_node_killed_beside_it_ends => ends_late(StarterFate::Killed(2_700));
    late_start_by_a_removed_node_ends => ends_late(StarterFate::Removed(400));
    late_start_by_a_node_removed_beside_it_ends => ends_late(StarterFate::Removed(2_700));
    cancel_without_an_owner_holds => cancels_without_owner("halls");
    cancel_without_an_owner_holds_in_a_pool_named_like_a_cancel => cancels_without_owner("cancel-desk");
    cancel_without_an_owner_holds_in_a_pool_named_like_a_job => cancels_without_owner("job-desk");
    cancel_without_an_owner_holds_in_a_pool_named_like_a_key => cancels_without_owner("a/cancel-b/job-c");
    cancel_that_comes_before_its_job_holds => cancels_early(None);
    cancel_after_an_unreadable_submission_holds => cancels_early(Some(b"{"));
    inbox_of_a_pool_with_a_longer_name_is_not_read => ignores_other_inbox();
    starts_that_wait_are_withdrawn_by_a_cancel => withdraws_starts();
}

async fn ends_late(fate: StarterFate) -> Result<()> {
    let world = TestWorld::start(3, 5).await?;
    let starter = world.owner();
    world.fleet.set_late(1);
    world.submit("long", lasting(TASKS, 1)).await?;
    sleep_ms(200).await;
    world.cancel("long").await?;
    let fate_at = match fate {
        StarterFate::Stays => STOPS_LOST_MS,
        StarterFate::Killed(after) | StarterFate::Removed(after) => after,
    };
    sleep_ms(fate_at).await;
    match fate {
        StarterFate::Stays => {}
        StarterFate::Killed(_) => world.nodes[&starter].kill(),
        StarterFate::Removed(_) => world.nodes[&starter].stop(),
    }
    sleep_ms(STOPS_LOST_MS - fate_at).await;
    world.fleet.set_late(0);
    let mut ran_for = 0;
    let mut ran = false;
    for _ in 0..(ORDER_DELAY_MS + 3 * MAX_LATE_RUN_MS) / SAMPLE_MS {
        sleep_ms(SAMPLE_MS).await;
        let runs = !world.fleet.running().is_empty();
        ran |= runs;
        ran_for = if runs { ran_for + SAMPLE_MS } else { 0 };
        ensure!(
            ran_for <= MAX_LATE_RUN_MS,
            "a cancelled job runs for {ran_for} ms"
        );
    }
    ensure!(
        ran || fate_at < STOPS_LOST_MS,
        "no order was carried out late"
    );
    ensure!(world.fleet.running().is_empty());
    check_invariants(&world)
}

/// Starts queue behind one that gets no response; their job is cancelled meanwhile, and only
/// the one that was sent may still be carried out.
async fn withdraws_starts() -> Result<()> {
    let world = TestWorld::start(1, 1).await?;
    world.fleet.set_late(1);
    world.submit("a1", job("work 300", &[TASKS])).await?;
    sleep_ms(200).await;
    world.cancel("a1").await?;
    sleep_ms(3 * ORDER_DELAY_MS).await;
    let starts = (0..TASKS).map(|task| world.fleet.starts(&format!("a1.0.0.{task}")));
    let started = starts.filter(|starts| *starts > 0).count();
    ensure!(started <= 1, "{started} tasks were started");
    check_invariants(&world)
}

/// Checks that the tasks of a job that was just cancelled are gone in time and stay away.
async fn check_cancelled(world: &TestWorld, id: &str) -> Result<()> {
    sleep_ms(CONTACT_MS + MAX_LATE_RUN_MS).await;
    for _ in 0..MAX_LATE_RUN_MS / SAMPLE_MS {
        let running = world.fleet.running();
        ensure!(running.is_empty(), "a cancelled job runs: {running:?}");
        sleep_ms(SAMPLE_MS).await;
    }
    world.wait_phase(id, JobPhase::Cancelled, 1_000).await?;
    check_invariants(world)
}

/// A job was submitted and cancelled while its pool had no owner. In a pool named cancel-desk the
/// next owner took each key of the inbox for a cancel, applied them in their order, dropped the
/// cancel of a job that it did not know yet, and ran the job for good (review/13).
async fn cancels_without_owner(pool: &str) -> Result<()> {
    let world = TestWorld::start_named(pool, 3, 5, 0).await?;
    let owner = world.owner();
    ensure!(!owner.is_empty(), "nobody owns {pool}");
    world.nodes[&owner].kill();
    world.submit("long", lasting(TASKS, 1)).await?;
    world.cancel("long").await?;
    ensure!(world.owner() == owner, "a takeover came before the cancel");
    check_cancelled(&world, "long").await
}

/// An owner learns of a cancel before it can add the job; `before` is what the submission's key
/// holds until then. The cancel was dropped, and a second one changes nothing.
async fn cancels_early(before: Option<&[u8]>) -> Result<()> {
    let world = TestWorld::start(3, 5).await?;
    let inbox = format!("test/in/{}", world.pool);
    // A submission to be written later, of a job that is over by then.
    world.submit("model", job("work 100", &[1])).await?;
    world
        .wait_phase("model", JobPhase::Completed, 5_000)
        .await?;
    let submission = world.store.get(&format!("{inbox}/job-model"));
    let submission = submission.ok_or_eyre("no submission")?;
    let key = format!("{inbox}/job-late");
    if let Some(before) = before {
        world.store.put(&key, Some(before), 0);
    }
    world
        .store
        .put(&format!("{inbox}/cancel-late"), Some(b""), 0);
    sleep_ms(500).await;
    world.store.put(&key, Some(&submission), 0);
    sleep_ms(CONTACT_MS).await;
    let starts = world.fleet.starts("late.0.0.0");
    ensure!(starts == 0, "a cancelled job was started {starts} times");
    Ok(())
}

/// The inbox of a pool whose name begins with another pool's name and a slash begins with that
/// pool's prefix. Its entries must not be taken for the other pool's.
async fn ignores_other_inbox() -> Result<()> {
    let world = TestWorld::start(3, 5).await?;
    let inbox = format!("test/in/{}", world.pool);
    world.submit("own", job("work 100", &[1])).await?;
    world.wait_phase("own", JobPhase::Completed, 5_000).await?;
    let submission = world.store.get(&format!("{inbox}/job-own"));
    let submission = submission.ok_or_eyre("no submission")?;
    // The pool is named like a key of this one's inbox.
    let other = format!("{inbox}/job-desk/job-other");
    world.store.put(&other, Some(&submission), 0);
    sleep_ms(CONTACT_MS).await;
    let starts = world.fleet.start_records();
    let foreign = starts.iter().find(|start| start.task.contains("other"));
    ensure!(
        foreign.is_none(),
        "another pool's job was started: {foreign:?}"
    );
    Ok(())
}
