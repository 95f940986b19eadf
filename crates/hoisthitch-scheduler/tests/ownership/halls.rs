//! Data halls that are lost, cut off, or can't reach each other.
//!
//! The failure: after the loss of a hall for 5 s and another for 3 s, windows of the day served
//! 0.44 to 0.60 for twelve seconds each. Nothing knew of a hall as one thing: owners stood by
//! processor time alone, so that an owner and its standbys could go with one hall, and an owner
//! that did not reach a hall kept its pool although a node in a third hall reached all.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_tests::world::StoreFaults;

use super::{
    check_invariants,
    failed_halls::{
        HALLS,
        cut_runners,
        set_bridge_cut,
        set_lost,
        start_in_halls, //
    },
    world::{
        TestWorld,
        codec::{
            POOLS,
            pool_name, //
        },
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

/// Nodes and runners of the tests, each a third of them in a hall.
const NODES: usize = 9;
const RUNNERS: usize = 18;

/// Time after the loss of a hall from which jobs are served as before, in milliseconds.
const SERVED_AGAIN_MS: u64 = 3_000;

/// Time in which a small job is served while all is well, in milliseconds: its task takes 300.
const SERVED_WITHIN_MS: u64 = 1_000;

/// Time in which a pool comes to an owner that reaches all halls, in milliseconds.
const BEYOND_CUT_MS: u64 = 6_000;

cases! {
    lost_hall_is_served_elsewhere => loses(Loss::Other, Beside::Nothing);
    hall_lost_with_the_owner_is_served_elsewhere => loses(Loss::Owner, Beside::Nothing);
    hall_cut_off_is_served_elsewhere => loses(Loss::CutOff, Beside::Nothing);
    hall_lost_while_it_is_evacuated_is_served_elsewhere => loses(Loss::Other, Beside::Cordon);
    hall_lost_while_a_wave_runs_is_served_elsewhere => loses(Loss::Other, Beside::Wave);
    hall_lost_while_its_owner_hands_over_is_served_elsewhere => loses(Loss::Owner, Beside::Handover);
    hall_lost_while_the_store_is_slow_runs_nothing_twice => loses_with_slow_store();
    hall_that_returns_goes_on => returns();
    owner_that_is_cut_off_alone_loses_no_hall => cut_off_alone();
    hall_of_a_deployment_without_tolerance_is_not_lost => not_tolerated();
    owners_of_a_lost_hall_are_replaced_within_the_store_s_rate => replaces_owners();
    next_owner_stands_in_another_hall => alternates();
    processor_time_comes_before_halls => prefers_cpu();
    pool_goes_to_a_third_hall_beyond_a_cut => beyond_cut();
    pool_stays_where_no_third_hall_has_a_node => no_third_hall();
    pool_is_not_offered_again_at_once => cut_twice();
    spread_over_halls_visits_no_more_members_in_a_larger_group => visits_few();
}

/// Which hall is lost, and how.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// Not that of the owner.
    Other,
    /// That of the owner.
    Owner,
    /// Not that of the owner; its nodes and runners reach each other.
    CutOff,
}

/// What else happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Beside {
    Nothing,
    /// The hall is evacuated.
    Cordon,
    /// VMs of all halls are maintained.
    Wave,
    /// The owner stops.
    Handover,
}

/// Starts a cluster with that many nodes over the halls, of which one may be lost.
async fn start_nodes(nodes: usize) -> Result<TestWorld> {
    start_in_halls(nodes, RUNNERS, HALLS, 1).await
}

/// Number of events of that kind, at all nodes.
fn count_events(world: &TestWorld, kind: &str) -> u64 {
    let nodes = world.nodes.values();
    nodes
        .map(|node| node.shared.metrics.events.with_label_values(&[kind]).get())
        .sum()
}

fn other_hall(hall: &str) -> String {
    let halls = (0..HALLS).map(|number| format!("hall-{number}"));
    halls
        .into_iter()
        .find(|other| other != hall)
        .unwrap_or_default()
}

async fn loses(loss: Loss, beside: Beside) -> Result<()> {
    let world = start_nodes(NODES).await?;
    let owner = world.owner();
    let mut hall = world.node_hall(&owner);
    if loss != Loss::Owner {
        hall = other_hall(&hall);
    }
    world.submit("long", lasting(6, 2)).await?;
    world.submit("before", job("work 1500", &[30])).await?;
    match beside {
        Beside::Nothing => {}
        Beside::Cordon => world.cordon_hall(&hall),
        Beside::Wave => world
            .store
            .put("op/wave/1", Some(b"vm-0,vm-1,vm-2,vm-3,vm-4,vm-5"), 0),
        Beside::Handover => {}
    }
    sleep_ms(1_000).await;
    if beside == Beside::Handover {
        world.nodes[&owner].stop();
        sleep_ms(20).await;
    }
    set_lost(&world, &hall, loss == Loss::CutOff, true);
    sleep_ms(SERVED_AGAIN_MS).await;
    for number in 0..20 {
        let id = format!("after-{number}");
        world.submit(&id, job("work 300", &[1])).await?;
        let served = world.wait_phase(&id, JobPhase::Completed, SERVED_WITHIN_MS);
        served.await?;
        world.revive();
    }
    ensure!(count_events(&world, "hall_lost") > 0, "no hall was lost");
    if loss == Loss::Other {
        ensure!(world.owner() == owner, "taken for a cut between halls");
    }
    sleep_ms(2_000).await;
    set_lost(&world, &hall, loss == Loss::CutOff, false);
    world.uncordon_hall(&hall);
    for _ in 0..40 {
        sleep_ms(500).await;
        world.revive();
    }
    world
        .wait_phase("before", JobPhase::Completed, 5_000)
        .await?;
    ensure!(
        world.fleet.running().len() == 6,
        "{:?}",
        world.fleet.running()
    );
    ensure!(
        count_events(&world, "task_given_up") == 0,
        "a task was suspected"
    );
    check_invariants(&world)
}

async fn loses_with_slow_store() -> Result<()> {
    let world = start_nodes(NODES).await?;
    let hall = world.node_hall(&world.owner());
    world.submit("before", job("work 1500", &[30])).await?;
    sleep_ms(700).await;
    world.store.set_faults(StoreFaults {
        lose_every: 3,
        late: std::time::Duration::from_millis(900),
        ..StoreFaults::default()
    });
    set_lost(&world, &hall, false, true);
    sleep_ms(5_000).await;
    set_lost(&world, &hall, false, false);
    world.store.set_faults(StoreFaults::default());
    world
        .wait_phase("before", JobPhase::Completed, 20_000)
        .await?;
    check_invariants(&world)
}

/// The hall is back after 1.5 s, before any of its leases is over.
async fn returns() -> Result<()> {
    let world = start_nodes(NODES).await?;
    let hall = other_hall(&world.node_hall(&world.owner()));
    world.submit("j", job("work 6000", &[36])).await?;
    sleep_ms(1_000).await;
    set_lost(&world, &hall, false, true);
    sleep_ms(1_500).await;
    ensure!(
        count_events(&world, "hall_lost") == 1,
        "the hall was not lost"
    );
    set_lost(&world, &hall, false, false);
    sleep_ms(1_500).await;
    ensure!(
        count_events(&world, "hall_back") == 1,
        "the hall is not back"
    );
    world.wait_phase("j", JobPhase::Completed, 10_000).await?;
    let starts = (0..36).map(|task| world.fleet.starts(&format!("j.0.0.{task}")));
    ensure!(
        starts.into_iter().all(|starts| starts == 1),
        "started again"
    );
    check_invariants(&world)
}

/// The owner reaches its own hall alone.
async fn cut_off_alone() -> Result<()> {
    let world = start_nodes(NODES).await?;
    let owner = world.owner();
    let own = world.node_hall(&owner);
    world.submit("j", job("work 6000", &[36])).await?;
    sleep_ms(1_000).await;
    for hall in (0..HALLS).map(|number| format!("hall-{number}")) {
        if hall != own {
            cut_runners(&world, &hall, std::slice::from_ref(&owner));
        }
    }
    sleep_ms(4_000).await;
    ensure!(count_events(&world, "hall_lost") == 0, "a hall was lost");
    for hall in (0..HALLS).map(|number| format!("hall-{number}")) {
        cut_runners(&world, &hall, &[]);
    }
    world.wait_phase("j", JobPhase::Completed, 20_000).await?;
    check_invariants(&world)
}

async fn not_tolerated() -> Result<()> {
    let world = start_in_halls(NODES, RUNNERS, HALLS, 0).await?;
    let hall = other_hall(&world.node_hall(&world.owner()));
    set_lost(&world, &hall, false, true);
    sleep_ms(4_000).await;
    ensure!(count_events(&world, "hall_lost") == 0, "a hall was lost");
    let record = world
        .store
        .get("test/group/owner/halls")
        .unwrap_or_default();
    let record = String::from_utf8_lossy(&record).into_owned();
    ensure!(!record.contains("hall"), "{record}");
    check_invariants(&world)
}

/// Owners are killed one after the other.
async fn alternates() -> Result<()> {
    let world = start_nodes(NODES).await?;
    let mut owner = world.owner();
    for _ in 0..4 {
        world.nodes[&owner].kill();
        sleep_ms(6_000).await;
        let next = world.owner();
        ensure!(next != owner, "no new owner");
        ensure!(
            world.node_hall(&next) != world.node_hall(&owner),
            "{owner} and {next} stand in one hall"
        );
        owner = next;
    }
    check_invariants(&world)
}

/// Only one hall has nodes with more processor time.
async fn prefers_cpu() -> Result<()> {
    let mut world = start_nodes(0).await?;
    for (number, name) in ["weak-0", "weak-1", "strong-0", "strong-1"]
        .into_iter()
        .enumerate()
    {
        let strong = name.starts_with("strong");
        let hall = if strong { 2 } else { number };
        world
            .node_halls
            .insert(name.to_owned(), format!("hall-{hall}"));
        world.start_node_with(name, if strong { 500 } else { 120 })?;
    }
    sleep_ms(8_000).await;
    let owner = world.owner();
    ensure!(owner.starts_with("strong"), "{owner} owns the pool");
    world.nodes[&owner].kill();
    sleep_ms(6_000).await;
    let next = world.owner();
    ensure!(
        next.starts_with("strong") && next != owner,
        "{next} owns the pool"
    );
    check_invariants(&world)
}

async fn beyond_cut() -> Result<()> {
    let world = start_nodes(NODES).await?;
    let own = world.node_hall(&world.owner());
    let silent = other_hall(&own);
    world.submit("long", lasting(6, 2)).await?;
    world.submit("j", job("work 9000", &[36])).await?;
    sleep_ms(1_000).await;
    set_bridge_cut(&world, [&own, &silent], true);
    sleep_ms(BEYOND_CUT_MS).await;
    let hall = world.node_hall(&world.owner());
    ensure!(hall != own && hall != silent, "the owner is in {hall}");
    world.submit("after", job("work 300", &[6])).await?;
    world
        .wait_phase("after", JobPhase::Completed, SERVED_WITHIN_MS)
        .await?;
    set_bridge_cut(&world, [&own, &silent], false);
    world.wait_phase("j", JobPhase::Completed, 20_000).await?;
    ensure!(
        world.fleet.running().len() == 6,
        "{:?}",
        world.fleet.running()
    );
    check_invariants(&world)
}

async fn no_third_hall() -> Result<()> {
    let world = start_in_halls(4, RUNNERS, 2, 1).await?;
    let owner = world.owner();
    let own = world.node_hall(&owner);
    set_bridge_cut(&world, [&own, &other_hall(&own)], true);
    sleep_ms(BEYOND_CUT_MS).await;
    ensure!(world.owner() == owner, "{} owns the pool", world.owner());
    ensure!(
        count_events(&world, "pool_taken") == 1,
        "the pool was handed over"
    );
    check_invariants(&world)
}

/// The new owner does not reach a hall either.
async fn cut_twice() -> Result<()> {
    let world = start_nodes(NODES).await?;
    let own = world.node_hall(&world.owner());
    let silent = other_hall(&own);
    cut_runners(
        &world,
        &silent,
        &world.nodes.keys().cloned().collect::<Vec<_>>(),
    );
    sleep_ms(BEYOND_CUT_MS).await;
    let next = world.owner();
    ensure!(world.node_hall(&next) != own, "{next} owns the pool");
    sleep_ms(3_000).await;
    ensure!(world.owner() == next, "handed over again");
    let taken = count_events(&world, "pool_taken");
    ensure!(taken == 2, "the pool had {taken} owners");
    check_invariants(&world)
}

/// Nodes of a small group and of one four times as large.
const SMALL_GROUP: usize = 12;
const LARGE_GROUP: usize = 48;

/// Growth of the members visited by each node that is allowed from the small to the large group,
/// in percent: half of the growth of the group.
const MAX_GROWTH_PERCENT: u64 = 200;

/// Members that a node's decisions visit, in the mean, while four nodes leave and return.
async fn count_visited(nodes: usize) -> Result<u64> {
    let mut world = start_nodes(nodes).await?;
    sleep_ms(5_000).await;
    let total = |world: &TestWorld| -> u64 {
        let nodes = world.nodes.values();
        nodes
            .map(|node| node.shared.metrics.members_visited.get())
            .sum()
    };
    let owner = world.owner();
    let others = world.nodes.keys().filter(|name| **name != owner);
    let others: Vec<String> = others.take(4).cloned().collect();
    let before = total(&world);
    for name in &others {
        let lost = world.nodes[name].shared.metrics.members_visited.clone();
        world.nodes[name].kill();
        sleep_ms(2_500).await;
        let visited = lost.get();
        world.start_node(name)?;
        let node = world.nodes.get(name).ok_or_eyre("unknown node")?;
        // The metrics of a new instance begin at zero.
        node.shared.metrics.members_visited.inc_by(visited);
    }
    check_invariants(&world)?;
    Ok((total(&world) - before) / u64::try_from(nodes)?)
}

async fn visits_few() -> Result<()> {
    let small = count_visited(SMALL_GROUP).await?;
    let large = count_visited(LARGE_GROUP).await?;
    ensure!(
        large * 100 <= small * MAX_GROWTH_PERCENT,
        "{small} members visited by a node of {SMALL_GROUP}, {large} of {LARGE_GROUP}"
    );
    Ok(())
}

/// Pools of a test, and nodes that may own them.
const MANY_POOLS: usize = 9;
const POOL_NODES: usize = 18;

/// Seconds before the loss of the hall, and after it.
const CALM_SECONDS: usize = 3;
const LOSS_SECONDS: usize = 5;

/// Time after the loss of a hall in which all its pools have owners again, in seconds.
const TAKEN_OVER_SECONDS: usize = 3;

/// Number of pools owned in each hall.
fn owned_by_hall(world: &TestWorld) -> std::collections::BTreeMap<String, usize> {
    let mut owned = std::collections::BTreeMap::new();
    for number in 0..MANY_POOLS {
        let owner = world.owner_of(&pool_name(number));
        *owned.entry(world.node_hall(&owner)).or_insert(0) += 1;
    }
    owned
}

/// A third of the owners is lost at once. Their pools are taken over in time without a rush on the
/// store.
async fn replaces_owners() -> Result<()> {
    let mut world = TestWorld::start(0, RUNNERS).await?;
    world.terms.tolerated_halls = 1;
    let policy = format!("2{POOLS}{MANY_POOLS}");
    world.store.put("op/policy", Some(policy.as_bytes()), 0);
    for number in 0..POOL_NODES {
        let name = format!("node-{number}");
        let hall = format!("hall-{}", number % HALLS);
        world.node_halls.insert(name.clone(), hall);
        world.start_node(&name)?;
    }
    sleep_ms(6_000).await;
    let owned = owned_by_hall(&world);
    ensure!(
        owned.values().all(|pools| *pools == MANY_POOLS / HALLS),
        "{owned:?}"
    );
    let mut calls = vec![world.store.calls()];
    let hall = "hall-1";
    for second in 0..CALM_SECONDS + LOSS_SECONDS {
        if second == CALM_SECONDS {
            set_lost(&world, hall, false, true);
        }
        sleep_ms(1_000).await;
        calls.push(world.store.calls());
        if second == CALM_SECONDS + TAKEN_OVER_SECONDS - 1 {
            let owned = owned_by_hall(&world);
            ensure!(!owned.contains_key(hall), "{owned:?}");
            ensure!(owned.values().all(|pools| *pools >= 4), "{owned:?}");
        }
    }
    let per_s: Vec<u64> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
    println!("calls to the store in each second: {per_s:?}");
    let (calm, after) = per_s.split_at(CALM_SECONDS);
    let usual = calm.iter().max().copied().unwrap_or(0);
    // A rush is twice an ordinary second.
    ensure!(after.iter().all(|calls| *calls < 2 * usual), "{per_s:?}");
    check_invariants(&world)
}
