//! Simulated cluster of the scheduler's tests: nodes, a store and runners in one process, on
//! the paused clock of the runtime.
//!
//! [`play`] runs a test, [`TestWorld`] starts the cluster and changes it, and the simulated
//! fleet records each broken invariant. Each node has a set of local tasks of its own, so that
//! it can be killed, frozen and thawed like a process.

pub mod codec;

use std::{
    cell::Cell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    future::Future,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use hoisthitch_jobs::{
    JobPhase,
    JobSpec,
    ResourceAmounts,
    StepSpec, //
};
use hoisthitch_scheduler::{
    CallScope,
    CancelAnswer,
    DeploymentTerms,
    IntakeRules,
    JobKeys,
    JobService,
    NodeClock,
    NodeIdentity,
    NodeMetrics,
    NodeShared,
    StalenessLimits,
    StatusAnswer,
    SubmitAnswer,
    platform::{
        Platform,
        QueueRoute, //
    },
    run_node, //
};
use hoisthitch_tests::world::{
    DEFAULT_CAPACITY,
    HALLS,
    MemoryAdviser,
    MemoryFleet,
    MemoryStore,
    POOL,
    StoreFaults,
    discard_detached,
    run_detached,
    set_play_order,
    show_events, //
};
use tokio::task::{
    LocalSet,
    spawn_local, //
};

use codec::{
    CAPACITY_MARK,
    CORDONS_PREFIX,
    DRAINING,
    POOL_MARK,
    STARTED_AT_MARK,
    TestCodec,
    queue, //
};

/// CPU of a node where a test names no other, in thousandths of a core.
pub const POWER: u64 = 250;

/// Times for which a node uses a configuration and a list of runners without a new
/// confirmation.
const STALENESS_LIMITS: StalenessLimits = StalenessLimits {
    policy: Duration::from_secs(3),
    runners: Duration::from_millis(1_600),
    cordons: Duration::from_millis(1_600),
};

/// All data halls.
fn halls() -> BTreeSet<String> {
    (0..HALLS).map(|number| format!("hall-{number}")).collect()
}

/// The platform that a node of the tests runs on.
#[derive(Clone)]
pub struct TestPlatform {
    store: MemoryStore,
    fleet: MemoryFleet,
    adviser: MemoryAdviser,
    codec: TestCodec,
}

impl Platform for TestPlatform {
    type Store = MemoryStore;
    type Runners = MemoryFleet;
    type Vms = MemoryFleet;
    type Codec = TestCodec;
    type Advice = MemoryAdviser;

    fn store(&self) -> &MemoryStore {
        &self.store
    }

    fn runners(&self) -> &MemoryFleet {
        &self.fleet
    }

    fn vms(&self) -> &MemoryFleet {
        &self.fleet
    }

    fn codec(&self) -> &TestCodec {
        &self.codec
    }

    fn advice(&self) -> &MemoryAdviser {
        &self.adviser
    }
}

/// The tasks of a node, as one future: it polls none of them while the node is frozen, and
/// ends when the node is killed.
struct NodeTasks {
    set: LocalSet,
    frozen: Rc<Cell<bool>>,
    killed: Rc<Cell<bool>>,
    tick: tokio::time::Interval,
}

impl Future for NodeTasks {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        while self.tick.poll_tick(context).is_ready() {}
        if self.killed.get() {
            return Poll::Ready(());
        }
        if self.frozen.get() {
            return Poll::Pending;
        }
        Pin::new(&mut self.set).poll(context)
    }
}

/// A node of the tests.
pub struct TestNode {
    /// State that the tasks of the node share.
    pub shared: Arc<NodeShared>,
    /// The job service.
    pub service: JobService<MemoryStore>,
    frozen: Rc<Cell<bool>>,
    killed: Rc<Cell<bool>>,
    /// Total time for which its VM was suspended, in milliseconds.
    suspended_ms: Arc<AtomicU64>,
}

impl TestNode {
    /// Suspends the VM of the node for `time_ms`. Unlike on a frozen node, the steady clock
    /// stands still meanwhile.
    pub async fn suspend(&self, time_ms: u64) {
        self.freeze(true);
        sleep_ms(time_ms).await;
        self.suspended_ms.fetch_add(time_ms, Ordering::Relaxed);
        self.freeze(false);
    }

    /// Freezes or thaws the node. The tasks of a frozen node do not run, while its clock goes on.
    pub fn freeze(&self, frozen: bool) {
        self.frozen.set(frozen);
    }

    /// Ends the node at once, without a handover.
    pub fn kill(&self) {
        self.killed.set(true);
    }

    /// Submits a job for a caller that waits `time_ms`.
    pub async fn submit(
        &self,
        queue: &QueueRoute,
        id: &str,
        spec: JobSpec,
        time_ms: u64,
    ) -> SubmitAnswer {
        self.submit_in(CallScope::All, queue, id, spec, time_ms)
            .await
    }

    /// Submits a job for a caller whose access is limited to `scope`.
    pub async fn submit_in(
        &self,
        scope: CallScope<'_>,
        queue: &QueueRoute,
        id: &str,
        spec: JobSpec,
        time_ms: u64,
    ) -> SubmitAnswer {
        let deadline = self.shared.clock.now() + time_ms;
        self.service.submit(queue, scope, id, spec, deadline).await
    }

    /// Starts a planned shutdown: the node hands its pools over and exits.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
    }
}

/// A simulated cluster: the store, the runners and the nodes.
pub struct TestWorld {
    /// The store.
    pub store: MemoryStore,
    /// The runners.
    pub fleet: MemoryFleet,
    /// The nodes, by name.
    pub nodes: BTreeMap<String, TestNode>,
    /// How far the time of day of each node is ahead, in milliseconds, by its name. A change
    /// takes effect when the node starts next.
    pub ahead: BTreeMap<String, i64>,
    /// Terms of the deployment. A change takes effect for nodes that start later.
    pub terms: DeploymentTerms,
    /// How nodes that start later admit jobs.
    pub intake_rules: IntakeRules,
    /// Data halls of nodes, by name; others are in a hall of their own. A change takes effect when
    /// the node starts next.
    pub node_halls: BTreeMap<String, String>,
    /// Name of the pool.
    pub pool: String,
    instances: u64,
}

impl TestWorld {
    /// Starts nodes and runners, and gives the nodes time to elect an owner of the pool.
    ///
    /// # Errors
    ///
    /// Fails if the metrics of a node cannot be created.
    pub async fn start(nodes: usize, runners: usize) -> eyre::Result<Self> {
        Self::start_limited(nodes, runners, 0).await
    }

    /// Does the same with a store that serves `calls_per_s` calls per second; zero for no limit.
    ///
    /// # Errors
    ///
    /// Fails if the metrics of a node cannot be created.
    pub async fn start_limited(
        nodes: usize,
        runners: usize,
        calls_per_s: u32,
    ) -> eyre::Result<Self> {
        Self::start_named(POOL, nodes, runners, calls_per_s).await
    }

    /// Does the same with a pool of that name.
    ///
    /// # Errors
    ///
    /// Fails if the metrics of a node cannot be created.
    pub async fn start_named(
        pool: &str,
        nodes: usize,
        runners: usize,
        calls_per_s: u32,
    ) -> eyre::Result<Self> {
        let store = MemoryStore::default();
        store.set_faults(StoreFaults {
            calls_per_s,
            ..StoreFaults::default()
        });
        let fleet = MemoryFleet::default();
        let mut world = Self {
            store,
            fleet,
            nodes: BTreeMap::new(),
            ahead: BTreeMap::new(),
            terms: DeploymentTerms::with_halls(halls()),
            intake_rules: IntakeRules::default(),
            node_halls: BTreeMap::new(),
            pool: pool.to_owned(),
            instances: 0,
        };
        spawn_local(run_detached());
        let policy = format!("1{}", pool_mark(pool));
        world.store.put("op/policy", Some(policy.as_bytes()), 0);
        for number in 0..runners {
            world.begin_runner(&format!("vm-{number}"));
        }
        for number in 0..nodes {
            world.start_node(&format!("node-{number}"))?;
        }
        sleep_ms(1_500).await;
        Ok(world)
    }

    /// Starts a runner on a VM and writes its record. Returns the name of the runner.
    pub fn begin_runner(&self, vm: &str) -> String {
        let name = self.fleet.begin(vm);
        self.record_runner(&name, vm);
        name
    }

    /// Writes the record of a runner, with the start time and the capacity of its current
    /// instance.
    pub fn record_runner(&self, name: &str, vm: &str) {
        write_record(&self.store, &self.fleet, &self.pool, name, vm);
    }

    /// Marks a runner as draining in its record, as a runner that shuts down does.
    pub fn drain_runner(&self, name: &str) {
        let key = format!("runner/{name}");
        let record = self.store.get(&key);
        if let Some(mut record) = record.filter(|record| !record.ends_with(DRAINING.as_bytes())) {
            record.extend(DRAINING.bytes());
            self.store.put(&key, Some(&record), 0);
            self.fleet.mark_draining(name);
        }
    }

    /// Cordons a data hall, as operators do.
    pub fn cordon_hall(&self, hall: &str) {
        let key = format!("{CORDONS_PREFIX}{hall}");
        self.store.put(&key, Some(b""), 0);
        self.fleet.mark_cordoned(hall);
    }

    /// Takes the cordon of a data hall back.
    pub fn uncordon_hall(&self, hall: &str) {
        self.store.put(&format!("{CORDONS_PREFIX}{hall}"), None, 0);
        self.fleet.mark_uncordoned(hall);
    }

    /// Restarts each runner that a task crashed, `down_ms` after the crash, until the test
    /// ends: under its own name if `named`, or else a new runner on the same VM.
    pub fn keep_begun(&self, down_ms: u64, named: bool) {
        let (store, fleet, pool) = (self.store.clone(), self.fleet.clone(), self.pool.clone());
        spawn_local(async move {
            loop {
                for runner in fleet.take_crashed(Duration::from_millis(down_ms)) {
                    let name = if named {
                        fleet.restart(&runner.name);
                        runner.name
                    } else {
                        fleet.begin(&runner.vm)
                    };
                    write_record(&store, &fleet, &pool, &name, &runner.vm);
                }
                sleep_ms(20).await;
            }
        });
    }

    /// Changes the CPU capacity of a runner, in thousandths of a core, and its record.
    pub fn set_room(&self, name: &str, vm: &str, cpu_milli: u64) {
        self.fleet.set_capacity(
            name,
            ResourceAmounts {
                cpu_milli,
                ..DEFAULT_CAPACITY
            },
        );
        self.record_runner(name, vm);
    }

    /// Starts a node, or a new instance of it. An instance that still runs is not stopped.
    ///
    /// # Errors
    ///
    /// Fails if the metrics of the node cannot be created.
    pub fn start_node(&mut self, name: &str) -> eyre::Result<()> {
        self.start_node_with(name, POWER)
    }

    /// Does the same for a node with that CPU, in thousandths of a core.
    ///
    /// # Errors
    ///
    /// Fails if the metrics of the node cannot be created.
    pub fn start_node_with(&mut self, name: &str, cpu_milli: u64) -> eyre::Result<()> {
        self.instances += 1;
        let metrics = NodeMetrics::new()?;
        let ahead = self.ahead.get(name).copied().unwrap_or(0);
        let suspended_ms = Arc::new(AtomicU64::new(0));
        let unix_ms = self.fleet.unix_ms().saturating_add_signed(ahead);
        let clock = NodeClock::start_for_test(unix_ms, suspended_ms.clone());
        let terms = self.terms.clone();
        let shared = {
            let rules = self.intake_rules;
            NodeShared::with_clock(metrics, STALENESS_LIMITS, terms, clock, rules)
        };
        let platform = TestPlatform {
            store: self.store.for_node(name),
            fleet: self.fleet.for_node(name),
            adviser: self.fleet.adviser(),
            codec: TestCodec,
        };
        let identity = NodeIdentity {
            node: name.to_owned(),
            instance: self.instances,
            hall: self.node_hall(name),
            cpu_milli,
        };
        let keys = JobKeys::new("test");
        let set = LocalSet::new();
        let service = {
            let _guard = set.enter();
            JobService::open(platform.store.clone(), shared.clone(), keys.clone())
        };
        set.spawn_local(run_node(platform, shared.clone(), keys, identity));
        let node = TestNode {
            shared,
            service,
            frozen: Rc::default(),
            killed: Rc::default(),
            suspended_ms,
        };
        spawn_local(NodeTasks {
            set,
            frozen: node.frozen.clone(),
            killed: node.killed.clone(),
            tick: tokio::time::interval(Duration::from_millis(5)),
        });
        self.nodes.insert(name.to_owned(), node);
        Ok(())
    }

    /// Data hall of a node.
    pub fn node_hall(&self, name: &str) -> String {
        let hall = self.node_halls.get(name).cloned();
        hall.unwrap_or_else(|| "augusta".to_owned())
    }

    /// Name of the node that owns the pool according to the store; empty if none does.
    pub fn owner(&self) -> String {
        self.owner_of(&self.pool)
    }

    /// The same for any pool.
    pub fn owner_of(&self, pool: &str) -> String {
        let key = format!("test/group/owner/{pool}");
        let record = self.store.get(&key).unwrap_or_default();
        let text = String::from_utf8_lossy(&record).into_owned();
        let mut names = self.nodes.keys();
        names
            .find(|name| text.contains(&format!("\"{name}\"")))
            .cloned()
            .unwrap_or_default()
    }

    /// Submits a job to the usual queue, node by node, until one accepts it.
    ///
    /// # Errors
    ///
    /// Fails if no node accepts the job in 100 rounds.
    pub async fn submit(&self, id: &str, spec: JobSpec) -> eyre::Result<()> {
        let queue = QueueRoute {
            pool: self.pool.clone(),
            ..queue()
        };
        self.submit_to(&queue, id, spec).await
    }

    /// Submits a job to a queue, node by node, until one accepts it.
    ///
    /// # Errors
    ///
    /// Fails if no node accepts the job in 100 rounds.
    pub async fn submit_to(&self, queue: &QueueRoute, id: &str, spec: JobSpec) -> eyre::Result<()> {
        self.fleet.record_job(id, &spec, queue.policy.advised);
        for _ in 0..100 {
            for node in self.nodes.values() {
                if node.frozen.get() || node.killed.get() {
                    continue;
                }
                let answer = node.submit(queue, id, spec.clone(), 1_000);
                let answer = tokio::time::timeout(Duration::from_secs(2), answer).await;
                if matches!(answer, Ok(SubmitAnswer::Accepted)) {
                    return Ok(());
                }
            }
            sleep_ms(100).await;
        }
        eyre::bail!("{id} was never accepted")
    }

    /// Cancels a job, node by node, until one accepts the request.
    ///
    /// # Errors
    ///
    /// Fails if no node accepts it.
    pub async fn cancel(&self, id: &str) -> eyre::Result<()> {
        self.fleet.record_cancel(id);
        for node in self.nodes.values() {
            if node.frozen.get() || node.killed.get() {
                continue;
            }
            let deadline = node.shared.clock.now() + 2_000;
            if node.service.cancel(CallScope::All, id, deadline).await == CancelAnswer::Accepted {
                self.fleet.record_cancel_response(id);
                return Ok(());
            }
        }
        eyre::bail!("{id} was not cancelled")
    }

    /// Phase of a job, from the first live node that knows it.
    pub async fn phase(&self, id: &str) -> Option<JobPhase> {
        for node in self.nodes.values() {
            if node.frozen.get() || node.killed.get() {
                continue;
            }
            if let StatusAnswer::Known(phase) = node.service.status(CallScope::All, id).await {
                return Some(phase);
            }
        }
        None
    }

    /// Waits until a job is in the wanted phase.
    ///
    /// # Errors
    ///
    /// Fails if the job is in another phase after `limit_ms`.
    pub async fn wait_phase(&self, id: &str, wanted: JobPhase, limit_ms: u64) -> eyre::Result<()> {
        let mut last = None;
        for _ in 0..limit_ms / 50 {
            last = self.phase(id).await;
            if last == Some(wanted) {
                return Ok(());
            }
            sleep_ms(50).await;
        }
        eyre::bail!("{id} is {last:?} after {limit_ms} ms, not {wanted:?}")
    }

    /// Starts a runner on each VM whose maintenance is over.
    pub fn revive(&self) {
        for vm in self.fleet.take_maintained() {
            self.begin_runner(&vm);
        }
    }
}

/// Writes the record of a runner, in the format of [`TestCodec`].
fn write_record(store: &MemoryStore, fleet: &MemoryFleet, pool: &str, name: &str, vm: &str) {
    let started_at = fleet.started_at(name);
    let started_at = started_at.map_or_else(String::new, |started_at| {
        format!("{STARTED_AT_MARK}{started_at}")
    });
    let room = fleet.capacity(name).cpu_milli;
    let record = format!("{vm}{started_at}{CAPACITY_MARK}{room}{}", pool_mark(pool));
    store.put(&format!("runner/{name}"), Some(record.as_bytes()), 0);
}

/// Names the pool in a record where it is not the usual one.
fn pool_mark(pool: &str) -> String {
    if pool == POOL {
        String::new()
    } else {
        format!("{POOL_MARK}{pool}")
    }
}

/// Sleeps on the paused clock of the runtime.
pub async fn sleep_ms(time: u64) {
    tokio::time::sleep(Duration::from_millis(time)).await;
}

/// A job with one step for each of `counts`, each step after the one before. All tasks have
/// the same payload and the same estimate.
pub fn job(payload: &str, counts: &[u32]) -> JobSpec {
    let steps = (0..).zip(counts).map(|(number, count)| StepSpec {
        count: *count,
        need: ResourceAmounts {
            cpu_milli: 1_000,
            memory_mb: 500,
            gpus: 0,
        },
        estimate_ms: 300,
        after: if number > 0 {
            vec![number - 1]
        } else {
            Vec::new()
        },
        ..StepSpec::default()
    });
    JobSpec {
        payload: payload.to_owned(),
        steps: steps.collect(),
        schedule: None,
    }
}

/// A job of one step with `count` long-running tasks, each on a runner of its own, of which
/// `max_unavailable` may be unavailable at the same time.
pub fn lasting(count: u32, max_unavailable: u32) -> JobSpec {
    let mut spec = job("lasts", &[count]);
    for step in &mut spec.steps {
        step.long_running = true;
        step.max_per_runner = 1;
        step.max_unavailable = max_unavailable;
    }
    spec
}

/// Runs a test on a runtime with a paused clock.
///
/// # Errors
///
/// Returns the error of the test, or that of the runtime's start.
pub fn play(test: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    play_in_order(0, test)
}

/// Runs a test as [`play`] does, in another order of tasks that are ready at the same time;
/// zero is the plain one.
///
/// # Errors
///
/// As [`play`].
pub fn play_in_order(order: u64, test: impl Future<Output = eyre::Result<()>>) -> eyre::Result<()> {
    set_play_order(order);
    discard_detached();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        show_events();
        test.await
    })
}
