//! Stand-in for a runner: a service with a number of slots that works for as
//! long as each request asks for, echoes its body, and keeps a journal.
//!
//! Requests beyond the slots wait inside the runner, first come first served.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use actix_web::{
    App,
    HttpRequest,
    HttpResponse,
    HttpServer,
    web, //
};
use argh::FromArgs;
use bytes::Bytes;
use eyre::Result;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::Semaphore;

/// Header that asks for working time, in microseconds.
const WORK_HEADER: &str = "x-work-us";

/// Header that names a request in the journal.
const NAME_HEADER: &str = "x-request-name";

/// Largest request body.
const BODY_LIMIT: usize = 64 << 20;

/// Stand-in for a runner of a pool's service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "runner")]
pub struct RunnerArgs {
    /// address to listen on, as ip:port
    #[argh(option)]
    listen: SocketAddr,
    /// name of the VM
    #[argh(option)]
    vm: String,
    /// concurrent requests (default 8)
    #[argh(option, default = "8")]
    slots: usize,
    /// working time of a request that names none, in microseconds (default 0)
    #[argh(option, default = "0")]
    work_us: u64,
}

/// How the runner behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunnerMode {
    /// Works.
    #[default]
    Healthy,
    /// Answers 500 at once.
    Failing,
    /// Takes requests and never answers.
    Hanging,
}

/// One run in the journal.
#[derive(Clone, Debug, Serialize)]
struct RunRecord {
    name: String,
    path: String,
    start_us: u64,
    end_us: Option<u64>,
    waited_us: u64,
}

struct RunnerState {
    vm: String,
    slots: Semaphore,
    work: Duration,
    mode: Mutex<RunnerMode>,
    journal: Mutex<Vec<RunRecord>>,
}

/// Runs until the process is told to stop.
///
/// # Errors
///
/// Fails when the address can't be listened on.
pub async fn run(args: RunnerArgs) -> Result<()> {
    let state = Arc::new(RunnerState {
        vm: args.vm,
        slots: Semaphore::new(args.slots),
        work: Duration::from_micros(args.work_us),
        mode: Mutex::default(),
        journal: Mutex::default(),
    });
    println!("standin=runner listen={}", args.listen);
    HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(state.clone()))
            .app_data(web::PayloadConfig::new(BODY_LIMIT))
            .route("/standin/mode", web::put().to(put_mode))
            .route("/standin/journal", web::get().to(get_journal))
            .default_service(web::route().to(serve))
    })
    .workers(1)
    .shutdown_timeout(1)
    .bind(args.listen)?
    .run()
    .await?;
    Ok(())
}

async fn serve(state: web::Data<RunnerState>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let mode = *lock(&state.mode);
    match mode {
        RunnerMode::Healthy => {}
        RunnerMode::Failing => return HttpResponse::InternalServerError().body("failing"),
        RunnerMode::Hanging => return hang().await,
    }
    // The work goes on when the client hangs up, as in a real service.
    let work = actix_web::rt::spawn(work(state.clone(), WorkOrder::of(&state, &request)));
    if work.await.is_err() {
        return HttpResponse::InternalServerError().finish();
    }
    HttpResponse::Ok()
        .insert_header(("x-runner", state.vm.as_str()))
        .body(body)
}

/// What one request asks for.
struct WorkOrder {
    name: String,
    path: String,
    time: Duration,
}

impl WorkOrder {
    fn of(state: &RunnerState, request: &HttpRequest) -> Self {
        let header = |name: &str| {
            let value = request.headers().get(name)?;
            value.to_str().ok()
        };
        let time = header(WORK_HEADER)
            .and_then(|text| text.parse().ok())
            .map_or(state.work, Duration::from_micros);
        Self {
            name: header(NAME_HEADER).unwrap_or_default().to_owned(),
            path: request.path().to_owned(),
            time,
        }
    }
}

async fn work(state: web::Data<RunnerState>, errand: WorkOrder) {
    let asked = now_us();
    let Ok(_permit) = state.slots.acquire().await else {
        return;
    };
    let start = now_us();
    let journaled = !errand.name.is_empty();
    let index = journaled.then(|| {
        let mut journal = lock(&state.journal);
        journal.push(RunRecord {
            name: errand.name,
            path: errand.path,
            start_us: start,
            end_us: None,
            waited_us: start - asked,
        });
        journal.len() - 1
    });
    if !errand.time.is_zero() {
        tokio::time::sleep(errand.time).await;
    }
    if let Some(index) = index {
        lock(&state.journal)[index].end_us = Some(now_us());
    }
}

async fn hang() -> HttpResponse {
    std::future::pending::<()>().await;
    HttpResponse::Ok().finish()
}

async fn put_mode(state: web::Data<RunnerState>, mode: web::Json<RunnerMode>) -> HttpResponse {
    *lock(&state.mode) = mode.into_inner();
    HttpResponse::NoContent().finish()
}

async fn get_journal(state: web::Data<RunnerState>) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state.journal).clone())
}

fn now_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
