//! Operators' requests to entries, and reads of the records in the store.

use std::time::Duration;

use eyre::{
    OptionExt,
    Result, //
};
use hoisthitch_api::{
    AssignCall,
    EditCall,
    StatusAnswer, //
};
use hoisthitch_core::{
    HallRecord,
    PermitLedger,
    PolicyTable,
    RowEdit,
    VmAssignment, //
};
use hoisthitch_store::{
    EtcdClient,
    KeySpace,
    StoreClient,
    StoreRevision, //
};
use serde::Serialize;

use crate::{
    fleet::{
        Fleet,
        TOKEN, //
    },
    http::{
        TestRequest,
        TestResponse, //
    },
    wait::wait_until, //
};

impl Fleet {
    /// Sends an operator's POST with JSON.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not respond.
    pub async fn operator_post<Q: Serialize>(
        &self,
        entry: usize,
        path: &str,
        call: &Q,
    ) -> Result<TestResponse> {
        TestRequest::post_json(&self.operator_url(entry, path), call)?
            .header("authorization", &format!("Bearer {TOKEN}"))
            .send()
            .await
    }

    /// Assignments of VMs as an entry reports them.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not respond.
    pub async fn assignments(&self, entry: usize) -> Result<Vec<VmAssignment>> {
        let halls: Vec<HallRecord> = self.operator_get(entry, "/halls").await?.json()?;
        Ok(halls.into_iter().flat_map(|hall| hall.vms).collect())
    }

    /// Permits of a pool in the store.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond.
    pub async fn permits(&self, pool: &str) -> Result<PermitLedger> {
        let store = EtcdClient::new(&self.platform_url(""), Duration::from_secs(2));
        let stored = store.read(&KeySpace::default().permits(pool)).await?;
        Ok(match stored {
            Some(stored) => serde_json::from_slice(&stored.value)?,
            None => PermitLedger::new(pool),
        })
    }

    /// Assignments of VMs in the store.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond.
    pub async fn stored_assignments(&self) -> Result<Vec<VmAssignment>> {
        let store = EtcdClient::new(&self.platform_url(""), Duration::from_secs(2));
        let stored = store.read_prefix(&KeySpace::default().halls()).await?;
        let mut assignments = Vec::new();
        for stored in stored {
            let record: HallRecord = serde_json::from_slice(&stored.value)?;
            assignments.extend(record.vms);
        }
        Ok(assignments)
    }

    /// Status of an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not respond.
    pub async fn status(&self, index: usize) -> Result<StatusAnswer> {
        let response = self.operator_get(index, "/status").await?;
        response.json()
    }

    /// The table in effect in an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not respond.
    pub async fn table(&self, index: usize) -> Result<PolicyTable> {
        self.operator_get(index, "/table").await?.json()
    }

    /// Sends an operator's GET.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not respond.
    pub async fn operator_get(&self, index: usize, path: &str) -> Result<TestResponse> {
        let request = TestRequest::get(&self.operator_url(index, path));
        request
            .header("authorization", &format!("Bearer {TOKEN}"))
            .send()
            .await
    }

    /// Changes one cell of a pool's row through an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not respond or has no such cell.
    pub async fn set_cell(
        &self,
        entry: usize,
        pool: &str,
        column: &str,
        value: &str,
    ) -> Result<TestResponse> {
        let table = self.table(entry).await?;
        let row = table.pool(pool).ok_or_eyre("no such pool")?;
        let row = row.with_cell(column, value)?;
        self.edit(entry, vec![RowEdit::PutPool(row)]).await
    }

    /// Waits until an entry routes by a revision of the table, or a later one.
    ///
    /// # Errors
    ///
    /// Fails when it does not in time.
    pub async fn wait_for_revision(&self, entry: usize, revision: u64) -> Result<()> {
        wait_until("a revision in force", || async {
            let status = self.status(entry).await.ok()?;
            (status.table_revision >= revision).then_some(())
        })
        .await
    }

    /// Revision of the table in effect in an entry, read from the readiness probe at little cost.
    ///
    /// # Errors
    ///
    /// Fails when the entry is not ready.
    pub async fn ready_revision(&self, entry: usize) -> Result<u64> {
        let url = self.operator_url(entry, "/ready");
        let response = TestRequest::get(&url).send().await?;
        let revision = response
            .header("hoisthitch-revision")
            .ok_or_eyre("no revision")?;
        Ok(revision.parse()?)
    }

    /// Waits as [`Fleet::wait_for_revision`] does, by the readiness probe at little cost.
    ///
    /// # Errors
    ///
    /// Fails when the revision does not come into effect in time.
    pub async fn wait_for_ready_revision(&self, entry: usize, revision: u64) -> Result<()> {
        wait_until("a revision in force", || async {
            let found = self.ready_revision(entry).await.ok()?;
            (found >= revision).then_some(())
        })
        .await
    }

    /// The table in the store.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond.
    pub async fn stored_table(&self) -> Result<PolicyTable> {
        let store = EtcdClient::new(&self.platform_url(""), Duration::from_secs(2));
        let stored = store.read(&KeySpace::default().table()).await?;
        let stored = stored.ok_or_eyre("the store holds no table")?;
        Ok(serde_json::from_slice(&stored.value)?)
    }

    /// Sends an operator's edit of the table.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not respond.
    pub async fn edit(&self, entry: usize, edits: Vec<RowEdit>) -> Result<TestResponse> {
        self.edit_call(entry, edits).await
    }

    /// Sends an operator's edit as [`Fleet::edit`] does; the future does not borrow the fleet.
    pub fn edit_call(
        &self,
        entry: usize,
        edits: Vec<RowEdit>,
    ) -> impl Future<Output = Result<TestResponse>> + use<> {
        let url = self.operator_url(entry, "/table/edits");
        async move {
            let call = EditCall {
                edits,
                dry_run: false,
            };
            TestRequest::post_json(&url, &call)?
                .header("authorization", &format!("Bearer {TOKEN}"))
                .send()
                .await
        }
    }

    /// Overwrites the table in the store, whatever its revision.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond.
    pub async fn overwrite_table(&self, value: &[u8]) -> Result<()> {
        let store = EtcdClient::new(&self.platform_url(""), Duration::from_secs(2));
        let key = KeySpace::default().table();
        let stored = store.read(&key).await?;
        let revision = stored.map_or(StoreRevision::default(), |stored| stored.revision);
        store.swap(&key, revision, value, None).await?;
        Ok(())
    }

    pub(crate) async fn write_table(&self) -> Result<()> {
        let pools = self.plan.pools.iter();
        let pools = pools.map(|pool| RowEdit::PutPool(pool.row.clone()));
        let teams = self.plan.teams.iter().cloned().map(RowEdit::PutTeam);
        let edits: Vec<RowEdit> = pools.chain(teams).collect();
        wait_until("an entry to take the table", || async {
            let response = self.edit(0, edits.clone()).await.ok()?;
            (response.status == 200).then_some(())
        })
        .await
    }

    pub(crate) async fn assign_runners(&self) -> Result<()> {
        let pools = self.plan.pools.iter();
        let pools = pools.flat_map(|pool| std::iter::repeat_n(&pool.row.name, pool.runners));
        for (listed, pool) in self.vms.iter().zip(pools) {
            self.assign(&listed.vm, pool).await?;
        }
        Ok(())
    }

    pub(crate) async fn assign(&self, vm: &str, pool: &str) -> Result<()> {
        let call = AssignCall {
            vm: vm.to_owned(),
            pool: pool.to_owned(),
        };
        let url = self.operator_url(0, "/vms/assign");
        wait_until("an assignment", || async {
            let request = TestRequest::post_json(&url, &call).ok()?;
            let request = request.header("authorization", &format!("Bearer {TOKEN}"));
            let response = request.send().await.ok()?;
            (response.status == 200).then_some(())
        })
        .await
    }
}
