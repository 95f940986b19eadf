//! Scheduling decisions for the jobs of a pool: which task runs where, and what is known about
//! it.
//!
//! A job is a set of steps, and a step is a number of equal tasks. One process owns a pool and
//! keeps its [`PoolState`]. The state plans starts, applies what runners report, and returns
//! the records that must be written before anything is ordered or acknowledged. This crate
//! does no input or output; all times are milliseconds of the owner's monotonic clock, unless
//! their names or docs say otherwise.

mod account;
mod admission;
mod advice;
mod arrivals;
mod balance;
mod cold_start;
mod cordon;
mod demand;
mod drain;
mod evict;
mod fair;
mod forecast;
mod gang;
mod hall_balance;
mod hall_loss;
mod hall_spread;
mod hall_upkeep;
mod health;
mod intake;
mod job;
mod likelihood;
mod losses;
mod maintenance;
mod observe;
mod pace;
mod place;
mod plan;
mod pool;
mod pressure;
mod quota;
mod rank;
mod record;
mod report;
mod resources;
mod restarts;
mod runner;
mod silent;
mod spec;
mod stall;
mod stops;
mod suspects;
mod suspicion;
mod task;
mod useless;
mod wave;

pub use account::{
    EndedJob,
    TimeAccount, //
};
pub use admission::WithdrawnStart;
pub use advice::{
    AdviceRequest,
    AdviceTicket, //
};
pub use balance::{
    VmBalance,
    VmMove,
    plan_moves, //
};
pub use cold_start::{
    ColdCause,
    ColdStart,
    ColdStartBounds,
    WarmthChange, //
};
pub use cordon::CordonedLoad;
pub use demand::WantedVms;
pub use forecast::{
    DemandHistory,
    VmForecast, //
};
pub use hall_balance::{
    SpareEase,
    SpareVm,
    choose_vms, //
};
pub use hall_loss::{
    HallChange,
    HallMonitor,
    HallReturn,
    HallSilence, //
};
pub use hall_spread::UnevenStep;
pub use hall_upkeep::{
    HALL_LOSS_WAIT_MAX_MS,
    HallLossWait,
    worked_hall, //
};
pub use health::HealthChange;
pub use intake::{
    IntakeDecision,
    IntakeRefusal,
    IntakeReport,
    IntakeRequest,
    RefusalReason,
    TeamLoad,
    USELESS_AFTER_OBJECTIVES, //
};
pub use job::{
    JobEntry,
    JobKey, //
};
pub use losses::{
    LossDetection,
    LostRun,
    RunnerLoss, //
};
pub use maintenance::{
    EvacuationDecision,
    EvacuationStage,
    EvacuationStatus, //
};
pub use pace::PaceOrder;
pub use plan::FlushPlan;
pub use pool::{
    NewJob,
    PoolState,
    PoolTerms, //
};
pub use quota::{
    QuotaAllocations,
    TeamUsage, //
};
pub use record::{
    JobPhase,
    JobProgress,
    JobSubmission,
    QueuePolicy,
    TaskPhase,
    TaskProgress, //
};
pub use report::{
    EndKind,
    EndedTask,
    HeartbeatReport,
    RunningTask,
    StartOutcome, //
};
pub use resources::ResourceAmounts;
pub use restarts::RestartedRunner;
pub use runner::{
    RunnerEntry,
    RunnerEvacuation,
    RunnerFacts,
    RunnerInstance,
    RunnerKey, //
};
pub use silent::{
    InheritedRuns,
    SilentRuns, //
};
pub use spec::{
    JobSchedule,
    JobSpec,
    PAYLOAD_MAX_BYTES,
    SpecError,
    StepSpec,
    parse_steps, //
};
pub use suspects::CrashingTask;
pub use suspicion::TaskSuspicion;
pub use task::{
    AbandonedRun,
    StartOrder,
    StopOrder,
    TaskEntry,
    TaskName,
    TaskRef,
    TaskState, //
};
pub use useless::UselessWork;
pub use wave::{
    WaveChange,
    WaveProgress, //
};

/// Milliseconds of the owner's monotonic clock.
pub type Millis = u64;
