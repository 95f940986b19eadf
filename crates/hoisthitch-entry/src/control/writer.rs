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
    VmAssignment, //
};
use hoisthitch_store::{
    EtcdClient,
    KeySpace,
    RecordWriter,
    StampedRecord,
    StoreClient,
    StoreError,
    StoreRevision,
    WriteError, //
};
use hoisthitch_telemetry::event;
use thiserror::Error;

use crate::{
    control::keeper::{
        ApplyHall,
        ApplyTable,
        ReadView,
        ViewKeeper, //
    },
    state::SharedState, //
};

/// Times that a change of another row is merged before the operator is told.
const MERGE_LIMIT: usize = 20;

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
    /// The store could not be read.
    #[error("the store could not be read: {0}")]
    Read(#[from] StoreError),
    /// The store could not be written, or not surely.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// A record in the store can't be read.
    #[error("the record {key} can't be read: {fault}; restore it from an export")]
    Malformed {
        /// Key of the record.
        key: String,
        /// What is wrong.
        fault: String,
    },
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
        let change = |table: Option<PolicyTable>| {
            let stamp = self.records.stamp();
            let table = table.unwrap_or_default().edited(edits, stamp.clone())?;
            Ok((table, stamp))
        };
        let table = self.update(&key, change).await?;
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

    async fn assign(&self, vm: &str, pool: &str) -> Result<HallRecord, OperatorError> {
        let view = self
            .keeper
            .send(ReadView)
            .await
            .map_err(|_| OperatorError::Stopping)?;
        if view.table.pool(pool).is_none() {
            return Err(OperatorError::UnknownPool(pool.to_owned()));
        }
        let listed = view.listed.iter().find(|listed| listed.vm == vm);
        let listed = listed.ok_or_else(|| OperatorError::UnknownVm(vm.to_owned()))?;
        let key = self.keys.hall(&listed.hall);
        let change = |record: Option<HallRecord>| {
            let mut record = record.unwrap_or_else(|| HallRecord::new(&listed.hall));
            record.assign(VmAssignment {
                vm: listed.vm.clone(),
                address: listed.address,
                rack: listed.rack.clone(),
                pool: pool.to_owned(),
                state: AssignmentState::Serving,
            })?;
            let stamp = self.records.stamp();
            record.sign(stamp.clone());
            Ok((record, stamp))
        };
        let record = self.update(&key, change).await?;
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

    /// Reads a record, changes it and writes it; on another's change, anew.
    async fn update<R, F>(&self, key: &str, change: F) -> Result<R, OperatorError>
    where
        R: StampedRecord,
        F: Fn(Option<R>) -> Result<(R, hoisthitch_core::WriterStamp), OperatorError>,
    {
        let mut stored = self.records.store().read(key).await?;
        for _ in 0..MERGE_LIMIT {
            let revision = stored
                .as_ref()
                .map_or(StoreRevision::default(), |stored| stored.revision);
            let current = stored
                .map(|stored| decode::<R>(key, &stored.value))
                .transpose()?;
            let (record, stamp) = change(current)?;
            match self.records.write(key, revision, &record, &stamp).await {
                Ok(_) => return Ok(record),
                Err(WriteError::Conflict { found, .. }) => stored = found,
                Err(err) => return Err(err.into()),
            }
        }
        Err(WriteError::Conflict {
            key: key.to_owned(),
            found: stored,
        }
        .into())
    }
}

fn decode<R: StampedRecord>(key: &str, value: &[u8]) -> Result<R, OperatorError> {
    serde_json::from_slice(value).map_err(|err| OperatorError::Malformed {
        key: key.to_owned(),
        fault: err.to_string(),
    })
}
