//! A fleet for one test: processes for the simulated platform, runners, entries and stewards.

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
    }, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_store::{
    ListedVm,
    VmState, //
};

use crate::{
    http::TestRequest,
    plan::FleetPlan,
    process::ChildProcess,
    wait::wait_until, //
};

/// Token for operators' requests.
pub(crate) const TOKEN: &str = "test-token-of-operators";

/// Port of the simulated platform.
const PLATFORM_PORT: u16 = 2_379;

/// Port of the first entry for callers; further entries have the next ports.
const CALLER_PORT: u16 = 8_000;

/// Port of the first entry for operators.
const OPERATOR_PORT: u16 = 8_100;

/// Port of the first entry's mesh address.
const MESH_PORT: u16 = 8_200;

/// Port of the first steward's mesh address.
const STEWARD_PORT: u16 = 8_300;

/// Port of the first runner.
const RUNNER_PORT: u16 = 9_000;

/// Number of stewards for which keys are generated.
const STEWARD_LIMIT: usize = 3;

/// Number of entries for which keys are generated.
const ENTRY_LIMIT: usize = 12;

/// Fleets started by this process so far; makes their addresses and folders unique.
static FLEETS: AtomicU32 = AtomicU32::new(0);

/// A running fleet.
pub struct Fleet {
    /// The simulated platform: store and list of VMs.
    pub platform: ChildProcess,
    /// Entries.
    pub entries: Vec<ChildProcess>,
    /// Stewards.
    pub stewards: Vec<ChildProcess>,
    /// Runners, in the order of the pools.
    pub runners: Vec<ChildProcess>,
    pub(crate) address: IpAddr,
    pub(crate) folder: PathBuf,
    pub(crate) plan: FleetPlan,
    pub(crate) vms: Vec<ListedVm>,
    pub(crate) own_vms: Vec<ListedVm>,
}

impl Fleet {
    /// Starts the processes, writes the table, assigns the runners, and waits
    /// until every entry is ready.
    ///
    /// # Errors
    ///
    /// Fails when a process does not become ready.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let fleet = Self::start_bare(plan).await?;
        fleet.write_table().await?;
        fleet.assign_runners().await?;
        fleet.wait_for_routes().await?;
        Ok(fleet)
    }

    /// Starts the processes, without writing the table or assigning runners.
    ///
    /// # Errors
    ///
    /// Fails when a process does not become ready.
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
            TestRequest::get(&url).send().await.ok()
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

    /// Starts an entry; kills it first if it runs.
    ///
    /// # Errors
    ///
    /// Fails when its settings can't be written.
    pub fn start_entry(&mut self, index: usize) -> Result<()> {
        let platform = self.platform_url("");
        self.start_entry_at(index, &platform, &platform)
    }

    /// Starts an entry as [`Fleet::start_entry`] does, with other URLs of the store and of the list
    /// of VMs.
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

    /// Starts a steward; kills it first if it runs.
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
        let interval = &self.plan.steward_interval;
        let text = format!(
            "[node]\nname = {name}\nlog_level = debug\n\
             [platform]\nstore = {platform}\nvms = {platform}\n\
             [steward]\ninterval = {interval}\n\
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

    /// Kills a runner's process and starts it again, with an empty journal.
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

    /// Adds a VM, whose runner the test runs itself, to the platform's list, and assigns it to a
    /// pool.
    ///
    /// # Errors
    ///
    /// Fails when an entry does not know the runner in time.
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
    /// Fails when an entry does not get there in time.
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

    /// Name of a runner's VM.
    pub fn runner_vm(&self, runner: usize) -> &str {
        &self.vms[runner].vm
    }

    /// Address of a runner.
    pub fn runner_address(&self, runner: usize) -> SocketAddr {
        self.vms[runner].address
    }

    /// URL of an entry for callers.
    pub fn caller_url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.caller_address(entry))
    }

    /// Address of an entry for callers.
    pub fn caller_address(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.address, port(CALLER_PORT, entry))
    }

    /// URL of an entry for operators.
    pub fn operator_url(&self, entry: usize, path: &str) -> String {
        let address = SocketAddr::new(self.address, port(OPERATOR_PORT, entry));
        format!("http://{address}{path}")
    }

    /// URL of the platform.
    pub fn platform_url(&self, path: &str) -> String {
        format!("http://{}:{PLATFORM_PORT}{path}", self.address)
    }

    /// An address of the fleet, for a process that the test runs itself.
    pub fn own_address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.address, port)
    }

    /// Folder of the fleet's files.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    /// Mesh address that an entry listens on.
    pub fn mesh_address(&self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.address, port(MESH_PORT, entry))
    }

    /// Mesh address that an entry advertises: that of its proxy, if it has one.
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

    /// Adds the VMs of the entries to the platform's list.
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
            // A folder that can't be removed stays in the temporary directory.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Loopback address of a fleet, different for the fleets that run in parallel.
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

pub(crate) fn entry_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn port(first: u16, index: usize) -> u16 {
    // CAST: a fleet has far fewer than 100 processes of a kind.
    first + (index % 100) as u16
}

pub(crate) fn strings(parts: &[&str]) -> Vec<String> {
    parts.iter().map(|part| (*part).to_owned()).collect()
}
