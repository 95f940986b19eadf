//! Table writer: the actor that writes operators' changes to the store.
//!
//! Changes are made by compare-and-swap. It also writes the table and the hall
//! records in effect to a store that holds older ones.

use std::{
    rc::Rc,
    sync::Arc, //
};

use actix::{
    Actor,
    Addr,
    Context,
    Handler,
    Message,
    ResponseFuture, //
};
use hoisthitch_core::{
    AssignmentState,
    EditError,
    HallError,
    HallRecord,
    PolicyTable,
    RowEdit,
    VmAssignment,
    VmTask,
    WaveRecord,
    WaveState,
    WriterStamp, //
};
use hoisthitch_store::{
    EtcdClient,
    KeySpace,
    RecordWriter,
    StampedRecord,
    StoreClient,
    WriteError, //
};
use hoisthitch_telemetry::event;
use thiserror::Error;

use crate::{
    control::{
        keeper::ViewKeeper,
        messages::{
            ApplyHall,
            ApplyTable,
            ReadView,
            ViewSummary, //
        }, //
    },
    state::SharedState, //
};

/// Writes operators' changes.
pub struct TableWriter {
    parts: Rc<WriterParts>,
}

struct WriterParts {
    records: RecordWriter<EtcdClient>,
    keys: KeySpace,
    keeper: Addr<ViewKeeper>,
}

/// Applies edits to the table; returns the new table.
#[derive(Message)]
#[rtype(result = "Result<PolicyTable, OperatorError>")]
pub struct EditTable {
    /// The edits, applied together or not at all.
    pub edits: Vec<RowEdit>,
}

/// Requests that a VM is moved to another pool.
#[derive(Message)]
#[rtype(result = "Result<HallRecord, OperatorError>")]
pub struct MoveVm {
    /// Name of the VM.
    pub vm: String,
    /// Pool that the VM is moved to.
    pub to: String,
}

/// Starts a wave, or changes the state of one.
#[derive(Message)]
#[rtype(result = "Result<WaveRecord, OperatorError>")]
pub enum ChangeWave {
    /// Starts a wave.
    Start {
        /// Name of the wave.
        name: String,
        /// Pools that it covers; empty for all pools.
        pools: Vec<String>,
    },
    /// Changes the state.
    State {
        /// Name of the wave.
        name: String,
        /// Its new state.
        state: WaveState,
    },
}

/// Reads all waves.
#[derive(Message)]
#[rtype(result = "Result<Vec<WaveRecord>, OperatorError>")]
pub struct ReadWaves;

/// Writes the table and hall records in effect to a store that holds older ones.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Reinstall {
    /// The table.
    pub table: PolicyTable,
    /// The hall records.
    pub halls: Vec<HallRecord>,
}

/// Why a record was not reinstalled.
enum ReinstallError {
    /// The store holds the same version or a newer one.
    Newer,
    /// The write failed.
    Write(WriteError),
}

impl From<WriteError> for ReinstallError {
    fn from(err: WriteError) -> Self {
        Self::Write(err)
    }
}

/// Assigns a VM that belongs to no pool.
#[derive(Message)]
#[rtype(result = "Result<HallRecord, OperatorError>")]
pub struct AssignVm {
    /// Name of the VM, as the platform lists it.
    pub vm: String,
    /// Pool that the VM is assigned to.
    pub pool: String,
}

/// Why an operator's change was not made.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The edit can't be applied.
    #[error(transparent)]
    Edit(#[from] EditError),
    /// The hall record refuses the change.
    #[error(transparent)]
    Hall(#[from] HallError),
    /// A wave of that name exists.
    #[error("wave {0} exists; give the new wave another name")]
    WaveExists(String),
    /// No wave of that name exists.
    #[error("wave {0} does not exist; 'hoisthitch wave status' lists the waves")]
    UnknownWave(String),
    /// The wave was cancelled.
    #[error("wave {0} was cancelled; start another one")]
    WaveCancelled(String),
    /// The VM is not serving, so it can't be moved.
    #[error("VM {vm} leaves for something else already; wait until it serves")]
    Busy {
        /// Name of the VM.
        vm: String,
    },
    /// The platform does not list the VM.
    #[error("VM {0} is not in the platform's list; check its name")]
    UnknownVm(String),
    /// The table has no such pool.
    #[error("pool {0} is not in the table; 'hoisthitch table show' lists the pools")]
    UnknownPool(String),
    /// The write to the store failed, or its outcome is unknown.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// The control thread has ended.
    #[error("the entry is stopping; ask another one")]
    Stopping,
}

impl TableWriter {
    /// Creates a writer with the timeouts and key prefix of the settings.
    pub fn new(shared: &Arc<SharedState>, store: EtcdClient, keeper: Addr<ViewKeeper>) -> Self {
        let settings = &shared.settings;
        let resolve_timeout = settings.platform.timeout * 3;
        Self {
            parts: Rc::new(WriterParts {
                records: RecordWriter::new(store, &settings.name, resolve_timeout),
                keys: KeySpace::new(&settings.platform.root),
                keeper,
            }),
        }
    }
}

impl Actor for TableWriter {
    type Context = Context<Self>;
}

impl Handler<EditTable> for TableWriter {
    type Result = ResponseFuture<Result<PolicyTable, OperatorError>>;

    fn handle(&mut self, message: EditTable, _: &mut Context<Self>) -> Self::Result {
        let parts = self.parts.clone();
        Box::pin(async move { parts.edit_table(&message.edits).await })
    }
}

impl Handler<MoveVm> for TableWriter {
    type Result = ResponseFuture<Result<HallRecord, OperatorError>>;

    fn handle(&mut self, message: MoveVm, _: &mut Context<Self>) -> Self::Result {
        let parts = self.parts.clone();
        Box::pin(async move { parts.request_move(&message.vm, &message.to).await })
    }
}

impl Handler<ChangeWave> for TableWriter {
    type Result = ResponseFuture<Result<WaveRecord, OperatorError>>;

    fn handle(&mut self, message: ChangeWave, _: &mut Context<Self>) -> Self::Result {
        let parts = self.parts.clone();
        Box::pin(async move {
            match message {
                ChangeWave::Start { name, pools } => parts.start_wave(&name, &pools).await,
                ChangeWave::State { name, state } => parts.set_wave(&name, state).await,
            }
        })
    }
}

impl Handler<ReadWaves> for TableWriter {
    type Result = ResponseFuture<Result<Vec<WaveRecord>, OperatorError>>;

    fn handle(&mut self, _: ReadWaves, _: &mut Context<Self>) -> Self::Result {
        let parts = self.parts.clone();
        Box::pin(async move { parts.read_waves().await })
    }
}

impl Handler<Reinstall> for TableWriter {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, message: Reinstall, _: &mut Context<Self>) -> Self::Result {
        let parts = self.parts.clone();
        Box::pin(async move { parts.reinstall(message).await })
    }
}

impl Handler<AssignVm> for TableWriter {
    type Result = ResponseFuture<Result<HallRecord, OperatorError>>;

    fn handle(&mut self, message: AssignVm, _: &mut Context<Self>) -> Self::Result {
        let parts = self.parts.clone();
        Box::pin(async move { parts.assign(&message.vm, &message.pool).await })
    }
}

impl WriterParts {
    async fn edit_table(&self, edits: &[RowEdit]) -> Result<PolicyTable, OperatorError> {
        let key = self.keys.table();
        let known = self.view().await?.table;
        // The store may have been restored with a table older than the one in effect.
        let newest = |stored: Option<PolicyTable>| {
            let stored = stored.unwrap_or_default();
            if stored.revision < known.revision {
                known.clone()
            } else {
                stored
            }
        };
        let change = |stored: Option<PolicyTable>, stamp| {
            let table = newest(stored).with_edits(edits, stamp)?;
            Ok::<_, OperatorError>(table)
        };
        let table = self.records.update(&key, change).await?;
        event!(
            Info,
            "table_accepted",
            revision = table.revision,
            writer = table.stamp.writer
        );
        self.keeper.do_send(ApplyTable {
            table: table.clone(),
            source: "operator",
        });
        Ok(table)
    }

    /// Records in the hall record that a VM is to be moved; a steward moves it.
    async fn request_move(&self, vm: &str, to: &str) -> Result<HallRecord, OperatorError> {
        let view = self.view().await?;
        if view.table.pool(to).is_none() {
            return Err(OperatorError::UnknownPool(to.to_owned()));
        }
        let mut halls = view.halls.values();
        let hall = halls.find(|hall| hall.find(vm).is_some());
        let hall = hall.ok_or_else(|| HallError::Unassigned(vm.to_owned()))?;
        let change = |stored: Option<HallRecord>, stamp| {
            let unassigned = || HallError::Unassigned(vm.to_owned());
            let mut record = stored.ok_or_else(unassigned)?;
            let assignment = record.find_mut(vm)?;
            if assignment.state != AssignmentState::Serving {
                return Err(OperatorError::Busy { vm: vm.to_owned() });
            }
            let elsewhere = assignment.pool != to;
            assignment.task = elsewhere.then(|| VmTask::Move { to: to.to_owned() });
            record.sign(stamp);
            Ok(record)
        };
        let key = self.keys.hall(&hall.hall);
        let record = self.records.update(&key, change).await?;
        event!(Info, "move_asked", vm = vm, to = to);
        Ok(record)
    }

    async fn start_wave(&self, name: &str, pools: &[String]) -> Result<WaveRecord, OperatorError> {
        let table = self.view().await?.table;
        if let Some(unknown) = pools.iter().find(|pool| table.pool(pool).is_none()) {
            return Err(OperatorError::UnknownPool(unknown.clone()));
        }
        let change = |stored: Option<WaveRecord>, stamp| {
            if stored.is_some() {
                return Err(OperatorError::WaveExists(name.to_owned()));
            }
            let mut record = WaveRecord::new(name, pools.to_vec());
            record.sign(stamp);
            Ok(record)
        };
        let record = self.records.update(&self.keys.wave(name), change).await?;
        event!(Info, "wave_started", wave = name, pools = pools.join(","));
        Ok(record)
    }

    async fn set_wave(&self, name: &str, state: WaveState) -> Result<WaveRecord, OperatorError> {
        let change = |stored: Option<WaveRecord>, stamp| {
            let unknown = || OperatorError::UnknownWave(name.to_owned());
            let mut record = stored.ok_or_else(unknown)?;
            if record.state == WaveState::Cancelled {
                return Err(OperatorError::WaveCancelled(name.to_owned()));
            }
            record.state = state;
            record.reason.clear();
            record.sign(stamp);
            Ok(record)
        };
        let record = self.records.update(&self.keys.wave(name), change).await?;
        event!(
            Info,
            "wave_changed",
            wave = name,
            state = format!("{state:?}")
        );
        Ok(record)
    }

    async fn read_waves(&self) -> Result<Vec<WaveRecord>, OperatorError> {
        let read = self.records.store().read_prefix(&self.keys.waves()).await;
        let stored = read.map_err(WriteError::from)?;
        let waves = stored.iter();
        let waves = waves.filter_map(|stored| serde_json::from_slice(&stored.value).ok());
        Ok(waves.collect())
    }

    /// Writes the records in effect where the store holds older ones.
    async fn reinstall(&self, message: Reinstall) {
        let table = message.table;
        let written = self
            .reinstall_record(&self.keys.table(), |stored: Option<PolicyTable>, stamp| {
                let known = stored.map_or(0, |stored| stored.revision);
                let mut table = table.clone();
                table.sign(table.revision, stamp);
                (known < table.revision).then_some(table)
            })
            .await;
        if written {
            event!(Warn, "table_reinstalled", revision = table.revision);
        }
        for hall in message.halls {
            let written = self
                .reinstall_record(&self.keys.hall(&hall.hall), |stored, stamp| {
                    let known = stored.map_or(0, |stored: HallRecord| stored.version);
                    let mut record = hall.clone();
                    record.sign(stamp);
                    (known < hall.version).then_some(record)
                })
                .await;
            if written {
                event!(
                    Warn,
                    "hall_reinstalled",
                    hall = hall.hall,
                    version = hall.version
                );
            }
        }
    }

    async fn reinstall_record<R: StampedRecord>(
        &self,
        key: &str,
        newer: impl Fn(Option<R>, WriterStamp) -> Option<R>,
    ) -> bool {
        let change = |stored, stamp| newer(stored, stamp).ok_or(ReinstallError::Newer);
        match self.records.update(key, change).await {
            Ok(_) => true,
            Err(ReinstallError::Newer) => false,
            Err(ReinstallError::Write(err)) => {
                event!(Warn, "not_reinstalled", key = key, error = err);
                false
            }
        }
    }

    async fn view(&self) -> Result<ViewSummary, OperatorError> {
        let sent = self.keeper.send(ReadView).await;
        sent.map_err(|_| OperatorError::Stopping)
    }

    async fn assign(&self, vm: &str, pool: &str) -> Result<HallRecord, OperatorError> {
        let view = self.view().await?;
        if view.table.pool(pool).is_none() {
            return Err(OperatorError::UnknownPool(pool.to_owned()));
        }
        let listed = view.listed.iter().find(|listed| listed.vm == vm);
        let listed = listed.ok_or_else(|| OperatorError::UnknownVm(vm.to_owned()))?;
        let key = self.keys.hall(&listed.hall);
        let change = |record: Option<HallRecord>, stamp| {
            let mut record = record.unwrap_or_else(|| HallRecord::new(&listed.hall));
            record.assign(VmAssignment {
                vm: listed.vm.clone(),
                address: listed.address,
                rack: listed.rack.clone(),
                pool: pool.to_owned(),
                state: AssignmentState::Serving,
                task: None,
                fence: 0,
                last_wave: String::new(),
            })?;
            record.sign(stamp);
            Ok::<_, OperatorError>(record)
        };
        let record = self.records.update(&key, change).await?;
        event!(
            Info,
            "vm_assigned",
            vm = vm,
            pool = pool,
            hall = record.hall,
            version = record.version
        );
        let applied = record.clone();
        self.keeper.do_send(ApplyHall { record: applied });
        Ok(record)
    }
}
