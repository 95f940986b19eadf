//! Nodes that are restarted in turn.
//!
//! Seen: a pool changed its owner twice within 3.7 s, because the first successor was the
//! next node to be restarted; with a slow store the pool stood still for three seconds in
//! its busiest time. Cause: among nodes alike the successor was drawn by a hash of
//! names. Proof: the logs name both successors and their stops; here, most of eight nodes
//! own the pool in turn.

use std::collections::BTreeSet;

use eyre::{
    OptionExt,
    Result,
    ensure, //
};

use super::{
    kept,
    world::{
        TestWorld,
        play,
        sleep_ms, //
    }, //
};

/// Time between two restarts, in milliseconds.
const GAP_MS: u64 = 2_000;
/// Time for which a restarted node is away, in milliseconds.
const AWAY_MS: u64 = 1_500;
const NODES: usize = 8;

cases! {
    restarts_in_turn_change_the_owner_twice_at_most => in_turn();
}

/// Whoever owns the pool is the next one to be restarted, while it was not yet.
async fn in_turn() -> Result<()> {
    let mut world = TestWorld::start(NODES, 4).await?;
    let before = term(&world)?;
    let mut due: BTreeSet<String> = world.nodes.keys().cloned().collect();
    while let Some(first) = due.first().cloned() {
        let owner = world.owner();
        let name = if due.contains(&owner) { owner } else { first };
        due.remove(&name);
        world.nodes[&name].stop();
        sleep_ms(AWAY_MS).await;
        world.start_node(&name)?;
        sleep_ms(GAP_MS - AWAY_MS).await;
    }
    let changes = term(&world)? - before;
    ensure!(changes <= 2, "the owner changed {changes} times");
    kept(&world)
}

/// Number of the pool's ownership, by the store.
fn term(world: &TestWorld) -> Result<u64> {
    let record = world.store.get("test/group/owner/halls");
    let record = record.ok_or_eyre("nobody owns the pool")?;
    let text = String::from_utf8_lossy(&record).into_owned();
    let (_, term) = text.split_once("\"term\":").ok_or_eyre("no term")?;
    let digits: String = term.chars().take_while(char::is_ascii_digit).collect();
    Ok(digits.parse()?)
}
