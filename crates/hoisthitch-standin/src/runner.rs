//! Stand-in for a runner: a service with a fixed number of slots that sleeps for
//! the working time that each request names, echoes the body of the request and
//! keeps a journal of the requests that have a name.
//!
//! Requests that find no free slot wait inside the runner, in order of arrival.

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

/// Header that sets the working time of a request, in microseconds.
const WORK_HEADER: &str = "x-work-us";

/// Header that names a request in the journal.
const NAME_HEADER: &str = "x-request-name";

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

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

/// Behaviour of the runner.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunnerMode {
    /// Serves requests.
    #[default]
    Healthy,
    /// Responds with status 500 at once.
    Failing,
    /// Accepts requests and never responds.
    Hanging,
}

/// Journal record of one request.
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
    /// Working time of a request that names none.
    default_work: Duration,
    mode: Mutex<RunnerMode>,
    journal: Mutex<Vec<RunRecord>>,
}

/// Serves until the process is stopped.
///
/// # Errors
///
/// Fails if the process cannot listen on the address.
pub async fn run(args: RunnerArgs) -> Result<()> {
    let state = Arc::new(RunnerState {
        vm: args.vm,
        slots: Semaphore::new(args.slots),
        default_work: Duration::from_micros(args.work_us),
        mode: Mutex::default(),
        journal: Mutex::default(),
    });
    println!("standin=runner listen={}", args.listen);
    HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(state.clone()))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
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
    // The work continues if the client disconnects, as in a real service.
    let order = WorkOrder::from_request(&state, &request);
    let work = actix_web::rt::spawn(work(state.clone(), order));
    if work.await.is_err() {
        return HttpResponse::InternalServerError().finish();
    }
    HttpResponse::Ok()
        .insert_header(("x-runner", state.vm.as_str()))
        .body(body)
}

/// Work that one request asks for.
struct WorkOrder {
    name: String,
    path: String,
    duration: Duration,
}

impl WorkOrder {
    fn from_request(state: &RunnerState, request: &HttpRequest) -> Self {
        let header = |name: &str| {
            let value = request.headers().get(name)?;
            value.to_str().ok()
        };
        let duration = header(WORK_HEADER)
            .and_then(|text| text.parse().ok())
            .map_or(state.default_work, Duration::from_micros);
        Self {
            name: header(NAME_HEADER).unwrap_or_default().to_owned(),
            path: request.path().to_owned(),
            duration,
        }
    }
}

/// Waits for a slot and sleeps for the working time; records the run in the
/// journal if the request has a name.
async fn work(state: web::Data<RunnerState>, order: WorkOrder) {
    let arrived_us = now_us();
    let Ok(_permit) = state.slots.acquire().await else {
        return;
    };
    let start_us = now_us();
    let is_journaled = !order.name.is_empty();
    let index = is_journaled.then(|| {
        let mut journal = lock(&state.journal);
        journal.push(RunRecord {
            name: order.name,
            path: order.path,
            start_us,
            end_us: None,
            waited_us: start_us - arrived_us,
        });
        journal.len() - 1
    });
    if !order.duration.is_zero() {
        tokio::time::sleep(order.duration).await;
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
