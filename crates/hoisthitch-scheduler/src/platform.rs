//! Traits that connect the job service to a platform: its runners, VMs, records and adviser. The
//! trait of its store is [`StoreClient`].
//!
//! A platform implements [`Platform`] and the traits of its parts; tests implement them for a
//! simulated cluster. Orders carry the fencing token of the pool's owner. An implementation must
//! pass it on, since only the token keeps an earlier owner's orders from being carried out.

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

/// A runner's record: its pool, its address and its state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerRecord {
    /// Pool that it belongs to.
    pub pool: String,
    /// Address to which orders are sent.
    pub address: SocketAddr,
    /// Properties of the runner that placement depends on.
    pub facts: RunnerFacts,
}

/// Address of one instance of a runner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunnerAddress {
    /// The instance.
    pub instance: RunnerInstance,
    /// Address at which it listens.
    pub address: SocketAddr,
}

/// Fencing token and lease that an order to a runner carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderLease {
    /// Fencing token of the session with the runner.
    pub token: u64,
    /// End of the lease that the order grants, by the runner's clock, in milliseconds.
    pub lease_end_ms: u64,
}

/// Heartbeat to a runner: asks what runs there and what has ended, acknowledges recorded ends, and
/// renews the lease of the running tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatRequest {
    /// Fencing token of the session with the runner.
    pub token: u64,
    /// Number of the last end that is recorded; the runner may forget the ends up to it.
    pub acked_end: u64,
    /// New end of the lease by the runner's clock, in milliseconds; none to leave it unchanged.
    pub lease_end_ms: Option<u64>,
    /// Time for which the runner may wait for an end before it answers.
    pub wait: Duration,
}

/// Why an order to a runner failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RunnerError {
    /// The runner has seen the fencing token of a later owner.
    #[error("the runner has seen the fencing token of a later owner")]
    Fenced,
    /// Another instance of the runner answered.
    #[error("another instance of the runner answered")]
    WrongLife,
    /// The runner refused the order with this HTTP status.
    #[error("the runner refused with status {0}")]
    Refused(u16),
    /// Nothing listens at the runner's address, so the order was not sent.
    #[error("nothing listens at the runner's address")]
    NotListening,
    /// The connection failed before there was an answer, as it does when the runner's process
    /// ends; the order may have been carried out.
    #[error("the connection to the runner failed: {0}")]
    ConnectionLost(String),
    /// There was no valid answer; the order may still be carried out.
    #[error("no answer from the runner: {0}")]
    NoAnswer(String),
}

/// Sends orders to runners.
pub trait RunnerControl: Clone + 'static {
    /// Orders the start of a task.
    fn start(
        &self,
        runner: &RunnerAddress,
        order: &StartOrder,
        lease: OrderLease,
    ) -> impl Future<Output = StartOutcome>;

    /// Orders the stop of a task.
    fn stop(
        &self,
        runner: &RunnerAddress,
        order: &StopOrder,
        token: u64,
    ) -> impl Future<Output = Result<(), RunnerError>>;

    /// Sends a heartbeat and returns what runs on the runner and what has ended there.
    fn heartbeat(
        &self,
        runner: &RunnerAddress,
        request: HeartbeatRequest,
    ) -> impl Future<Output = Result<HeartbeatReport, RunnerError>>;

    /// Sets the throttle of a best-effort task.
    fn pace(
        &self,
        runner: &RunnerAddress,
        order: &PaceOrder,
        token: u64,
    ) -> impl Future<Output = Result<(), RunnerError>>;
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VmCondition {
    /// It runs.
    Up,
    /// It is in maintenance.
    Maintenance,
    /// It is down, or being moved between pools.
    Unavailable,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmStatus {
    /// Name.
    pub name: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// Data hall that it is in; empty where that is not known.
    pub hall: String,
    /// State.
    pub condition: VmCondition,
    /// Instance of its runner, if it has one.
    pub runner: Option<String>,
}

/// Why an order about a VM failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum VmError {
    /// The VM is not up, or is leaving.
    #[error("the VM is busy")]
    Busy,
    /// The VM is not in the wave, or does not exist.
    #[error("the VM is not in the wave, or does not exist")]
    NotListed,
    /// The platform has seen the fencing token of a later owner for the VM.
    #[error("the platform has seen the fencing token of a later owner for the VM")]
    Fenced,
    /// There was no answer; the order may still be carried out.
    #[error("no answer from the platform: {0}")]
    NoAnswer(String),
}

/// Lists VMs, and sends orders about them to the platform.
pub trait VmControl: Clone + 'static {
    /// Lists all VMs.
    fn list(&self) -> impl Future<Output = Result<Vec<VmStatus>, VmError>>;

    /// Starts the maintenance of a VM in a wave; succeeds at once if that was done already.
    /// `holder` names who gives the order, and `token` is the fencing token.
    fn start_maintenance(
        &self,
        vm: &str,
        wave: u64,
        holder: &str,
        token: u64,
    ) -> impl Future<Output = Result<(), VmError>>;

    /// Moves a VM to another pool; succeeds at once if that was done already. `holder` names who
    /// gives the order, and `token` is the fencing token.
    fn move_to_pool(
        &self,
        vm: &str,
        pool: &str,
        holder: &str,
        token: u64,
    ) -> impl Future<Output = Result<(), VmError>>;
}

/// A maintenance wave that operators request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WaveRequest {
    /// Number of the wave.
    pub wave: u64,
    /// VMs to be maintained.
    pub vms: Vec<String>,
    /// Largest number of VMs that may be down at once, as requested.
    pub max_down: usize,
}

impl WaveRequest {
    /// Largest number of VMs that may be down at once: at least one, or the wave would never end.
    pub(crate) fn max_down(&self) -> usize {
        self.max_down.max(1)
    }
}

/// Parses the records that operators and runners write to the store, and encodes the status that
/// operators read there.
pub trait FleetCodec: Clone + 'static {
    /// Prefix of the keys that operators write.
    fn operators_prefix(&self) -> String;

    /// Prefix of the keys that runners write.
    fn runners_prefix(&self) -> String;

    /// Parses the configuration, if the key is its key.
    fn parse_policy(&self, key: &str, value: &[u8]) -> Option<Result<FleetPolicy, String>>;

    /// Parses a wave, if the key is a wave's.
    fn parse_wave(&self, key: &str, value: &[u8]) -> Option<Result<WaveRequest, String>>;

    /// Name of the data hall, if the key is that of the request to cordon one. The hall is
    /// cordoned for as long as the key exists, whatever its value.
    fn parse_cordon<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Name of the runner's instance, if the key is a runner's.
    fn parse_runner_name<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Parses a runner's record.
    fn parse_runner(&self, name: &str, value: &[u8]) -> Result<RunnerRecord, String>;

    /// Key and value of the record that shows operators whether a wave is completed.
    fn encode_wave_status(&self, wave: u64, completed: bool) -> (String, Vec<u8>);
}

/// Answer of an adviser.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AdviceResponse {
    /// Runners that may run the step, with their tickets.
    pub tickets: Vec<AdviceTicket>,
    /// Time for which the tickets are valid, from the answer on.
    pub valid_for: Duration,
}

/// Asks the adviser which runners may run a step.
pub trait AdviceSource: Clone + 'static {
    /// Asks for advice on one step. The error says why there is no answer.
    fn advise(
        &self,
        request: &AdviceRequest,
    ) -> impl Future<Output = Result<AdviceResponse, String>>;
}

/// All parts of the platform that a node uses.
pub trait Platform: Clone + 'static {
    /// Client of the store.
    type Store: StoreClient;
    /// Control of the runners.
    type Runners: RunnerControl;
    /// Control of the VMs.
    type Vms: VmControl;
    /// Codec of operators' and runners' records.
    type Codec: FleetCodec;
    /// Source of advice.
    type Advice: AdviceSource;

    /// Client of the store.
    fn store(&self) -> &Self::Store;
    /// Control of the runners.
    fn runners(&self) -> &Self::Runners;
    /// Control of the VMs.
    fn vms(&self) -> &Self::Vms;
    /// Codec of operators' and runners' records.
    fn codec(&self) -> &Self::Codec;
    /// Source of advice.
    fn advice(&self) -> &Self::Advice;
}
