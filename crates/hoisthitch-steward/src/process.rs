//! Process of the steward: at intervals, reads the fleet, plans actions for the
//! pools that it ranks first for, and carries them out.

use std::time::Duration;

use eyre::Result;
use hoisthitch_core::{
    FleetAction,
    plan_pool,
    rendezvous_order, //
};
use hoisthitch_store::{
    EtcdClient,
    KeySpace,
    LeaseId,
    RecordWriter,
    StoreClient,
    StoreError,
    StoreRevision,
    VmLister, //
};
use hoisthitch_telemetry::event;
use hoisthitch_wire::{
    MeshEndpoint,
    MeshKeys, //
};
use tokio::{
    signal::unix::{
        SignalKind,
        signal, //
    },
    time::Instant, //
};

use crate::{
    actions::{
        ActionError,
        ActionExecutor,
        VIEW_MAX_AGE, //
    },
    barrier::DrainBarrier,
    settings::StewardSettings,
    view::{
        FleetView,
        ViewReader, //
    }, //
};

/// Time to live of the lease that shows that a steward is alive.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// Time between two renewals of the lease.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a steward until a stop signal.
///
/// # Errors
///
/// Fails if the mesh address or the keys can't be used.
pub async fn run_steward(settings: StewardSettings) -> Result<()> {
    let mut steward = FleetSteward::new(settings)?;
    let mut stop = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    event!(Info, "started", name = steward.settings.name);
    tokio::select! {
        () = steward.run() => {}
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
    event!(Info, "stopped");
    Ok(())
}

/// State of a steward.
struct FleetSteward {
    settings: StewardSettings,
    store: EtcdClient,
    reader: ViewReader<EtcdClient>,
    keys: KeySpace,
    executor: ActionExecutor<EtcdClient>,
    lease: Option<StewardLease>,
    /// Version of the last view for which no action was planned.
    idle_version: Option<u64>,
}

/// The lease that shows that this steward is alive.
struct StewardLease {
    id: LeaseId,
    renewed_at: Instant,
}

impl FleetSteward {
    fn new(settings: StewardSettings) -> Result<Self> {
        let store = EtcdClient::new(&settings.store, settings.timeout);
        let lister = VmLister::new(&settings.vms, settings.timeout);
        let keys = KeySpace::new(&settings.root);
        let mesh_keys = MeshKeys::load(&settings.certificate, &settings.key, &settings.authority)?;
        let endpoint = MeshEndpoint::open(&settings.name, settings.mesh_listen, &mesh_keys)?;
        let resolve_timeout = settings.timeout * 3;
        let records = RecordWriter::new(store.clone(), &settings.name, resolve_timeout);
        let barrier = DrainBarrier::new(endpoint);
        Ok(Self {
            reader: ViewReader::new(store.clone(), lister.clone(), keys.clone()),
            executor: ActionExecutor::new(records, lister, barrier, keys.clone()),
            settings,
            store,
            keys,
            lease: None,
            idle_version: None,
        })
    }

    async fn run(&mut self) {
        loop {
            if let Err(err) = self.run_pass().await {
                event!(Warn, "platform_fails", error = err);
            }
            tokio::time::sleep(self.settings.interval).await;
        }
    }

    async fn run_pass(&mut self) -> Result<(), StoreError> {
        self.maintain_lease().await?;
        let view = self.reader.read().await?;
        if self.idle_version == Some(view.version) {
            return Ok(());
        }
        let actions = plan(&self.settings.name, view);
        if actions.is_empty() {
            self.idle_version = Some(view.version);
        }
        for action in actions {
            if view.read_at.elapsed() > VIEW_MAX_AGE {
                event!(
                    Info,
                    "view_too_old",
                    age_ms = view.read_at.elapsed().as_millis()
                );
                return Ok(());
            }
            match self.executor.execute(view, action.clone()).await {
                Ok(()) => {}
                Err(err @ (ActionError::Write(_) | ActionError::Platform(_))) => {
                    event!(
                        Warn,
                        "action_failed",
                        action = format!("{action:?}"),
                        error = err
                    );
                }
                Err(err) => {
                    event!(
                        Debug,
                        "action_void",
                        action = format!("{action:?}"),
                        error = err
                    );
                }
            }
        }
        Ok(())
    }

    /// Renews the lease that shows that this steward is alive, or creates it.
    async fn maintain_lease(&mut self) -> Result<(), StoreError> {
        if let Some(lease) = &mut self.lease {
            if lease.renewed_at.elapsed() < LEASE_RENEWAL_INTERVAL {
                return Ok(());
            }
            let renewed_at = Instant::now();
            if self.store.keep_alive(lease.id).await? {
                lease.renewed_at = renewed_at;
                return Ok(());
            }
            self.lease = None;
        }
        let renewed_at = Instant::now();
        let id = self.store.grant_lease(LEASE_TTL).await?;
        let key = self.keys.steward(&self.settings.name);
        let stored = self.store.read(&key).await?;
        let revision = stored.map_or(StoreRevision::default(), |stored| stored.revision);
        self.store.swap(&key, revision, b"", Some(id)).await?;
        self.lease = Some(StewardLease { id, renewed_at });
        Ok(())
    }
}

/// Plans actions for the pools for which the steward ranks first.
fn plan(steward: &str, view: &FleetView) -> Vec<FleetAction> {
    let stewards: Vec<&str> = view.stewards.iter().map(String::as_str).collect();
    let snapshot = view.snapshot();
    let rows = view.table.pools.iter();
    let own_rows = rows.filter(|row| {
        let order = rendezvous_order(&row.name, &stewards);
        order.first() == Some(&steward)
    });
    own_rows.flat_map(|row| plan_pool(&snapshot, row)).collect()
}
