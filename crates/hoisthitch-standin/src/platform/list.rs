//! The platform's list of VMs and its reboots; changes can be made to show with
//! a lag.

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

/// Versions of the list that are kept, as a lag shows earlier ones.
const MAX_VERSIONS: usize = 1_000;

/// The list, with the earlier versions that a lag can still show.
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
    /// Number of versions so far; the source of the entity tags.
    version_count: u64,
}

#[derive(Clone)]
struct ListVersion {
    added_at: Instant,
    /// Entity tag of the HTTP response.
    tag: String,
    vms: Vec<ListedVm>,
}

/// Behaviour of the list.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListPlan {
    /// Time until a change becomes visible, in milliseconds.
    lag_ms: u64,
    /// Whether every call fails.
    outage: bool,
    /// Duration of a reboot, in milliseconds.
    reboot_ms: u64,
    /// VMs that stay in the state `Rebooting` once they are rebooted.
    lost: Vec<String>,
}

/// Registers the handlers.
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
    let Some(version) = list.visible_version(now) else {
        return HttpResponse::Ok().json(Vec::<ListedVm>::new());
    };
    let known = request.headers().get(header::IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == version.tag.as_bytes()) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok()
        .insert_header((header::ETAG, version.tag.as_str()))
        .json(&version.vms)
}

async fn put_vms(state: web::Data<PlatformState>, vms: web::Json<Vec<ListedVm>>) -> HttpResponse {
    let mut list = state.list.lock();
    list.push_version(vms.into_inner());
    if list.versions.len() > MAX_VERSIONS {
        list.versions.pop_front();
    }
    HttpResponse::NoContent().finish()
}

async fn reboot(state: web::Data<PlatformState>, call: web::Json<RebootRequest>) -> HttpResponse {
    let RebootRequest { vm, boots } = call.into_inner();
    let Some(duration) = state.list.begin_reboot(&vm, boots) else {
        return HttpResponse::Ok().finish();
    };
    actix_web::rt::spawn(async move {
        tokio::time::sleep(duration).await;
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
    /// Begins a reboot and returns its duration.
    ///
    /// Returns `None` if the VM is not listed, has already been rebooted (its number
    /// of boots is not `boots`) or is rebooting.
    fn begin_reboot(&self, vm: &str, boots: u64) -> Option<Duration> {
        let mut list = self.lock();
        let duration = list.reboot;
        let changed = list.update_vm(vm, |listed| {
            let can_reboot = listed.boots == boots && listed.state != VmState::Rebooting;
            if can_reboot {
                listed.state = VmState::Rebooting;
            }
            can_reboot
        });
        changed.then_some(duration)
    }

    fn end_reboot(&self, vm: &str) {
        let mut list = self.lock();
        if list.lost.iter().any(|lost| lost == vm) {
            return;
        }
        list.update_vm(vm, |listed| {
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
    /// Adds a version of the list in which one VM is updated.
    ///
    /// Returns `false`, and adds none, if the VM is not listed or `update` returns
    /// `false`.
    fn update_vm(&mut self, vm: &str, update: impl FnOnce(&mut ListedVm) -> bool) -> bool {
        let mut vms = self
            .versions
            .back()
            .map_or_else(Vec::new, |version| version.vms.clone());
        let Some(listed) = vms.iter_mut().find(|listed| listed.vm == vm) else {
            return false;
        };
        if !update(listed) {
            return false;
        }
        self.push_version(vms);
        true
    }

    /// Adds a version of the list.
    fn push_version(&mut self, vms: Vec<ListedVm>) {
        self.version_count += 1;
        self.versions.push_back(ListVersion {
            added_at: Instant::now(),
            tag: format!("\"{}\"", self.version_count),
            vms,
        });
    }

    /// Returns the newest version that is at least as old as the lag, else the
    /// oldest.
    fn visible_version(&self, now: Instant) -> Option<&ListVersion> {
        let mut versions = self.versions.iter().rev();
        versions
            .find(|version| version.added_at + self.lag <= now)
            .or(self.versions.front())
    }
}
