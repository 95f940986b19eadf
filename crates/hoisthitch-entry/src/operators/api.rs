//! Handlers of the operators' calls.

use actix::Addr;
use actix_web::{
    HttpResponse,
    http::StatusCode,
    web, //
};
use hoisthitch_api::{
    ASSIGN_PATH,
    AssignCall,
    EDITS_PATH,
    EditCall,
    FaultAnswer,
    HALLS_PATH,
    MOVE_PATH,
    MoveCall,
    PoolStatus,
    RunnerStatus,
    STATUS_PATH,
    StatusAnswer,
    TABLE_PATH,
    WAVE_STATE_PATH,
    WAVES_PATH,
    WaveAnswer,
    WaveCall,
    WaveStateCall, //
};
use hoisthitch_core::{
    EditError,
    PolicyTable,
    RowEdit,
    RunnerSlots,
    WaveRecord, //
};
use hoisthitch_store::WriteError;
use hoisthitch_telemetry::render_metrics;

use crate::{
    control::{
        AssignVm,
        ChangeWave,
        EditTable,
        MoveVm,
        OperatorError,
        ReadView,
        ReadWaves,
        TableWriter,
        ViewKeeper,
        ViewSummary, //
    },
    state::SharedState, //
};

/// Header with the revision of the table in effect.
const REVISION_HEADER: &str = "hoisthitch-revision";

/// Adds the handlers to the server.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/ready", web::get().to(get_ready))
        .route("/metrics", web::get().to(get_metrics))
        .route(STATUS_PATH, web::get().to(get_status))
        .route(TABLE_PATH, web::get().to(get_table))
        .route(EDITS_PATH, web::post().to(post_edits))
        .route(HALLS_PATH, web::get().to(get_halls))
        .route(ASSIGN_PATH, web::post().to(post_assign))
        .route(MOVE_PATH, web::post().to(post_move))
        .route(WAVES_PATH, web::get().to(get_waves))
        .route(WAVES_PATH, web::post().to(post_wave))
        .route(WAVE_STATE_PATH, web::post().to(post_wave_state));
}

async fn get_ready(shared: web::Data<SharedState>) -> HttpResponse {
    let revision = shared.routes.load().revision;
    let (mut builder, text) = if shared.is_ready() {
        (HttpResponse::Ok(), "ready")
    } else {
        (HttpResponse::ServiceUnavailable(), "not ready")
    };
    builder
        .insert_header((REVISION_HEADER, revision.to_string()))
        .body(text)
}

async fn get_metrics(shared: web::Data<SharedState>) -> HttpResponse {
    shared.metrics.set_store_calls(shared.store_calls.counts());
    match render_metrics(&shared.metrics.registry) {
        Ok(text) => HttpResponse::Ok().content_type("text/plain").body(text),
        Err(err) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}

async fn get_status(shared: web::Data<SharedState>) -> HttpResponse {
    let routes = shared.routes.load();
    let pools = routes.dispatchers().map(|dispatcher| {
        dispatcher.inspect(|scheduler| PoolStatus {
            pool: dispatcher.name().to_owned(),
            queued: scheduler.queue().len(),
            in_flight: scheduler.ledger().in_flight(),
            in_flight_limit: scheduler.row().in_flight_limit,
            runners: scheduler.ledger().iter().map(runner_status).collect(),
        })
    });
    HttpResponse::Ok().json(StatusAnswer {
        name: shared.settings.name.clone(),
        hall: shared.settings.hall.clone(),
        ready: shared.is_ready(),
        table_revision: routes.revision,
        pools: pools.collect(),
    })
}

fn runner_status(runner: &RunnerSlots) -> RunnerStatus {
    RunnerStatus {
        vm: runner.vm.to_string(),
        slots: runner.limit,
        in_flight: runner.in_flight,
        leaving: runner.leaving,
        health: runner.health.as_str().to_owned(),
    }
}

async fn get_table(keeper: web::Data<Addr<ViewKeeper>>) -> HttpResponse {
    match keeper.send(ReadView).await {
        Ok(view) => HttpResponse::Ok().json(view.table),
        Err(_) => operator_error(&OperatorError::Stopping),
    }
}

async fn get_halls(keeper: web::Data<Addr<ViewKeeper>>) -> HttpResponse {
    match keeper.send(ReadView).await {
        Ok(view) => {
            let halls: Vec<_> = view.halls.into_values().collect();
            HttpResponse::Ok().json(halls)
        }
        Err(_) => operator_error(&OperatorError::Stopping),
    }
}

async fn post_edits(
    keeper: web::Data<Addr<ViewKeeper>>,
    writer: web::Data<Addr<TableWriter>>,
    call: web::Json<EditCall>,
) -> HttpResponse {
    let EditCall { edits, dry_run } = call.into_inner();
    let result = if dry_run {
        dry_run_edits(&keeper, &edits).await
    } else {
        let sent = writer.send(EditTable { edits }).await;
        sent.unwrap_or(Err(OperatorError::Stopping))
    };
    match result {
        Ok(table) => HttpResponse::Ok().json(table),
        Err(err) => operator_error(&err),
    }
}

async fn dry_run_edits(
    keeper: &Addr<ViewKeeper>,
    edits: &[RowEdit],
) -> Result<PolicyTable, OperatorError> {
    let view = keeper.send(ReadView).await;
    let view = view.map_err(|_| OperatorError::Stopping)?;
    let stamp = view.table.stamp.clone();
    Ok(view.table.with_edits(edits, stamp)?)
}

async fn post_assign(
    writer: web::Data<Addr<TableWriter>>,
    call: web::Json<AssignCall>,
) -> HttpResponse {
    let AssignCall { vm, pool } = call.into_inner();
    let sent = writer.send(AssignVm { vm, pool }).await;
    match sent.unwrap_or(Err(OperatorError::Stopping)) {
        Ok(record) => HttpResponse::Ok().json(record),
        Err(err) => operator_error(&err),
    }
}

async fn post_move(
    writer: web::Data<Addr<TableWriter>>,
    call: web::Json<MoveCall>,
) -> HttpResponse {
    let MoveCall { vm, to } = call.into_inner();
    let sent = writer.send(MoveVm { vm, to }).await;
    match sent.unwrap_or(Err(OperatorError::Stopping)) {
        Ok(record) => HttpResponse::Ok().json(record),
        Err(err) => operator_error(&err),
    }
}

async fn post_wave(
    writer: web::Data<Addr<TableWriter>>,
    call: web::Json<WaveCall>,
) -> HttpResponse {
    let WaveCall { name, pools } = call.into_inner();
    let sent = writer.send(ChangeWave::Start { name, pools }).await;
    match sent.unwrap_or(Err(OperatorError::Stopping)) {
        Ok(record) => HttpResponse::Ok().json(record),
        Err(err) => operator_error(&err),
    }
}

async fn post_wave_state(
    writer: web::Data<Addr<TableWriter>>,
    call: web::Json<WaveStateCall>,
) -> HttpResponse {
    let WaveStateCall { name, state } = call.into_inner();
    let sent = writer.send(ChangeWave::State { name, state }).await;
    match sent.unwrap_or(Err(OperatorError::Stopping)) {
        Ok(record) => HttpResponse::Ok().json(record),
        Err(err) => operator_error(&err),
    }
}

async fn get_waves(
    keeper: web::Data<Addr<ViewKeeper>>,
    writer: web::Data<Addr<TableWriter>>,
) -> HttpResponse {
    let Ok(view) = keeper.send(ReadView).await else {
        return operator_error(&OperatorError::Stopping);
    };
    let sent = writer.send(ReadWaves).await;
    match sent.unwrap_or(Err(OperatorError::Stopping)) {
        Ok(waves) => {
            let answers = waves.into_iter().map(|wave| wave_answer(wave, &view));
            let answers: Vec<WaveAnswer> = answers.collect();
            HttpResponse::Ok().json(answers)
        }
        Err(err) => operator_error(&err),
    }
}

fn wave_answer(wave: WaveRecord, view: &ViewSummary) -> WaveAnswer {
    let assignments = view.halls.values().flat_map(|hall| &hall.vms);
    let absent = assignments.filter(|assignment| assignment.is_in_wave(&wave.name));
    WaveAnswer {
        progress: wave.progress(view.halls.values()),
        absent: absent.map(|assignment| assignment.vm.clone()).collect(),
        name: wave.name,
        state: wave.state,
        reason: wave.reason,
    }
}

fn operator_error(err: &OperatorError) -> HttpResponse {
    let status = match err {
        OperatorError::Edit(EditError::Conflict { .. })
        | OperatorError::Hall(_)
        | OperatorError::WaveExists(_)
        | OperatorError::WaveCancelled(_)
        | OperatorError::Busy { .. }
        | OperatorError::Write(WriteError::Conflict { .. }) => StatusCode::CONFLICT,
        OperatorError::Edit(_) => StatusCode::UNPROCESSABLE_ENTITY,
        OperatorError::UnknownVm(_)
        | OperatorError::UnknownPool(_)
        | OperatorError::UnknownWave(_) => StatusCode::NOT_FOUND,
        OperatorError::Write(WriteError::OutcomeUnknown { .. }) => StatusCode::GATEWAY_TIMEOUT,
        OperatorError::Write(WriteError::Encode { .. } | WriteError::Malformed { .. }) => {
            StatusCode::INTERNAL_SERVER_ERROR
        }
        OperatorError::Write(WriteError::Read(_)) | OperatorError::Stopping => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    error_response(status, &err.to_string())
}

fn error_response(status: StatusCode, error: &str) -> HttpResponse {
    HttpResponse::build(status).json(FaultAnswer {
        error: error.to_owned(),
    })
}
