//! Nodes in data halls, and halls that fail as a whole.

use eyre::Result;
use hoisthitch_tests::world::{
    StoreFaults,
    hall_of, //
};

use crate::world::{
    TestWorld,
    sleep_ms, //
};

/// Number of data halls.
pub const HALLS: usize = 3;

/// Starts a cluster with that many nodes, in as many halls by turns, of which `tolerated` may be
/// lost.
pub async fn start_in_halls(
    nodes: usize,
    runners: usize,
    halls: usize,
    tolerated: u32,
) -> Result<TestWorld> {
    let mut world = TestWorld::start(0, runners).await?;
    world.terms.tolerated_halls = tolerated;
    for number in 0..nodes {
        let name = format!("node-{number}");
        let hall = format!("hall-{}", number % halls);
        world.node_halls.insert(name.clone(), hall);
        world.start_node(&name)?;
    }
    sleep_ms(3_000).await;
    Ok(world)
}

/// Nodes in a hall.
fn nodes_in(world: &TestWorld, hall: &str) -> Vec<String> {
    let nodes = world.nodes.keys();
    let nodes = nodes.filter(|node| world.node_hall(node) == hall);
    nodes.cloned().collect()
}

/// Cuts the runners of a hall off from these nodes; without nodes, heals the cut.
pub fn cut_runners(world: &TestWorld, hall: &str, nodes: &[String]) {
    for (runner, vm) in world.fleet.living() {
        if hall_of(&vm) == hall {
            world.fleet.cut(&runner, nodes);
        }
    }
}

/// Lets a hall fall silent, or brings it back. The nodes and runners of a hall that is cut off
/// reach each other.
pub fn set_lost(world: &TestWorld, hall: &str, cut_off: bool, lost: bool) {
    let there = nodes_in(world, hall);
    let mut from: Vec<String> = world.nodes.keys().cloned().collect();
    if cut_off {
        from.retain(|node| !there.contains(node));
        let cut = if lost { there.clone() } else { Vec::new() };
        world.store.set_faults(StoreFaults {
            cut: cut.into_iter().collect(),
            ..StoreFaults::default()
        });
        for other in (0..HALLS).map(|number| format!("hall-{number}")) {
            if other != hall {
                cut_runners(world, &other, if lost { &there } else { &[] });
            }
        }
    } else {
        for node in &there {
            world.nodes[node].freeze(lost);
        }
    }
    cut_runners(world, hall, if lost { &from } else { &[] });
}

/// Cuts two halls off from each other; nodes and runners of the third reach all.
pub fn set_bridge_cut(world: &TestWorld, halls: [&str; 2], cut: bool) {
    for [hall, other] in [halls, [halls[1], halls[0]]] {
        let nodes = if cut {
            nodes_in(world, other)
        } else {
            Vec::new()
        };
        cut_runners(world, hall, &nodes);
    }
}
