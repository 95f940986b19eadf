//! A fleet for one test: the platform's stand-in, runners and entries.

use std::{
    env,
    fs,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    process,
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::Duration, //
};

use eyre::{
    OptionExt,
    Result,
    ensure, //
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
    PoolRow,
    RepeatRule,
    RowEdit,
    TeamRow,
    VmAssignment, //
};
use hoisthitch_store::{
    EtcdClient,
    KeySpace,
    ListedVm,
    StoreClient,
    StoreRevision,
    VmState, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;

use crate::{
    http::{
        HttpAnswer,
        HttpAsk, //
    },
    process::ChildProcess,
    wait::wait_until, //
};

/// Token of the operators.
const TOKEN: &str = "test-token-of-operators";

/// Port of the platform.
const PLATFORM_PORT: u16 = 2_379;

/// First port of the entries' sides.
const CALLER_PORT: u16 = 8_000;
const OPERATOR_PORT: u16 = 8_100;
const MESH_PORT: u16 = 8_200;
const STEWARD_PORT: u16 = 8_300;

/// First port of the runners.
const RUNNER_PORT: u16 = 9_000;

/// Stewards that keys are made for.
const STEWARD_LIMIT: usize = 3;

/// Entries that keys are made for.
const ENTRY_LIMIT: usize = 12;

/// Fleets made by this process so far.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// A pool of a fleet.
#[derive(Clone, Debug)]
pub struct PoolPlan {
    /// Row of the pool.
    pub row: PoolRow,
    /// Number of runners.
    pub runners: usize,
    /// Working time of a request that names none, in microseconds.
    pub work_us: u64,
}

/// Shape of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of stewards.
    pub stewards: usize,
    /// Pools.
    pub pools: Vec<PoolPlan>,
    /// Teams.
    pub teams: Vec<TeamRow>,
    /// Further lines of the entries' settings, below `[callers]`.
    pub caller_settings: String,
    /// Least level that entries log.
    pub log_level: String,
    /// How the entries share slots.
    pub share: String,
    /// Port of the proxy in front of each entry's mesh address; zero for none.
    pub mesh_proxy_port: u16,
}

/// A run in a runner's journal.
#[derive(Clone, Debug, Deserialize)]
pub struct RunRecord {
    /// Name that the request carried.
    pub name: String,
    /// Path.
    pub path: String,
    /// Start, in microseconds of the wall clock.
    pub start_us: u64,
    /// End; none while it runs.
    pub end_us: Option<u64>,
    /// Time in the runner's own queue, in microseconds.
    pub waited_us: u64,
}

/// A running fleet.
pub struct Fleet {
    /// Platform.
    pub platform: ChildProcess,
    /// Entries.
    pub entries: Vec<ChildProcess>,
    /// Stewards.
    pub stewards: Vec<ChildProcess>,
    /// Runners, in the order of the pools.
    pub runners: Vec<ChildProcess>,
    address: IpAddr,
    folder: PathBuf,
    plan: FleetPlan,
    vms: Vec<ListedVm>,
    own_vms: Vec<ListedVm>,
}

impl PoolPlan {
    /// A pool whose path is its name, with limits that don't matter.
    pub fn new(name: &str, runners: usize) -> Self {
        Self {
            runners,
            work_us: 0,
            row: PoolRow {
                name: name.to_owned(),
                revision: 0,
                path: name.to_owned(),
                slots_per_runner: 8,
                connections_per_runner: 64,
                queue_limit: 1_000,
                in_flight_limit: 1_000,
                rate_limit: 100_000,
                urgent_deadline_ms: 10_000,
                background_deadline_ms: 30_000,
                background_percent: 100,
                retry_percent: 20,
                repeat: RepeatRule::Method,
                min_vms: 1,
                max_absent: 1,
            },
        }
    }
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            entries: 2,
            stewards: 0,
            pools: vec![PoolPlan::new("quotes", 2)],
            teams: Vec::new(),
            caller_settings: "stop_notice = 200ms".to_owned(),
            log_level: "info".to_owned(),
            share: "demand".to_owned(),
            mesh_proxy_port: 0,
        }
    }
}

impl Fleet {
    /// Starts the processes, writes the table, assigns the runners, and waits
    /// until every entry is ready.
    ///
    /// # Errors
    ///
    /// Fails when a process does not come up.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let fleet = Self::start_bare(plan).await?;
        fleet.write_table().await?;
        fleet.assign_runners().await?;
        fleet.wait_for_routes().await?;
        Ok(fleet)
    }

    /// Starts the processes only.
    ///
    /// # Errors
    ///
    /// Fails when a process does not come up.
    pub async fn start_bare(plan: FleetPlan) -> Result<Self> {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let address = loopback(number);
        let folder = env::temp_dir().join(format!("hoisthitch-{}-{number}", process::id()));
        fs::create_dir_all(&folder)?;
        let listen = SocketAddr::new(address, PLATFORM_PORT);
        let args = strings(&["platform", "--listen", &listen.to_string()]);
        let log = folder.join("platform.log");
        let platform = ChildProcess::start("hoisthitch-standin", &args, &log)?;
        let mut fleet = Self {
            platform,
            entries: Vec::new(),
            stewards: Vec::new(),
            runners: Vec::new(),
            address,
            folder,
            plan,
            vms: Vec::new(),
            own_vms: Vec::new(),
        };
        wait_until("the platform", || async {
            let url = fleet.platform_url("/vms");
            HttpAsk::get(&url).send().await.ok()
        })
        .await?;
        fleet.start_runners()?;
        fleet.list_entries();
        fleet.put_vms().await?;
        fleet.make_keys().await?;
        for index in 0..fleet.plan.entries {
            fleet.start_entry(index)?;
        }
        for index in 0..fleet.plan.stewards {
            fleet.start_steward(index)?;
        }
        Ok(fleet)
    }

    /// Starts an entry, or starts it again.
    ///
    /// # Errors
    ///
    /// Fails when its settings can't be written.
    pub fn start_entry(&mut self, index: usize) -> Result<()> {
        let platform = self.platform_url("");
        self.start_entry_at(index, &platform, &platform)
    }

    /// Starts an entry that reaches the store and the list of VMs at the URLs.
    ///
    /// # Errors
    ///
    /// Fails when its settings can't be written.
    pub fn start_entry_at(&mut self, index: usize, store: &str, vms: &str) -> Result<()> {
        let name = entry_name(index);
        let path = self.folder.join(format!("{name}.ini"));
        let text = self.entry_settings(index, store, vms);
        fs::write(&path, text)?;
        let args = strings(&["--settings", &path.display().to_string()]);
        let log = self.folder.join(format!("{name}.log"));
        if let Some(old) = self.entries.get_mut(index) {
            old.end();
        }
        let child = ChildProcess::start("hoisthitch-entry", &args, &log)?;
        if index < self.entries.len() {
            self.entries[index] = child;
        } else {
            self.entries.push(child);
        }
        Ok(())
    }

    /// Starts a steward, or starts it again.
    ///
    /// # Errors
    ///
    /// Fails when its settings can't be written.
    pub fn start_steward(&mut self, index: usize) -> Result<()> {
        let name = steward_name(index);
        let path = self.folder.join(format!("{name}.ini"));
        let keys = self.folder.join("keys").display().to_string();
        let platform = self.platform_url("");
        let listen = SocketAddr::new(self.address, port(STEWARD_PORT, index));
        let text = format!(
            "[node]\nname = {name}\nlog_level = debug\n\
             [platform]\nstore = {platform}\nvms = {platform}\n\
             [steward]\ninterval = 100ms\n\
             [mesh]\nlisten = {listen}\ncertificate = {keys}/{name}.pem\n\
             key = {keys}/{name}.key\nauthority = {keys}/authority.pem\n",
        );
        fs::write(&path, text)?;
        let args = strings(&["--settings", &path.display().to_string()]);
        let log = self.folder.join(format!("{name}.log"));
        if let Some(old) = self.stewards.get_mut(index) {
            old.end();
        }
        let child = ChildProcess::start("hoisthitch-steward", &args, &log)?;
        if index < self.stewards.len() {
            self.stewards[index] = child;
        } else {
            self.stewards.push(child);
        }
        Ok(())
    }

    /// An operator's call with JSON.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer.
    pub async fn operator_post<Q: Serialize>(
        &self,
        entry: usize,
        path: &str,
        call: &Q,
    ) -> Result<HttpAnswer> {
        HttpAsk::post_json(&self.operator_url(entry, path), call)?
            .header("authorization", &format!("Bearer {TOKEN}"))
            .send()
            .await
    }

    /// Hall records as an entry has them.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer.
    pub async fn assignments(&self, entry: usize) -> Result<Vec<VmAssignment>> {
        let halls: Vec<HallRecord> = self.operator_get(entry, "/halls").await?.json()?;
        Ok(halls.into_iter().flat_map(|hall| hall.vms).collect())
    }

    /// Permits of a pool, as the store holds them.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn permits(&self, pool: &str) -> Result<PermitLedger> {
        let store = EtcdClient::new(&self.platform_url(""), Duration::from_secs(2));
        let stored = store.read(&KeySpace::default().permits(pool)).await?;
        Ok(match stored {
            Some(stored) => serde_json::from_slice(&stored.value)?,
            None => PermitLedger::new(pool),
        })
    }

    /// Takes an entry's VM off the platform's list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn unlist_entry(&self, index: usize) -> Result<()> {
        let name = entry_name(index);
        self.edit_list(|listed| listed.retain(|other| other.vm != name))
            .await
    }

    /// Takes a runner's VM off the platform's list, as if it had failed.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn unlist_runner(&self, runner: usize) -> Result<()> {
        let vm = &self.vms[runner].vm;
        self.edit_list(|listed| listed.retain(|other| other.vm != *vm))
            .await
    }

    /// Puts a runner's VM back on the platform's list.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn relist_runner(&self, runner: usize) -> Result<()> {
        let vm = self.vms[runner].clone();
        self.edit_list(|listed| listed.push(vm)).await
    }

    /// VMs as the platform lists them.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn listed(&self) -> Result<Vec<ListedVm>> {
        HttpAsk::get(&self.platform_url("/vms"))
            .send()
            .await?
            .json()
    }

    async fn edit_list(&self, edit: impl FnOnce(&mut Vec<ListedVm>)) -> Result<()> {
        let mut listed = self.listed().await?;
        edit(&mut listed);
        let url = self.platform_url("/standin/vms");
        let answer = HttpAsk::put_json(&url, &listed)?.send().await?;
        ensure!(answer.status == 204, "list: {}", answer.text());
        Ok(())
    }

    /// Assignments as the store holds them.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
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

    /// Ends a runner's process and starts it anew, with an empty journal.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub fn restart_runner(&mut self, index: usize) -> Result<()> {
        self.runners[index].end();
        let (vm, work_us) = self.runner_plan(index);
        let child = self.spawn_runner(index, &vm, work_us)?;
        self.runners[index] = child;
        Ok(())
    }

    /// Lists a VM whose runner the test runs itself, and assigns it to a pool.
    ///
    /// # Errors
    ///
    /// Fails when an entry does not take it in.
    pub async fn add_runner(&mut self, pool: &str, address: SocketAddr) -> Result<()> {
        let vm = format!("{pool}-own-{}", address.port());
        self.vms.push(ListedVm {
            vm: vm.clone(),
            hall: "charlotte".to_owned(),
            rack: "rack-own".to_owned(),
            address,
            state: VmState::Live,
            boots: 1,
        });
        self.put_vms().await?;
        self.assign(&vm, pool).await?;
        for index in 0..self.entries.len() {
            wait_until("an entry to know the runner", || async {
                let status = self.status(index).await.ok()?;
                let mut runners = status.pools.iter().flat_map(|pool| &pool.runners);
                runners.any(|runner| runner.vm == vm).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every entry routes by the table and knows all runners.
    ///
    /// # Errors
    ///
    /// Fails when one does not.
    pub async fn wait_for_routes(&self) -> Result<()> {
        let wanted: usize = self.plan.pools.iter().map(|pool| pool.runners).sum();
        for index in 0..self.entries.len() {
            wait_until("an entry to know all runners", || async {
                let status = self.status(index).await.ok()?;
                let known: usize = status.pools.iter().map(|pool| pool.runners.len()).sum();
                (status.ready && known == wanted).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Status of an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer.
    pub async fn status(&self, index: usize) -> Result<StatusAnswer> {
        let answer = self.operator_get(index, "/status").await?;
        answer.json()
    }

    /// The table in force in an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer.
    pub async fn table(&self, index: usize) -> Result<PolicyTable> {
        self.operator_get(index, "/table").await?.json()
    }

    /// An operator's read.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer.
    pub async fn operator_get(&self, index: usize, path: &str) -> Result<HttpAnswer> {
        let ask = HttpAsk::get(&self.operator_url(index, path));
        ask.header("authorization", &format!("Bearer {TOKEN}"))
            .send()
            .await
    }

    /// Changes one cell of a pool's row through an entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer or has no such cell.
    pub async fn set_cell(
        &self,
        entry: usize,
        pool: &str,
        column: &str,
        value: &str,
    ) -> Result<HttpAnswer> {
        let table = self.table(entry).await?;
        let row = table.pool(pool).ok_or_eyre("no such pool")?;
        let row = row.with_cell(column, value)?;
        self.edit(entry, vec![RowEdit::PutPool(row)]).await
    }

    /// Waits until an entry routes by a revision of the table, or a later one.
    ///
    /// # Errors
    ///
    /// Fails when it does not.
    pub async fn wait_for_revision(&self, entry: usize, revision: u64) -> Result<()> {
        wait_until("a revision in force", || async {
            let status = self.status(entry).await.ok()?;
            (status.table_revision >= revision).then_some(())
        })
        .await
    }

    /// Revision of the table in force in an entry, read at little cost.
    ///
    /// # Errors
    ///
    /// Fails when the entry is not ready.
    pub async fn ready_revision(&self, entry: usize) -> Result<u64> {
        let url = self.operator_url(entry, "/ready");
        let answer = HttpAsk::get(&url).send().await?;
        let revision = answer
            .header("hoisthitch-revision")
            .ok_or_eyre("no revision")?;
        Ok(revision.parse()?)
    }

    /// Waits as [`Fleet::wait_for_revision`] does, at little cost.
    ///
    /// # Errors
    ///
    /// Fails when the revision does not come into force.
    pub async fn wait_for_ready_revision(&self, entry: usize, revision: u64) -> Result<()> {
        wait_until("a revision in force", || async {
            let found = self.ready_revision(entry).await.ok()?;
            (found >= revision).then_some(())
        })
        .await
    }

    /// Table as the store holds it.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn stored_table(&self) -> Result<PolicyTable> {
        let store = EtcdClient::new(&self.platform_url(""), Duration::from_secs(2));
        let stored = store.read(&KeySpace::default().table()).await?;
        let stored = stored.ok_or_eyre("the store holds no table")?;
        Ok(serde_json::from_slice(&stored.value)?)
    }

    /// An operator's edit.
    ///
    /// # Errors
    ///
    /// Fails when the entry does not answer.
    pub async fn edit(&self, entry: usize, edits: Vec<RowEdit>) -> Result<HttpAnswer> {
        self.edit_call(entry, edits).await
    }

    /// An operator's edit, as a call that does not borrow the fleet.
    pub fn edit_call(
        &self,
        entry: usize,
        edits: Vec<RowEdit>,
    ) -> impl Future<Output = Result<HttpAnswer>> + use<> {
        let url = self.operator_url(entry, "/table/edits");
        async move {
            let call = EditCall {
                edits,
                dry_run: false,
            };
            HttpAsk::post_json(&url, &call)?
                .header("authorization", &format!("Bearer {TOKEN}"))
                .send()
                .await
        }
    }

    /// Overwrites the table in the store, whatever it holds.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn overwrite_table(&self, value: &[u8]) -> Result<()> {
        let store = EtcdClient::new(&self.platform_url(""), Duration::from_secs(2));
        let key = KeySpace::default().table();
        let stored = store.read(&key).await?;
        let revision = stored.map_or(StoreRevision::default(), |stored| stored.revision);
        store.swap(&key, revision, value, None).await?;
        Ok(())
    }

    /// Runs in a runner's journal.
    ///
    /// # Errors
    ///
    /// Fails when the runner does not answer.
    pub async fn journal(&self, runner: usize) -> Result<Vec<RunRecord>> {
        let url = format!("http://{}/standin/journal", self.runner_address(runner));
        HttpAsk::get(&url).send().await?.json()
    }

    /// Runs in all journals.
    ///
    /// # Errors
    ///
    /// Fails when a runner does not answer.
    pub async fn all_runs(&self) -> Result<Vec<RunRecord>> {
        let mut runs = Vec::new();
        for runner in 0..self.runners.len() {
            runs.extend(self.journal(runner).await?);
        }
        Ok(runs)
    }

    /// Sets how a runner behaves: `healthy`, `failing` or `hanging`.
    ///
    /// # Errors
    ///
    /// Fails when the runner does not answer.
    pub async fn set_runner_mode(&self, runner: usize, mode: &str) -> Result<()> {
        let url = format!("http://{}/standin/mode", self.runner_address(runner));
        let answer = HttpAsk::put_json(&url, &mode)?.send().await?;
        ensure!(answer.status == 204, "mode: {}", answer.text());
        Ok(())
    }

    /// Sets the faults of the store.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn set_faults(&self, plan: serde_json::Value) -> Result<()> {
        self.put_platform("/standin/faults", plan).await
    }

    /// Sets how the list of VMs behaves.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn set_list(&self, plan: serde_json::Value) -> Result<()> {
        self.put_platform("/standin/list", plan).await
    }

    /// Lists a runner's VM as leaving or live.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn list_runner(&mut self, runner: usize, state: VmState) -> Result<()> {
        self.vms[runner].state = state;
        self.put_vms().await
    }

    /// Name of a runner's VM.
    pub fn runner_vm(&self, runner: usize) -> &str {
        &self.vms[runner].vm
    }

    /// Address of a runner.
    pub fn runner_address(&self, runner: usize) -> SocketAddr {
        self.vms[runner].address
    }

    /// URL of an entry's callers' side.
    pub fn caller_url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.caller_address(entry))
    }

    /// Address of an entry's callers' side.
    pub fn caller_address(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.address, port(CALLER_PORT, entry))
    }

    /// URL of an entry's operators' side.
    pub fn operator_url(&self, entry: usize, path: &str) -> String {
        let address = SocketAddr::new(self.address, port(OPERATOR_PORT, entry));
        format!("http://{address}{path}")
    }

    /// URL of the platform.
    pub fn platform_url(&self, path: &str) -> String {
        format!("http://{}:{PLATFORM_PORT}{path}", self.address)
    }

    /// An address of the fleet for a process of the test's own.
    pub fn own_address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.address, port)
    }

    /// Folder of the fleet's files.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    /// Starts a proxy in front of an address; its faults are set at the port
    /// after the one it listens on.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub async fn start_proxy(&self, port: u16, to: SocketAddr) -> Result<ChildProcess> {
        self.spawn_proxy(port, to, &[]).await
    }

    /// Starts a proxy for datagrams.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub async fn start_udp_proxy(&self, port: u16, to: SocketAddr) -> Result<ChildProcess> {
        self.spawn_proxy(port, to, &["--udp"]).await
    }

    async fn spawn_proxy(&self, port: u16, to: SocketAddr, more: &[&str]) -> Result<ChildProcess> {
        let listen = self.own_address(port).to_string();
        let control = self.own_address(port + 1).to_string();
        let to = to.to_string();
        let args = [
            "proxy",
            "--listen",
            &listen,
            "--to",
            &to,
            "--control",
            &control,
        ];
        let args = strings(&[&args, more].concat());
        let log = self.folder.join(format!("proxy-{port}.log"));
        let child = ChildProcess::start("hoisthitch-standin", &args, &log)?;
        wait_until("the proxy", || async {
            self.set_proxy(port, json!({})).await.ok()
        })
        .await?;
        Ok(child)
    }

    /// Sets the faults of a proxy.
    ///
    /// # Errors
    ///
    /// Fails when the proxy does not answer.
    pub async fn set_proxy(&self, port: u16, plan: serde_json::Value) -> Result<()> {
        let url = format!("http://{}/standin/plan", self.own_address(port + 1));
        let answer = HttpAsk::put_json(&url, &plan)?.send().await?;
        ensure!(answer.status == 204, "proxy: {}", answer.text());
        Ok(())
    }

    /// Mesh address that an entry listens on.
    pub fn mesh_address(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.address, port(MESH_PORT, entry))
    }

    /// Mesh address that an entry puts on the roster: its proxy's, if it has one.
    fn advertised_address(&self, entry: usize) -> SocketAddr {
        if self.plan.mesh_proxy_port == 0 {
            return self.mesh_address(entry);
        }
        self.own_address(self.plan.mesh_proxy_port + 2 * port(0, entry))
    }

    async fn make_keys(&self) -> Result<()> {
        let keys = self.folder.join("keys").display().to_string();
        let mut args = strings(&["keys", "--out", &keys]);
        args.extend((0..ENTRY_LIMIT).map(entry_name));
        args.extend((0..STEWARD_LIMIT).map(steward_name));
        let log = self.folder.join("keys.log");
        let mut child = ChildProcess::start("hoisthitch", &args, &log)?;
        let status = child.ended().await?;
        ensure!(status.success(), "keys: {}", child.log()?);
        Ok(())
    }

    async fn write_table(&self) -> Result<()> {
        let pools = self.plan.pools.iter();
        let pools = pools.map(|pool| RowEdit::PutPool(pool.row.clone()));
        let teams = self.plan.teams.iter().cloned().map(RowEdit::PutTeam);
        let edits: Vec<RowEdit> = pools.chain(teams).collect();
        wait_until("an entry to take the table", || async {
            let answer = self.edit(0, edits.clone()).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await
    }

    async fn assign_runners(&self) -> Result<()> {
        let pools = self.plan.pools.iter();
        let pools = pools.flat_map(|pool| std::iter::repeat_n(&pool.row.name, pool.runners));
        for (listed, pool) in self.vms.iter().zip(pools) {
            self.assign(&listed.vm, pool).await?;
        }
        Ok(())
    }

    async fn assign(&self, vm: &str, pool: &str) -> Result<()> {
        let call = AssignCall {
            vm: vm.to_owned(),
            pool: pool.to_owned(),
        };
        let url = self.operator_url(0, "/vms/assign");
        wait_until("an assignment", || async {
            let ask = HttpAsk::post_json(&url, &call).ok()?;
            let ask = ask.header("authorization", &format!("Bearer {TOKEN}"));
            let answer = ask.send().await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await
    }

    fn start_runners(&mut self) -> Result<()> {
        let total: usize = self.plan.pools.iter().map(|pool| pool.runners).sum();
        for index in 0..total {
            let (vm, work_us) = self.runner_plan(index);
            let child = self.spawn_runner(index, &vm, work_us)?;
            self.runners.push(child);
            self.vms.push(ListedVm {
                vm,
                hall: "charlotte".to_owned(),
                rack: format!("rack-{}", index / 4),
                address: SocketAddr::new(self.address, port(RUNNER_PORT, index)),
                state: VmState::Live,
                boots: 1,
            });
        }
        Ok(())
    }

    /// Lists the entries' own VMs, as the platform does.
    fn list_entries(&mut self) {
        for index in 0..self.plan.entries {
            self.own_vms.push(ListedVm {
                vm: entry_name(index),
                hall: "charlotte".to_owned(),
                rack: format!("rack-own-{index}"),
                address: self.caller_address(index),
                state: VmState::Live,
                boots: 1,
            });
        }
    }

    fn spawn_runner(&self, index: usize, vm: &str, work_us: u64) -> Result<ChildProcess> {
        let listen = SocketAddr::new(self.address, port(RUNNER_PORT, index)).to_string();
        let work_us = work_us.to_string();
        let args = strings(&[
            "runner",
            "--listen",
            &listen,
            "--vm",
            vm,
            "--work-us",
            &work_us,
        ]);
        let log = self.folder.join(format!("runner-{index}.log"));
        ChildProcess::start("hoisthitch-standin", &args, &log)
    }

    fn runner_plan(&self, index: usize) -> (String, u64) {
        let mut first = 0;
        for pool in &self.plan.pools {
            if index < first + pool.runners {
                let vm = format!("{}-{}", pool.row.name, index - first + 1);
                return (vm, pool.work_us);
            }
            first += pool.runners;
        }
        (format!("spare-{index}"), 0)
    }

    async fn put_vms(&self) -> Result<()> {
        let url = self.platform_url("/standin/vms");
        let listed: Vec<&ListedVm> = self.vms.iter().chain(&self.own_vms).collect();
        let answer = HttpAsk::put_json(&url, &listed)?.send().await?;
        ensure!(answer.status == 204, "list: {}", answer.text());
        Ok(())
    }

    async fn put_platform(&self, path: &str, plan: serde_json::Value) -> Result<()> {
        let url = self.platform_url(path);
        let answer = HttpAsk::put_json(&url, &plan)?.send().await?;
        ensure!(answer.status == 204, "{path}: {}", answer.text());
        Ok(())
    }

    fn entry_settings(&self, index: usize, store: &str, vms: &str) -> String {
        let operators = SocketAddr::new(self.address, port(OPERATOR_PORT, index));
        let name = entry_name(index);
        let keys = self.folder.join("keys").display().to_string();
        let seeds = format!("entry-1@{}", self.advertised_address(0));
        format!(
            "[node]\nname = {name}\nhall = charlotte\nlog_level = {}\n\
             [callers]\nlisten = {}\n{}\n\
             [operators]\nlisten = {operators}\ntoken = {TOKEN}\n\
             [platform]\nstore = {store}\nvms = {vms}\nvms_interval = 200ms\n\
             [slots]\nshare = {}\n\
             [mesh]\nlisten = {}\nadvertise = {}\ncertificate = {keys}/{name}.pem\n\
             key = {keys}/{name}.key\nauthority = {keys}/authority.pem\nseeds = {seeds}\n",
            self.plan.log_level,
            self.caller_address(index),
            self.plan.caller_settings,
            self.plan.share,
            self.mesh_address(index),
            self.advertised_address(index),
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !std::thread::panicking() && env::var_os("HOISTHITCH_KEEP").is_none() {
            // The folder lies in the temporary directory in any case.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Loopback address of a fleet: its own among all that run side by side.
fn loopback(number: u32) -> IpAddr {
    let process = process::id() & 0x7fff;
    let [high, low] = [process >> 8, process & 0xff];
    // CAST: each part was cut to eight bits.
    IpAddr::V4(Ipv4Addr::new(
        127,
        100 + (high % 100) as u8,
        low as u8,
        1 + (number % 200) as u8,
    ))
}

fn steward_name(index: usize) -> String {
    format!("steward-{}", index + 1)
}

fn entry_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn port(first: u16, index: usize) -> u16 {
    // CAST: a fleet has far fewer than 100 processes of a kind.
    first + (index % 100) as u16
}

fn strings(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|part| (*part).to_owned()).collect()
}
