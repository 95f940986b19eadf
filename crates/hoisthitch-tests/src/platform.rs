//! Requests to the simulated platform and to simulated runners: faults, VMs and journals.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_store::{
    ListedVm,
    VmState, //
};
use serde::Deserialize;

use crate::{
    fleet::{
        Fleet,
        entry_name, //
    },
    http::TestRequest, //
};

/// A run of a request in a runner's journal.
#[derive(Clone, Debug, Deserialize)]
pub struct RunRecord {
    /// Name of the request, from the header `x-request-name`.
    pub name: String,
    /// Path of the request.
    pub path: String,
    /// Start by the wall clock, in microseconds.
    pub start_us: u64,
    /// End by the wall clock, in microseconds; none while it runs.
    pub end_us: Option<u64>,
    /// Time in the runner's own queue, in microseconds.
    pub waited_us: u64,
}

impl Fleet {
    /// Takes an entry's VM off the platform's list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn unlist_entry(&self, index: usize) -> Result<()> {
        let name = entry_name(index);
        self.edit_list(|listed| listed.retain(|other| other.vm != name))
            .await
    }

    /// Takes a runner's VM off the platform's list, as if it had failed.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn unlist_runner(&self, runner: usize) -> Result<()> {
        let vm = &self.vms[runner].vm;
        self.edit_list(|listed| listed.retain(|other| other.vm != *vm))
            .await
    }

    /// Puts a runner's VM back on the platform's list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn relist_runner(&self, runner: usize) -> Result<()> {
        let vm = self.vms[runner].clone();
        self.edit_list(|listed| listed.push(vm)).await
    }

    /// VMs as the platform lists them.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn listed(&self) -> Result<Vec<ListedVm>> {
        TestRequest::get(&self.platform_url("/vms"))
            .send()
            .await?
            .json()
    }

    pub(crate) async fn edit_list(&self, edit: impl FnOnce(&mut Vec<ListedVm>)) -> Result<()> {
        let mut listed = self.listed().await?;
        edit(&mut listed);
        let url = self.platform_url("/standin/vms");
        let response = TestRequest::put_json(&url, &listed)?.send().await?;
        ensure!(response.status == 204, "list: {}", response.text());
        Ok(())
    }

    /// Runs in a runner's journal.
    ///
    /// # Errors
    ///
    /// Fails when the runner does not respond.
    pub async fn journal(&self, runner: usize) -> Result<Vec<RunRecord>> {
        let url = format!("http://{}/standin/journal", self.runner_address(runner));
        TestRequest::get(&url).send().await?.json()
    }

    /// Runs in all journals.
    ///
    /// # Errors
    ///
    /// Fails when a runner does not respond.
    pub async fn all_runs(&self) -> Result<Vec<RunRecord>> {
        let mut runs = Vec::new();
        for runner in 0..self.runners.len() {
            runs.extend(self.journal(runner).await?);
        }
        Ok(runs)
    }

    /// Sets the behaviour of a runner: `healthy`, `failing` or `hanging`.
    ///
    /// # Errors
    ///
    /// Fails when the runner does not respond.
    pub async fn set_runner_mode(&self, runner: usize, mode: &str) -> Result<()> {
        let url = format!("http://{}/standin/mode", self.runner_address(runner));
        let response = TestRequest::put_json(&url, &mode)?.send().await?;
        ensure!(response.status == 204, "mode: {}", response.text());
        Ok(())
    }

    /// Sets the faults of the store.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn set_faults(&self, plan: serde_json::Value) -> Result<()> {
        self.put_platform("/standin/faults", plan).await
    }

    /// Sets the faults of the list of VMs, and how it handles reboots.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn set_list(&self, plan: serde_json::Value) -> Result<()> {
        self.put_platform("/standin/list", plan).await
    }

    /// Lists a runner's VM as leaving or live.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn list_runner(&mut self, runner: usize, state: VmState) -> Result<()> {
        self.vms[runner].state = state;
        self.put_vms().await
    }

    pub(crate) async fn put_vms(&self) -> Result<()> {
        let url = self.platform_url("/standin/vms");
        let listed: Vec<&ListedVm> = self.vms.iter().chain(&self.own_vms).collect();
        let response = TestRequest::put_json(&url, &listed)?.send().await?;
        ensure!(response.status == 204, "list: {}", response.text());
        Ok(())
    }

    pub(crate) async fn put_platform(&self, path: &str, plan: serde_json::Value) -> Result<()> {
        let url = self.platform_url(path);
        let response = TestRequest::put_json(&url, &plan)?.send().await?;
        ensure!(response.status == 204, "{path}: {}", response.text());
        Ok(())
    }
}
