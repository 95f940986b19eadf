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
    HttpResponse,
    web, //
};
use hoisthitch_store::ListedVm;
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
    versions: VecDeque<BoardVersion>,
}

#[derive(Clone)]
struct BoardVersion {
    since: Instant,
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
}

/// Adds the handlers.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/vms", web::get().to(get_vms))
        .route("/standin/vms", web::put().to(put_vms))
        .route("/standin/list", web::put().to(put_plan));
}

async fn get_vms(state: web::Data<PlatformState>) -> HttpResponse {
    let board = state.board.lock();
    if board.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let now = Instant::now();
    let shown = board
        .versions
        .iter()
        .rev()
        .find(|version| version.since + board.lag <= now)
        .or(board.versions.front());
    let vms = shown.map_or_else(Vec::new, |version| version.vms.clone());
    HttpResponse::Ok().json(vms)
}

async fn put_vms(state: web::Data<PlatformState>, vms: web::Json<Vec<ListedVm>>) -> HttpResponse {
    let mut board = state.board.lock();
    board.versions.push_back(BoardVersion {
        since: Instant::now(),
        vms: vms.into_inner(),
    });
    if board.versions.len() > VERSION_LIMIT {
        board.versions.pop_front();
    }
    HttpResponse::NoContent().finish()
}

async fn put_plan(state: web::Data<PlatformState>, plan: web::Json<BoardPlan>) -> HttpResponse {
    let mut board = state.board.lock();
    board.lag = Duration::from_millis(plan.lag_ms);
    board.outage = plan.outage;
    HttpResponse::NoContent().finish()
}

impl VmBoard {
    fn lock(&self) -> MutexGuard<'_, BoardState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
