//! Harness of the integration tests: real processes on loopback.
//!
//! Each fleet has a loopback address of its own, so that tests which run side
//! by side never meet on a port. Processes are ended when the fleet is dropped.

mod cases;
mod command;
mod fleet;
mod http;
mod load;
mod operate;
mod plan;
mod platform;
mod process;
mod proxies;
mod scripted;
mod wait;
pub mod world;

pub use cases::run_case;
pub use command::{
    CommandRun,
    run_command,
    run_command_on, //
};
pub use fleet::Fleet;
pub use http::{
    TestRequest,
    TestResponse, //
};
pub use load::SteadyLoad;
pub use plan::{
    FleetPlan,
    PoolPlan, //
};
pub use platform::RunRecord;
pub use process::ChildProcess;
pub use scripted::{
    RawAnswer,
    ScriptStep,
    ScriptedRunner,
    raw_exchange, //
};
pub use wait::wait_until;
