//! The platform's list of VMs, which may lag.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use actix_web::{
    HttpRequest,
    HttpResponse,
    http::header,
    web, //
};
use hoisthitch_store::{
    ListedVm,
    RebootRequest,
    VmState, //
};
use serde::Deserialize;
use tokio::time::Instant;

use crate::platform::PlatformState;

/// Versions of the list kept for the lag.
const VERSION_LIMIT: usize = 1_000;

/// The list, with the versions that a lag still shows.
#[derive(Default)]
pub struct VmList {
    inner: Mutex<ListState>,
}

#[derive(Default)]
struct ListState {
    lag: Duration,
    outage: bool,
    reboot: Duration,
    lost: Vec<String>,
    versions: VecDeque<ListVersion>,
    /// Versions so far.
    count: u64,
}

#[derive(Clone)]
struct ListVersion {
    since: Instant,
    /// Entity tag.
    tag: String,
    vms: Vec<ListedVm>,
}

/// How the list behaves.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListPlan {
    /// Time until a change shows, in milliseconds.
    lag_ms: u64,
    /// Whether every call fails.
    outage: bool,
    /// Time that a reboot takes, in milliseconds.
    reboot_ms: u64,
    /// VMs that don't come back from a reboot.
    lost: Vec<String>,
}

/// Adds the handlers.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/vms", web::get().to(get_vms))
        .route("/vms/reboot", web::post().to(reboot))
        .route("/standin/vms", web::put().to(put_vms))
        .route("/standin/list", web::put().to(put_plan));
}

async fn get_vms(state: web::Data<PlatformState>, request: HttpRequest) -> HttpResponse {
    let list = state.list.lock();
    if list.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let now = Instant::now();
    let Some(shown) = list.shown(now) else {
        return HttpResponse::Ok().json(Vec::<ListedVm>::new());
    };
    let known = request.headers().get(header::IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == shown.tag.as_bytes()) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok()
        .insert_header((header::ETAG, shown.tag.as_str()))
        .json(&shown.vms)
}

async fn put_vms(state: web::Data<PlatformState>, vms: web::Json<Vec<ListedVm>>) -> HttpResponse {
    let mut list = state.list.lock();
    list.add(vms.into_inner());
    if list.versions.len() > VERSION_LIMIT {
        list.versions.pop_front();
    }
    HttpResponse::NoContent().finish()
}

async fn reboot(state: web::Data<PlatformState>, call: web::Json<RebootRequest>) -> HttpResponse {
    let RebootRequest { vm, boots } = call.into_inner();
    let Some(time) = state.list.begin_reboot(&vm, boots) else {
        return HttpResponse::Ok().finish();
    };
    actix_web::rt::spawn(async move {
        tokio::time::sleep(time).await;
        state.list.end_reboot(&vm);
    });
    HttpResponse::Ok().finish()
}

async fn put_plan(state: web::Data<PlatformState>, plan: web::Json<ListPlan>) -> HttpResponse {
    let mut list = state.list.lock();
    list.lag = Duration::from_millis(plan.lag_ms);
    list.outage = plan.outage;
    list.reboot = Duration::from_millis(plan.reboot_ms);
    list.lost.clone_from(&plan.lost);
    HttpResponse::NoContent().finish()
}

impl VmList {
    /// Begins a reboot; none where the VM was started since or is not known.
    fn begin_reboot(&self, vm: &str, boots: u64) -> Option<Duration> {
        let mut list = self.lock();
        let time = list.reboot;
        let changed = list.change(vm, |listed| {
            let fits = listed.boots == boots && listed.state != VmState::Rebooting;
            if fits {
                listed.state = VmState::Rebooting;
            }
            fits
        });
        changed.then_some(time)
    }

    fn end_reboot(&self, vm: &str) {
        let mut list = self.lock();
        if list.lost.iter().any(|lost| lost == vm) {
            return;
        }
        list.change(vm, |listed| {
            listed.state = VmState::Live;
            listed.boots += 1;
            true
        });
    }

    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ListState {
    /// Changes a VM in a new version of the list.
    fn change(&mut self, vm: &str, change: impl FnOnce(&mut ListedVm) -> bool) -> bool {
        let mut vms = self
            .versions
            .back()
            .map_or_else(Vec::new, |version| version.vms.clone());
        let Some(listed) = vms.iter_mut().find(|listed| listed.vm == vm) else {
            return false;
        };
        if !change(listed) {
            return false;
        }
        self.add(vms);
        true
    }

    /// Adds a version.
    fn add(&mut self, vms: Vec<ListedVm>) {
        self.count += 1;
        self.versions.push_back(ListVersion {
            since: Instant::now(),
            tag: format!("\"{}\"", self.count),
            vms,
        });
    }

    /// The version that shows, with the lag.
    fn shown(&self, now: Instant) -> Option<&ListVersion> {
        let mut versions = self.versions.iter().rev();
        versions
            .find(|version| version.since + self.lag <= now)
            .or(self.versions.front())
    }
}
