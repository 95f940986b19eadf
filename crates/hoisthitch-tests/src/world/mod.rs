//! A store, runners and VMs in memory, for tests of the job service.
//!
//! They keep to what the service's traits promise, fail as told, and a judge
//! looks at what runners are told.

mod adviser;
mod crashing;
mod events;
mod gangs;
mod instance;
mod leaving;
mod rooms;
mod rules;
mod runners;
mod sharing;
mod store;

use std::{
    cell::RefCell,
    future::Future,
    pin::Pin,
    time::Duration, //
};

pub use adviser::{
    AdviserMood,
    MemoryAdviser, //
};
pub use crashing::CrashedRunner;
pub use events::show_events;
pub use rooms::ROOM;
pub use rules::StartNote;
pub use runners::MemoryFleet;
pub use sharing::PaceFate;
pub use store::{
    MemoryStore,
    StoreFaults, //
};

/// The pool of the tests.
pub const POOL: &str = "halls";

/// Time between two looks for tasks that belong to nobody.
const OUTSIDE_TICK: Duration = Duration::from_millis(5);

type OutsideTask = Pin<Box<dyn Future<Output = ()>>>;

thread_local! {
    /// What goes on whatever becomes of a node.
    static OUTSIDE: RefCell<Vec<OutsideTask>> = const { RefCell::new(Vec::new()) };
}

/// Runs a task that belongs to no node.
fn spawn_outside(task: impl Future<Output = ()> + 'static) {
    OUTSIDE.with(|tasks| tasks.borrow_mut().push(Box::pin(task)));
}

/// Forgets tasks of an earlier test on this thread.
pub fn forget_outside() {
    OUTSIDE.with(|tasks| tasks.borrow_mut().clear());
}

/// Carries out tasks that belong to no node, for ever.
pub async fn run_outside() {
    loop {
        let tasks: Vec<_> = OUTSIDE.with(|tasks| tasks.borrow_mut().drain(..).collect());
        for task in tasks {
            actix_rt::spawn(task);
        }
        tokio::time::sleep(OUTSIDE_TICK).await;
    }
}
