//! Process of the entry: starts its actors and servers, and stops them in order.
//!
//! On a stop signal the entry first becomes unready, then refuses new connections
//! and finishes the requests in flight, and last removes itself from the roster.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use actix::{
    Actor,
    Addr, //
};
use actix_web::{
    App,
    dev::{
        Server,
        ServerHandle, //
    },
    middleware::from_fn,
    web, //
};
use eyre::{
    Result,
    WrapErr, //
};
use hoisthitch_core::{
    RefusalReason,
    RosterEntry,
    WorkRefusal, //
};
use hoisthitch_listener::{
    ListenerLimits,
    ListenerMetrics,
    ServerPlan,
    VmResources,
    start_server, //
};
use hoisthitch_store::{
    ClaimWriter,
    EtcdClient,
    KeySpace,
    VmLister, //
};
use hoisthitch_telemetry::event;
use hoisthitch_wire::{
    MeshEndpoint,
    MeshKeys, //
};
use tokio::signal::unix::{
    Signal,
    SignalKind,
    signal, //
};

use crate::{
    control::{
        Connect,
        MeshHub,
        RosterKeeper,
        TableWriter,
        ViewKeeper,
        follow_store,
        follow_vms, //
    },
    operators,
    settings::EntrySettings,
    state::SharedState,
    traffic::serve_request, //
};

/// Time between two checks for slots that became free without an event.
const GRANT_INTERVAL: Duration = Duration::from_millis(100);

/// `Retry-After` of requests that a stopping entry refuses.
const STOP_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time that the stopping operators' server waits for its requests.
const OPERATOR_STOP_LIMIT: Duration = Duration::from_secs(1);

/// Runs an entry until a stop signal.
///
/// # Errors
///
/// Fails if an address can't be listened on, or the mesh keys can't be used.
pub async fn run_entry(settings: EntrySettings) -> Result<()> {
    let platform = &settings.platform;
    let store = EtcdClient::new(&platform.store, platform.timeout);
    let retention = settings.callers.claim_retention;
    let (client, writer) = ClaimWriter::new(store.clone(), retention);
    let shared = SharedState::new(settings, client, store.calls().clone())
        .wrap_err("metrics can't be registered")?;
    actix_web::rt::spawn(writer.run());
    let parts = start_control(&shared, store)?;
    let metrics =
        ListenerMetrics::new(&shared.metrics.registry).wrap_err("metrics can't be registered")?;
    let operators = operator_server(&shared, &parts, &metrics)?;
    let callers = caller_server(&shared, &metrics)?;
    let handles = [callers.handle(), operators.handle()];
    let callers = actix_web::rt::spawn(callers);
    actix_web::rt::spawn(operators);
    event!(
        Info,
        "started",
        callers = shared.settings.callers.listen,
        operators = shared.settings.operators.listen,
        hall = shared.settings.hall,
    );
    stop_on_signal(&shared, &handles).await?;
    callers.await??;
    if let Some(roster) = parts.roster {
        roster.unregister().await;
    }
    event!(Info, "stopped");
    Ok(())
}

/// Actors of the control thread, and the registration on the roster.
struct ControlParts {
    keeper: Addr<ViewKeeper>,
    writer: Addr<TableWriter>,
    roster: Option<Rc<RosterKeeper<EtcdClient>>>,
}

fn start_control(shared: &Arc<SharedState>, store: EtcdClient) -> Result<ControlParts> {
    let platform = &shared.settings.platform;
    let lister = VmLister::new(&platform.vms, platform.timeout);
    let keys = KeySpace::new(&platform.root);
    let keeper = ViewKeeper::new(shared.clone()).start();
    let writer = TableWriter::new(shared, store.clone(), keeper.clone()).start();
    let interval = platform.vms_interval;
    let mesh = start_mesh(shared, &keeper)?;
    keeper.do_send(Connect {
        mesh,
        writer: writer.clone(),
    });
    let roster = start_roster(shared, &store, &keeper);
    actix_web::rt::spawn(follow_store(store, keys, keeper.clone(), shared.clone()));
    actix_web::rt::spawn(follow_vms(lister, interval, keeper.clone(), shared.clone()));
    actix_web::rt::spawn(grant_free_slots(shared.clone()));
    Ok(ControlParts {
        keeper,
        writer,
        roster,
    })
}

fn start_mesh(
    shared: &Arc<SharedState>,
    keeper: &Addr<ViewKeeper>,
) -> Result<Option<Addr<MeshHub>>> {
    let Some(mesh) = &shared.settings.mesh else {
        return Ok(None);
    };
    let keys = MeshKeys::load(&mesh.certificate, &mesh.key, &mesh.authority)?;
    let endpoint = MeshEndpoint::open(&shared.settings.name, mesh.listen, &keys)?;
    let hub = MeshHub::new(shared.clone(), endpoint, keeper.clone());
    Ok(Some(hub.start()))
}

fn start_roster(
    shared: &Arc<SharedState>,
    store: &EtcdClient,
    keeper: &Addr<ViewKeeper>,
) -> Option<Rc<RosterKeeper<EtcdClient>>> {
    let mesh = shared.settings.mesh.as_ref()?;
    let entry = RosterEntry {
        name: shared.settings.name.clone(),
        mesh: mesh.advertise,
    };
    let roster = RosterKeeper::new(shared, store.clone(), entry, keeper.clone());
    let roster = Rc::new(roster);
    let task_roster = roster.clone();
    let shared = shared.clone();
    actix_web::rt::spawn(async move { task_roster.keep_registered(&shared).await });
    Some(roster)
}

/// Grants slots that become free without an event, such as those of runners whose
/// ejection has ended.
async fn grant_free_slots(shared: Arc<SharedState>) {
    loop {
        tokio::time::sleep(GRANT_INTERVAL).await;
        for dispatcher in shared.routes.load().dispatchers() {
            dispatcher.update(|_| {});
        }
    }
}

fn caller_server(shared: &Arc<SharedState>, metrics: &ListenerMetrics) -> Result<Server> {
    let callers = &shared.settings.callers;
    let data = web::Data::from(shared.clone());
    let plan = ServerPlan {
        name: "callers",
        address: callers.listen,
        threads: callers.threads,
        stop_limit: callers.stop_limit,
        limits: callers.limits,
        metrics: metrics.clone(),
    };
    start_server(plan, move || {
        App::new()
            .app_data(data.clone())
            .default_service(web::route().to(serve_request))
    })
    .wrap_err_with(|| format!("callers' address {}", callers.listen))
}

fn operator_server(
    shared: &Arc<SharedState>,
    parts: &ControlParts,
    metrics: &ListenerMetrics,
) -> Result<Server> {
    let listen = shared.settings.operators.listen;
    let data = web::Data::from(shared.clone());
    let keeper = web::Data::new(parts.keeper.clone());
    let writer = web::Data::new(parts.writer.clone());
    let plan = ServerPlan {
        name: "operators",
        address: listen,
        threads: 1,
        stop_limit: OPERATOR_STOP_LIMIT,
        limits: ListenerLimits::for_operators(VmResources::detect()),
        metrics: metrics.clone(),
    };
    start_server(plan, move || {
        App::new()
            .app_data(data.clone())
            .app_data(keeper.clone())
            .app_data(writer.clone())
            .wrap(from_fn(operators::require_token))
            .configure(operators::configure)
    })
    .wrap_err_with(|| format!("operators' address {listen}"))
}

/// Waits for a stop signal, then stops the servers gracefully.
///
/// The entry becomes unready at once, but listens on for the notice period, so that
/// the load balancer sends new requests elsewhere. A second signal ends the notice
/// period and refuses all queued requests.
async fn stop_on_signal(shared: &Arc<SharedState>, handles: &[ServerHandle]) -> Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    wait_for_signal(&mut stop, &mut interrupt).await;
    shared.begin_stop();
    let notice = shared.settings.callers.stop_notice;
    event!(Info, "stopping", notice_ms = notice.as_millis());
    let interrupted = tokio::select! {
        () = tokio::time::sleep(notice) => false,
        () = wait_for_signal(&mut stop, &mut interrupt) => true,
    };
    if interrupted {
        refuse_queued(shared);
    }
    let shared = shared.clone();
    actix_web::rt::spawn(async move {
        wait_for_signal(&mut stop, &mut interrupt).await;
        refuse_queued(&shared);
    });
    for handle in handles {
        handle.stop(true).await;
    }
    Ok(())
}

async fn wait_for_signal(stop: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = stop.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn refuse_queued(shared: &SharedState) {
    event!(Info, "queues_refused");
    for dispatcher in shared.routes.load().dispatchers() {
        dispatcher.refuse_all(WorkRefusal {
            reason: RefusalReason::Stopping,
            retry_after: STOP_RETRY_AFTER,
        });
    }
}
