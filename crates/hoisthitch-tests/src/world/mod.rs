//! The simulated cluster: a store, runners and VMs in memory, for tests of the job service.
//!
//! They implement the traits that the service calls, keep the contracts of those traits, and
//! inject the faults that a test sets. Checkers look at each order that a runner or VM gets and
//! record violations; a test fails if there are any. All times are those of the test's runtime,
//! whose clock may be simulated.

mod adviser;
mod capacity;
mod cordons;
mod crashing;
mod draining;
mod events;
mod gangs;
mod instance;
mod intake;
mod order;
mod repeats;
mod rules;
mod runners;
mod sharing;
mod store;
mod trace;

use std::{
    cell::RefCell,
    future::Future,
    pin::Pin,
    time::Duration, //
};

pub use adviser::{
    AdviserBehaviour,
    MemoryAdviser, //
};
pub use capacity::DEFAULT_CAPACITY;
pub use cordons::{
    HALLS,
    hall_of,
    vm_number, //
};
pub use crashing::CrashedRunner;
pub use events::show_events;
pub use intake::{
    ESTIMATE_MS,
    FEW_WAITING,
    PATIENT_MS,
    refuse_short,
    report_waiting, //
};
pub use order::set_play_order;
pub use rules::StartRecord;
pub use runners::MemoryFleet;
pub use sharing::PaceFate;
pub use store::{
    MemoryStore,
    StoreFaults, //
};

/// The pool of the tests.
pub const POOL: &str = "halls";

/// Time between two checks for new tasks that belong to no node.
const DETACHED_TICK: Duration = Duration::from_millis(5);

type DetachedTask = Pin<Box<dyn Future<Output = ()>>>;

thread_local! {
    /// Tasks that continue when a node stops, such as orders and writes that are under way.
    static DETACHED: RefCell<Vec<DetachedTask>> = const { RefCell::new(Vec::new()) };
}

/// Queues a task that belongs to no node; [`run_detached`] runs it.
fn spawn_detached(task: impl Future<Output = ()> + 'static) {
    DETACHED.with(|tasks| tasks.borrow_mut().push(Box::pin(task)));
}

/// Discards tasks that an earlier test on this thread left.
pub fn discard_detached() {
    DETACHED.with(|tasks| tasks.borrow_mut().clear());
}

/// Runs the tasks that belong to no node; never returns.
pub async fn run_detached() {
    loop {
        let tasks: Vec<_> = DETACHED.with(|tasks| tasks.borrow_mut().drain(..).collect());
        for task in tasks {
            actix_rt::spawn(task);
        }
        tokio::time::sleep(DETACHED_TICK).await;
    }
}
