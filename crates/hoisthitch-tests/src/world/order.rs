//! Order of tasks that are ready at the same time.
//!
//! The runtime runs them in the order in which they became ready, so that a test plays the same
//! each time. A number varies that order: it seeds how often a simulated call yields to other
//! tasks before it travels. All times stay as they are.

use std::cell::RefCell;

use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::task::yield_now;

/// Most times that a call yields.
const MAX_YIELDS: u32 = 3;

thread_local! {
    /// Draws how often calls of the present test yield; none for the plain order.
    static YIELDS: RefCell<Option<StdRng>> = const { RefCell::new(None) };
}

/// Sets the order in which the next test on this thread plays; zero is the plain one.
pub fn set_play_order(order: u64) {
    YIELDS.set((order > 0).then(|| StdRng::seed_from_u64(order)));
}

/// Yields to other ready tasks as the order of the present test has it.
pub(super) async fn yield_in_order() {
    let count = YIELDS.with_borrow_mut(|yields| {
        let draw = |random: &mut StdRng| random.random_range(0..=MAX_YIELDS);
        yields.as_mut().map_or(0, draw)
    });
    for _ in 0..count {
        yield_now().await;
    }
}
