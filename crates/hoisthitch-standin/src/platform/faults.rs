//! Injected faults of the store, set and cleared by tests, and call counters.

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

/// Faults to inject.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Whether every call fails and open watches end.
    pub outage: bool,
    /// Delay of each call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming writes that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Whether watches stay open but report no changes.
    pub silent_watches: bool,
}

/// Number of calls, counted as for the platform's bill.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CallTotals {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
}

/// Current faults, call counters and the saved copy of the store.
#[derive(Default)]
pub struct StoreFaults {
    plan: Mutex<FaultPlan>,
    totals: Mutex<CallTotals>,
    saved: Mutex<Option<StoreValues>>,
}

/// Outcome of a call.
pub enum CallOutcome {
    /// The call takes effect and its response is sent.
    Respond,
    /// The call fails before it takes effect.
    Fail,
    /// The call takes effect but its response is lost.
    LoseResponse,
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
    /// Counts a call, waits for the configured delay and returns the outcome that
    /// the call is to have.
    pub async fn begin_call(&self, kind: CallKind) -> CallOutcome {
        self.count(kind);
        let delay = lock(&self.plan).delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let mut plan = lock(&self.plan);
        if plan.outage {
            return CallOutcome::Fail;
        }
        if kind == CallKind::Write && plan.lose_answers > 0 {
            plan.lose_answers -= 1;
            return CallOutcome::LoseResponse;
        }
        CallOutcome::Respond
    }

    /// Returns the current faults.
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

/// Registers the handlers.
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
