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
    RebootCall,
    VmState, //
};
use serde::Deserialize;
use tokio::time::Instant;

use crate::platform::PlatformState;

/// Versions of the list kept for the lag.
const VERSION_LIMIT: usize = 1_000;

/// The list, with the versions that a lag still shows.
#[derive(Default)]
pub struct VmBoard {
    inner: Mutex<BoardState>,
}

#[derive(Default)]
struct BoardState {
    lag: Duration,
    outage: bool,
    reboot: Duration,
    lost: Vec<String>,
    versions: VecDeque<BoardVersion>,
    /// Versions so far.
    count: u64,
}

#[derive(Clone)]
struct BoardVersion {
    since: Instant,
    /// Entity tag.
    tag: String,
    vms: Vec<ListedVm>,
}

/// How the list behaves.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoardPlan {
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
    let board = state.board.lock();
    if board.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let now = Instant::now();
    let Some(shown) = board.shown(now) else {
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
    let mut board = state.board.lock();
    board.add(vms.into_inner());
    if board.versions.len() > VERSION_LIMIT {
        board.versions.pop_front();
    }
    HttpResponse::NoContent().finish()
}

async fn reboot(state: web::Data<PlatformState>, call: web::Json<RebootCall>) -> HttpResponse {
    let RebootCall { vm, boots } = call.into_inner();
    let Some(time) = state.board.begin_reboot(&vm, boots) else {
        return HttpResponse::Ok().finish();
    };
    actix_web::rt::spawn(async move {
        tokio::time::sleep(time).await;
        state.board.end_reboot(&vm);
    });
    HttpResponse::Ok().finish()
}

async fn put_plan(state: web::Data<PlatformState>, plan: web::Json<BoardPlan>) -> HttpResponse {
    let mut board = state.board.lock();
    board.lag = Duration::from_millis(plan.lag_ms);
    board.outage = plan.outage;
    board.reboot = Duration::from_millis(plan.reboot_ms);
    board.lost.clone_from(&plan.lost);
    HttpResponse::NoContent().finish()
}

impl VmBoard {
    /// Begins a reboot; none where the VM was started since or is not known.
    fn begin_reboot(&self, vm: &str, boots: u64) -> Option<Duration> {
        let mut board = self.lock();
        let time = board.reboot;
        let changed = board.change(vm, |listed| {
            let fits = listed.boots == boots && listed.state != VmState::Rebooting;
            if fits {
                listed.state = VmState::Rebooting;
            }
            fits
        });
        changed.then_some(time)
    }

    fn end_reboot(&self, vm: &str) {
        let mut board = self.lock();
        if board.lost.iter().any(|lost| lost == vm) {
            return;
        }
        board.change(vm, |listed| {
            listed.state = VmState::Live;
            listed.boots += 1;
            true
        });
    }

    fn lock(&self) -> MutexGuard<'_, BoardState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BoardState {
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
        self.versions.push_back(BoardVersion {
            since: Instant::now(),
            tag: format!("\"{}\"", self.count),
            vms,
        });
    }

    /// The version that shows, with the lag.
    fn shown(&self, now: Instant) -> Option<&BoardVersion> {
        let mut versions = self.versions.iter().rev();
        versions
            .find(|version| version.since + self.lag <= now)
            .or(self.versions.front())
    }
}
