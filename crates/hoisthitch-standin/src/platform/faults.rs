//! Faults of the store, set and cleared by tests.

use std::{
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
use serde::{
    Deserialize,
    Serialize, //
};

use crate::platform::{
    PlatformState,
    values::StoreValues, //
};

/// Faults in force.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Whether every call fails and watches end.
    pub outage: bool,
    /// Time that each answer is held back, in milliseconds.
    pub delay_ms: u64,
    /// Writes to come that take effect and whose answers are lost.
    pub lose_answers: u32,
    /// Whether watches stay open and tell nothing.
    pub silent_watches: bool,
}

/// Calls counted, as the platform's bill would.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CallTotals {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
}

/// Faults in force and calls counted.
#[derive(Default)]
pub struct StoreFaults {
    plan: Mutex<FaultPlan>,
    totals: Mutex<CallTotals>,
    saved: Mutex<Option<StoreValues>>,
}

/// What a call meets.
pub enum CallFate {
    /// The call is answered.
    Answer,
    /// The call fails before it takes effect.
    Fail,
    /// The call takes effect and its answer is lost.
    Lose,
}

/// Kinds of calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A read.
    Read,
    /// A write.
    Write,
    /// A watch.
    Watch,
}

impl StoreFaults {
    /// Counts a call, holds it back as long as told, and decides its fate.
    pub async fn meet(&self, kind: CallKind) -> CallFate {
        self.count(kind);
        let delay = lock(&self.plan).delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let mut plan = lock(&self.plan);
        if plan.outage {
            return CallFate::Fail;
        }
        if kind == CallKind::Write && plan.lose_answers > 0 {
            plan.lose_answers -= 1;
            return CallFate::Lose;
        }
        CallFate::Answer
    }

    /// Faults in force.
    pub fn plan(&self) -> FaultPlan {
        lock(&self.plan).clone()
    }

    fn count(&self, kind: CallKind) {
        let mut totals = lock(&self.totals);
        match kind {
            CallKind::Read => totals.reads += 1,
            CallKind::Write => totals.writes += 1,
            CallKind::Watch => totals.watches += 1,
        }
    }
}

/// Adds the handlers.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/standin/faults", web::put().to(put_faults))
        .route("/standin/calls", web::get().to(get_calls))
        .route("/standin/save", web::post().to(save))
        .route("/standin/restore", web::post().to(restore));
}

async fn put_faults(state: web::Data<PlatformState>, plan: web::Json<FaultPlan>) -> HttpResponse {
    *lock(&state.faults.plan) = plan.into_inner();
    HttpResponse::NoContent().finish()
}

async fn get_calls(state: web::Data<PlatformState>) -> HttpResponse {
    HttpResponse::Ok().json(*lock(&state.faults.totals))
}

async fn save(state: web::Data<PlatformState>) -> HttpResponse {
    *lock(&state.faults.saved) = Some(state.values.snapshot());
    HttpResponse::NoContent().finish()
}

async fn restore(state: web::Data<PlatformState>) -> HttpResponse {
    let Some(saved) = lock(&state.faults.saved).clone() else {
        return HttpResponse::Conflict().body("nothing was saved");
    };
    state.values.restore(saved);
    HttpResponse::NoContent().finish()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
