//! What the job service needs of the platform, besides its store.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use hoisthitch_jobs::{
    AdviceRequest,
    AdviceTicket,
    HeartbeatReport,
    PaceOrder,
    RunnerFacts,
    RunnerInstance,
    StartOrder,
    StartOutcome,
    StopOrder, //
};
use hoisthitch_store::StoreClient;
use thiserror::Error;

pub use crate::policy::{
    FleetPolicy,
    PoolPolicy,
    QueueRoute, //
};
pub use crate::teams::{
    TeamEntry,
    TeamError,
    TeamKey,
    TeamPolicy,
    TeamTable, //
};

/// A runner and where it listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerRecord {
    /// Pool that it belongs to.
    pub pool: String,
    /// Address for orders.
    pub address: SocketAddr,
    /// What matters for placement.
    pub facts: RunnerFacts,
}

/// Address of one life of a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerAddress {
    /// The life.
    pub instance: RunnerInstance,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Terms of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderLease {
    /// Fencing token of the owner.
    pub epoch: u64,
    /// End of the lease that the order names, by the runner's clock.
    pub lease_end_ms: u64,
}

/// Asks a runner what it holds, and renews the lease of what runs there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatRequest {
    /// Fencing token of the owner.
    pub epoch: u64,
    /// Last end that is recorded; the runner may forget it.
    pub acked_end: u64,
    /// New end of the lease by the runner's clock; none to leave it.
    pub lease_end_ms: Option<u64>,
    /// Time for which the runner may wait for an end.
    pub wait: Duration,
}

/// Why a runner did not do what it was told.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RunnerError {
    /// A later owner gives orders there.
    #[error("a later owner gives orders to the runner")]
    Fenced,
    /// Another life of the runner answered.
    #[error("another life of the runner answered")]
    WrongLife,
    /// The runner refused.
    #[error("the runner refused with status {0}")]
    Refused(u16),
    /// Nothing listens at the runner's address, so that nothing was sent.
    #[error("nothing listens at the runner's address")]
    NotListening,
    /// There was no readable answer; the order may still be carried out.
    #[error("no answer from the runner: {0}")]
    NoAnswer(String),
}

/// Gives orders to runners.
pub trait RunnerControl: Clone + 'static {
    /// Orders a start.
    fn start(
        &self,
        runner: &RunnerAddress,
        order: &StartOrder,
        lease: OrderLease,
    ) -> impl Future<Output = StartOutcome>;

    /// Orders a stop.
    fn stop(
        &self,
        runner: &RunnerAddress,
        order: &StopOrder,
        epoch: u64,
    ) -> impl Future<Output = Result<(), RunnerError>>;

    /// Asks what the runner holds.
    fn heartbeat(
        &self,
        runner: &RunnerAddress,
        request: HeartbeatRequest,
    ) -> impl Future<Output = Result<HeartbeatReport, RunnerError>>;

    /// Sets the pace of a filler.
    fn pace(
        &self,
        runner: &RunnerAddress,
        order: &PaceOrder,
        epoch: u64,
    ) -> impl Future<Output = Result<(), RunnerError>>;
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmCondition {
    /// It runs.
    Up,
    /// It is in an upkeep.
    Maintenance,
    /// It is down, or moves between pools.
    Unavailable,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmStatus {
    /// Name.
    pub name: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// State.
    pub condition: VmCondition,
    /// Its runner's life, if there is one.
    pub runner: Option<String>,
}

/// Why the platform did not do what it was told about a VM.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum VmError {
    /// The VM is not up, or leaves.
    #[error("the VM is busy")]
    Busy,
    /// The VM is not of that wave, or there is no such VM.
    #[error("the platform knows no such VM in the wave")]
    NotListed,
    /// A later owner gave orders for it.
    #[error("a later owner gives orders for the VM")]
    Fenced,
    /// There was no answer; the order may still be carried out.
    #[error("no answer from the platform: {0}")]
    NoAnswer(String),
}

/// Gives orders about VMs.
pub trait VmControl: Clone + 'static {
    /// Lists all VMs.
    fn list(&self) -> impl Future<Output = Result<Vec<VmStatus>, VmError>>;

    /// Takes a VM into its upkeep; done at once if it was done already.
    fn start_maintenance(
        &self,
        vm: &str,
        wave: u64,
        holder: &str,
        token: u64,
    ) -> impl Future<Output = Result<(), VmError>>;

    /// Moves a VM to another pool; done at once if it was done already.
    fn move_to_pool(
        &self,
        vm: &str,
        pool: &str,
        holder: &str,
        token: u64,
    ) -> impl Future<Output = Result<(), VmError>>;
}

/// A wave that operators ask for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WaveRequest {
    /// Number.
    pub wave: u64,
    /// VMs that are due.
    pub vms: Vec<String>,
    /// VMs that may be down at once.
    pub max_down: usize,
}

impl WaveRequest {
    /// VMs that may be down at once; one at least, or the wave would never end.
    pub(crate) fn max_down(&self) -> usize {
        self.max_down.max(1)
    }
}

/// Reads what operators and runners write to the store.
pub trait FleetCodec: Clone + 'static {
    /// Start of the keys that operators write.
    fn operators_prefix(&self) -> String;

    /// Start of the keys that runners write.
    fn runners_prefix(&self) -> String;

    /// Reads the configuration, if the key is its key.
    fn parse_policy(&self, key: &str, value: &[u8]) -> Option<Result<FleetPolicy, String>>;

    /// Reads a wave, if the key is a wave's.
    fn parse_wave(&self, key: &str, value: &[u8]) -> Option<Result<WaveRequest, String>>;

    /// Name of the life of a runner, if the key is a runner's.
    fn parse_runner_name<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Reads a runner's record.
    fn parse_runner(&self, name: &str, value: &[u8]) -> Result<RunnerRecord, String>;

    /// Key and value that tell operators whether a wave is completed.
    fn encode_wave_status(&self, wave: u64, completed: bool) -> (String, Vec<u8>);
}

/// What an adviser answered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdviceResponse {
    /// Runners that may run the step, with their tickets.
    pub tickets: Vec<AdviceTicket>,
    /// Time for which the tickets hold, from the answer on.
    pub valid_for: Duration,
}

/// Asks which runners may run a step.
pub trait AdviceSource: Clone + 'static {
    /// Asks for one step; the error says why there is no answer.
    fn advise(
        &self,
        request: &AdviceRequest,
    ) -> impl Future<Output = Result<AdviceResponse, String>>;
}

/// Everything of the platform that a node uses.
pub trait Platform: Clone + 'static {
    /// Its store.
    type Store: StoreClient;
    /// Its runners.
    type Runners: RunnerControl;
    /// Its VMs.
    type Vms: VmControl;
    /// Its records.
    type Codec: FleetCodec;
    /// Its adviser.
    type Advice: AdviceSource;

    /// The store.
    fn store(&self) -> &Self::Store;
    /// The runners.
    fn runners(&self) -> &Self::Runners;
    /// The VMs.
    fn vms(&self) -> &Self::Vms;
    /// The records.
    fn codec(&self) -> &Self::Codec;
    /// The adviser.
    fn advice(&self) -> &Self::Advice;
}
