//! HTTP interface for operators: lists queues and teams, submits, describes and cancels jobs.
//!
//! Submissions are accepted only while this node's configuration is confirmed to be in effect.

use actix_web::{
    HttpRequest,
    HttpResponse,
    HttpResponseBuilder,
    ResponseError,
    error::{
        InternalError,
        JsonPayloadError,
        PayloadError, //
    },
    http::StatusCode,
    web, //
};
use hoisthitch_api::{
    CORDONS_PATH,
    CordonRow,
    FaultAnswer,
    JOBS_PATH,
    JobAnswer,
    JobCall,
    QUEUES_PATH,
    QueueRow,
    TEAMS_PATH,
    TeamRow, //
};
use hoisthitch_jobs::{
    IntakeRefusal,
    JobProgress,
    Millis,
    RefusalReason,
    TaskPhase, //
};
use hoisthitch_store::{
    StoreClient,
    StoreError, //
};

use crate::{
    intake::retry_after_s,
    location::CallScope,
    service::{
        CancelAnswer,
        JobService,
        SubmitAnswer, //
    },
    shared::PolicyStatus,
    teams::TeamTable, //
};

/// Time within which an operator's call is answered, in milliseconds.
const CALL_TIMEOUT_MS: Millis = 3_000;

/// Time after which a client may repeat a call that was refused for want of memory, in seconds.
const RETRY_AFTER_S: &str = "1";

/// Longest identifier of a job that operators may choose, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Adds the routes. The app's data has to contain the [`JobService`].
pub fn job_routes<S: StoreClient>(config: &mut web::ServiceConfig) {
    let job = format!("{JOBS_PATH}/{{id}}");
    config
        .app_data(web::JsonConfig::default().error_handler(refuse_body))
        .route(QUEUES_PATH, web::get().to(list_queues::<S>))
        .route(TEAMS_PATH, web::get().to(list_teams::<S>))
        .route(CORDONS_PATH, web::get().to(list_cordons::<S>))
        .route(&job, web::post().to(submit::<S>))
        .route(&job, web::get().to(describe::<S>))
        .route(&job, web::delete().to(cancel::<S>));
}

async fn list_queues<S: StoreClient>(service: web::Data<JobService<S>>) -> HttpResponse {
    let Some(policy) = service.shared().policy.load_full() else {
        return fault(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
    };
    let mut rows = Vec::new();
    for queue in policy.queues() {
        rows.push(QueueRow {
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            priority: queue.policy.priority,
            waiting: service.waiting(queue).await.ok(),
        });
    }
    HttpResponse::Ok().json(rows)
}

async fn list_teams<S: StoreClient>(service: web::Data<JobService<S>>) -> HttpResponse {
    let Some(policy) = service.shared().policy.load_full() else {
        return fault(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
    };
    let held = service.quota_allocations().await.ok();
    let teams = policy.teams().map_or(&[][..], TeamTable::teams);
    let rows = teams.iter().map(|team| TeamRow {
        team: team.name.to_string(),
        weight: team.weight,
        keys: team.keys,
        cpu_limit: team.limit.cpu_milli,
        memory_limit: team.limit.memory_mb,
        gpu_limit: team.limit.gpus,
        cpu_held: held.as_ref().map(|held| {
            let allocations = held.get(&*team.name);
            allocations.map_or(0, |allocations| allocations.total().cpu_milli)
        }),
        policy: policy.version,
    });
    HttpResponse::Ok().json(rows.collect::<Vec<TeamRow>>())
}

/// Lists the cordoned data halls, with what pools reported lately to run there.
async fn list_cordons<S: StoreClient>(service: web::Data<JobService<S>>) -> HttpResponse {
    let shared = service.shared();
    let now = shared.clock.now();
    let unix_ms = shared.clock.unix_ms();
    let loads = service.cordoned_loads().await.ok();
    let cordons = shared.cordons.load();
    let rows = cordons.iter().map(|(hall, since)| {
        let load = loads
            .as_ref()
            .map(|loads| loads.get(hall).cloned().unwrap_or_default());
        let load = load.as_ref();
        CordonRow {
            hall: hall.clone(),
            cordoned_ms: now.saturating_sub(since),
            runners: load.map(|load| load.runners),
            tasks: load.map(|load| load.tasks),
            empty_in_ms: load
                .and_then(|load| load.expected_end)
                .map(|end| end.saturating_sub(unix_ms)),
            long_running: load.map(|load| load.long_running),
            long_running_jobs: load.map(|load| load.long_running_jobs.clone()),
            confirmed_ms: shared.cordons_age(),
        }
    });
    HttpResponse::Ok().json(rows.collect::<Vec<CordonRow>>())
}

async fn submit<S: StoreClient>(
    service: web::Data<JobService<S>>,
    id: web::Path<String>,
    call: web::Json<JobCall>,
) -> HttpResponse {
    let is_id = id.bytes().all(|byte| byte.is_ascii_alphanumeric());
    if !is_id || id.is_empty() || id.len() > MAX_ID_BYTES {
        let text = format!("an id has up to {MAX_ID_BYTES} letters and digits");
        return fault(StatusCode::BAD_REQUEST, &text);
    }
    if let Err(err) = call.spec.check() {
        return fault(StatusCode::BAD_REQUEST, &err.to_string());
    }
    let policy = match service.shared().policy_status() {
        PolicyStatus::Current(policy) => policy,
        PolicyStatus::Missing => {
            return fault(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
        }
        PolicyStatus::Unconfirmed { age_ms, .. } => {
            let text = format!("the configuration was last confirmed {age_ms} ms ago");
            return fault(StatusCode::SERVICE_UNAVAILABLE, &text);
        }
    };
    let mut queues = policy.queues().iter();
    let Some(queue) = queues.find(|queue| queue.name == call.queue) else {
        let text = format!("there is no queue {}; see {QUEUES_PATH}", call.queue);
        return fault(StatusCode::NOT_FOUND, &text);
    };
    let deadline = service.shared().clock.now() + CALL_TIMEOUT_MS;
    match service
        .submit(queue, CallScope::All, &id, call.spec.clone(), deadline)
        .await
    {
        SubmitAnswer::Accepted => describe(service, id).await,
        SubmitAnswer::Refused => fault(
            StatusCode::SERVICE_UNAVAILABLE,
            "not taken, and will not run; hand it in again",
        ),
        SubmitAnswer::Cordoned => fault(
            StatusCode::SERVICE_UNAVAILABLE,
            "all data halls are cordoned; not taken, and will not run",
        ),
        SubmitAnswer::Overloaded(refusal) => refuse_overloaded(&refusal),
        SubmitAnswer::Foreign => fault(StatusCode::CONFLICT, "the id is taken"),
        SubmitAnswer::Unknown => fault(
            StatusCode::GATEWAY_TIMEOUT,
            "whether the job is kept is not known; hand it in again under the same id",
        ),
    }
}

async fn describe<S: StoreClient>(
    service: web::Data<JobService<S>>,
    id: web::Path<String>,
) -> HttpResponse {
    match service.describe(&id).await {
        Ok(Some((pool, progress))) => {
            HttpResponse::Ok().json(summarize(id.into_inner(), pool, &progress))
        }
        Ok(None) => fault(StatusCode::NOT_FOUND, "there is no such job"),
        Err(err) => unreadable(&err),
    }
}

async fn cancel<S: StoreClient>(
    service: web::Data<JobService<S>>,
    id: web::Path<String>,
) -> HttpResponse {
    let deadline = service.shared().clock.now() + CALL_TIMEOUT_MS;
    match service.cancel(CallScope::All, &id, deadline).await {
        CancelAnswer::Accepted => describe(service, id).await,
        CancelAnswer::Absent => fault(StatusCode::NOT_FOUND, "there is no such job"),
        CancelAnswer::Unknown => fault(
            StatusCode::GATEWAY_TIMEOUT,
            "whether the cancel is kept is not known; cancel again",
        ),
    }
}

/// Refuses a job for want of room, and says when to submit it again.
fn refuse_overloaded(refusal: &IntakeRefusal) -> HttpResponse {
    let (status, whose) = match refusal.reason {
        RefusalReason::TeamExcess => (StatusCode::TOO_MANY_REQUESTS, "its team has"),
        RefusalReason::PoolFull => (StatusCode::SERVICE_UNAVAILABLE, "the pool has"),
    };
    let text = format!(
        "not taken, and will not run: {whose} too much work waiting; it would start in {} ms, and {} ms are of use",
        refusal.wait_ms, refusal.limit_ms
    );
    let wait = retry_after_s(refusal.retry_after_ms, Millis::MAX);
    HttpResponseBuilder::new(status)
        .insert_header(("Retry-After", wait.to_string()))
        .json(FaultAnswer { error: text })
}

fn summarize(id: String, pool: String, progress: &JobProgress) -> JobAnswer {
    let count = |phase: TaskPhase| {
        let tasks = progress.tasks.iter();
        tasks.filter(|task| task.phase == phase).count()
    };
    JobAnswer {
        id,
        pool,
        phase: progress.phase,
        waiting: count(TaskPhase::Waiting),
        ordered: count(TaskPhase::Ordered),
        done: count(TaskPhase::Done),
        failed_runs: progress.tasks.iter().map(|task| task.failed).sum(),
    }
}

/// Refuses a call whose body can't be read. Where the body was given up at a limit of the
/// listener, the call may be repeated.
fn refuse_body(err: JsonPayloadError, _: &HttpRequest) -> actix_web::Error {
    let response = match &err {
        JsonPayloadError::Payload(PayloadError::Overflow) => {
            let error =
                "not taken, and will not run: the body did not come in time, or too many are long";
            HttpResponse::ServiceUnavailable()
                .insert_header(("Retry-After", RETRY_AFTER_S))
                .json(FaultAnswer {
                    error: error.to_owned(),
                })
        }
        _ => fault(err.status_code(), &err.to_string()),
    };
    InternalError::from_response(err, response).into()
}

fn unreadable(err: &StoreError) -> HttpResponse {
    let text = format!("the state can't be read now: {err}");
    fault(StatusCode::SERVICE_UNAVAILABLE, &text)
}

fn fault(status: StatusCode, error: &str) -> HttpResponse {
    let error = error.to_owned();
    HttpResponseBuilder::new(status).json(FaultAnswer { error })
}
