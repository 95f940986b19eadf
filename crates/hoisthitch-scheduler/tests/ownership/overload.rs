//! Owners that for a while have more to record than they can write.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_tests::world::StoreFaults;

use crate::{
    check_invariants,
    world::{
        TestWorld,
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

cases! {
    leases_are_renewed_while_the_journal_is_behind => renews_behind();
}

/// Runners' leases are renewed while the journal has a backlog.
///
/// The failure, on a fleet of 1,100 VMs: after eight seconds of ownership, 452 runners
/// responded to each start with `late` within a tenth of a second, and 1,558 runs ended as
/// their leases ran out. Runner sessions were updated with the time until which their owner was
/// sure of its pool only when nothing was left to record, so that no lease was given beyond
/// eight seconds after that. The owner's log shows writes every 27 ms all the time. Here so
/// many jobs change that each write leaves some out.
async fn renews_behind() -> Result<()> {
    let world = TestWorld::start(2, 40).await?;
    world.submit("long", lasting(4, 1)).await?;
    sleep_ms(2_000).await;
    for number in 0..300 {
        let spec = job("work 100", &[1; 60]);
        world.submit(&format!("j{number}"), spec).await?;
    }
    world.store.set_faults(StoreFaults {
        delay: Duration::from_millis(120),
        ..StoreFaults::default()
    });
    for tenth in 0..120 {
        sleep_ms(100).await;
        let running = world.fleet.running();
        let long_running = running.iter().filter(|task| task.starts_with("long."));
        ensure!(
            long_running.count() == 4,
            "a long-running task ended after {tenth} tenths"
        );
    }
    world.store.set_faults(StoreFaults::default());
    world
        .wait_phase("j299", JobPhase::Completed, 60_000)
        .await?;
    check_invariants(&world)
}
