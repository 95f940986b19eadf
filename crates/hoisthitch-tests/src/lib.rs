//! Harness of the integration tests.
//!
//! [`Fleet`] starts real processes on loopback: a simulated platform, runners, entries and
//! stewards. Each fleet has its own loopback address, so that tests which run in parallel never
//! use the same port. The processes are killed when the fleet is dropped.
//!
//! [`world`] simulates a store, runners and VMs in memory, for tests of the job service.

mod cases;
mod command;
mod crowd;
mod fleet;
mod http;
mod load;
mod operate;
mod plan;
mod platform;
mod process;
mod proxies;
mod scripted;
mod usage;
mod wait;
pub mod world;

pub use cases::run_case;
pub use command::{
    CommandRun,
    run_command,
    run_command_on, //
};
pub use crowd::{
    ClientCrowd,
    CrowdPlan, //
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
    RawResponse,
    ScriptStep,
    ScriptedRunner,
    raw_exchange, //
};
pub use usage::{
    ProcessUsage,
    UsageWatch,
    open_connections, //
};
pub use wait::wait_until;
