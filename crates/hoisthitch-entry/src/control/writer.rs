//! The table writer: operators' changes, written by compare-and-swap.

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
    WriterStamp, //
};
use hoisthitch_store::{
    EtcdClient,
    KeySpace,
    RecordWriter,
    StampedRecord,
    WriteError, //
};
use hoisthitch_telemetry::event;
use thiserror::Error;

use crate::{
    control::keeper::{
        ApplyHall,
        ApplyTable,
        ReadView,
        ViewKeeper,
        ViewSummary, //
    },
    state::SharedState, //
};

/// Writes operators' changes.
pub struct TableWriter {
    inner: Rc<WriterParts>,
}

struct WriterParts {
    records: RecordWriter<EtcdClient>,
    keys: KeySpace,
    keeper: Addr<ViewKeeper>,
}

/// Applies edits to the table; answers with the table in force.
#[derive(Message)]
#[rtype(result = "Result<PolicyTable, OperatorError>")]
pub struct EditTable {
    /// The edits, applied together or not at all.
    pub edits: Vec<RowEdit>,
}

/// Writes what is in force to a store that came back older.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Reinstall {
    /// The table.
    pub table: PolicyTable,
    /// The hall records.
    pub halls: Vec<HallRecord>,
}

/// Why a record was not written anew.
enum ReinstallError {
    /// The store holds it, or something newer.
    Newer,
    /// The store failed.
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
    /// Pool to hold the VM.
    pub pool: String,
}

/// Why an operator's change was not made.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The edit can't be applied.
    #[error(transparent)]
    Edit(#[from] EditError),
    /// The hall record does not take the change.
    #[error(transparent)]
    Hall(#[from] HallError),
    /// The platform does not list the VM.
    #[error("VM {0} is not in the platform's list; check its name")]
    UnknownVm(String),
    /// The table has no such pool.
    #[error("pool {0} is not in the table; 'hoisthitch table show' lists the pools")]
    UnknownPool(String),
    /// The store could not be written, or not surely.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// The control thread is gone.
    #[error("the entry is stopping; ask another one")]
    Stopping,
}

impl TableWriter {
    /// Writes to the settings' store.
    pub fn new(shared: &Arc<SharedState>, store: EtcdClient, keeper: Addr<ViewKeeper>) -> Self {
        let settings = &shared.settings;
        let patience = settings.platform.timeout * 3;
        Self {
            inner: Rc::new(WriterParts {
                records: RecordWriter::new(store, &settings.name, patience),
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
        let parts = self.inner.clone();
        Box::pin(async move { parts.edit_table(&message.edits).await })
    }
}

impl Handler<Reinstall> for TableWriter {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, message: Reinstall, _: &mut Context<Self>) -> Self::Result {
        let parts = self.inner.clone();
        Box::pin(async move { parts.reinstall(message).await })
    }
}

impl Handler<AssignVm> for TableWriter {
    type Result = ResponseFuture<Result<HallRecord, OperatorError>>;

    fn handle(&mut self, message: AssignVm, _: &mut Context<Self>) -> Self::Result {
        let parts = self.inner.clone();
        Box::pin(async move { parts.assign(&message.vm, &message.pool).await })
    }
}

impl WriterParts {
    async fn edit_table(&self, edits: &[RowEdit]) -> Result<PolicyTable, OperatorError> {
        let key = self.keys.table();
        let known = self.view().await?.table;
        // The store may have come back older than what is in force.
        let newest = |stored: Option<PolicyTable>| {
            let stored = stored.unwrap_or_default();
            if stored.revision < known.revision {
                known.clone()
            } else {
                stored
            }
        };
        let change = |stored: Option<PolicyTable>, stamp| {
            let table = newest(stored).edited(edits, stamp)?;
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

    /// Writes what is in force where the store holds something older.
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
