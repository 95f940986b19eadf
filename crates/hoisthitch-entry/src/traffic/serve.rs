//! Serves a caller's request: routes it, claims its key, waits for a slot, runs the
//! exchange and responds.

use std::sync::Arc;

use actix_web::{
    HttpRequest,
    HttpResponse,
    http::StatusCode,
    web, //
};
use hoisthitch_core::RequestOutcome;
use hoisthitch_telemetry::event;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use crate::{
    state::SharedState,
    traffic::{
        body::RequestBody,
        claim::{
            ClaimGuard,
            ClaimResult,
            ClaimScope,
            claim_key, //
        },
        dispatcher::{
            SlotPermit,
            TeamPermit, //
        },
        exchange::RequestExchange,
        headers::request_headers,
        problem::{
            BoxedProblem,
            DEFAULT_RETRY_AFTER,
            ProblemResponse, //
        },
        request::{
            RoutedRequest,
            read_method,
            read_uri,
            route_request, //
        },
        response::forward_response,
        result::{
            ExchangeFailure,
            ExchangeResult, //
        },
        upload::read_body, //
    }, //
};

/// Serves one request. While the entry stops, the connection is closed afterwards.
pub async fn serve_request(
    shared: web::Data<SharedState>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let shared = shared.into_inner();
    let stopping = shared.is_stopping();
    let mut response = match exchange(&shared, &request, payload).await {
        Ok(response) => response,
        Err(problem) => problem.into_response(),
    };
    if stopping {
        response
            .head_mut()
            .set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

async fn exchange(
    shared: &Arc<SharedState>,
    request: &HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, BoxedProblem> {
    let routed = route_request(shared, request)?;
    let method = read_method(request)?;
    let uri = read_uri(request)?;
    let body = read_body(shared, request, payload, routed.slot.deadline).await?;
    let claim = match claim(shared, request, &body, &routed).await? {
        ClaimResult::Send(claim) => claim,
        ClaimResult::Response(response) => return Ok(response),
    };
    let (permit, team_permit) = acquire(shared, &routed).await?;
    let (reply, result) = oneshot::channel();
    let exchange = RequestExchange {
        shared: shared.clone(),
        dispatcher: routed.dispatcher.clone(),
        method,
        uri,
        headers: request_headers(request.headers()),
        body,
        repeatable: routed.repeatable,
        deadline: routed.slot.deadline,
        team_permit,
        claim: claim.and_then(ClaimGuard::into_ticket),
    };
    actix_web::rt::spawn(exchange.run(permit, reply));
    let priority = routed.slot.priority;
    let count = |outcome| {
        shared
            .metrics
            .count_request(routed.dispatcher.name(), priority, outcome);
    };
    match result.await {
        Ok(ExchangeResult::Response(response)) => {
            count(RequestOutcome::Ran);
            Ok(forward_response(*response))
        }
        Ok(ExchangeResult::Failure(failure)) => {
            count(failure.outcome);
            Err(Box::new(failure_problem(failure)))
        }
        Err(_) => {
            count(RequestOutcome::Unknown);
            Err(Box::new(ProblemResponse::new(
                StatusCode::INTERNAL_SERVER_ERROR,
                RequestOutcome::Unknown,
                "internal",
                "the exchange ended without a result",
            )))
        }
    }
}

/// Claims the key of a request that must not be repeated.
async fn claim(
    shared: &SharedState,
    request: &HttpRequest,
    body: &RequestBody,
    routed: &RoutedRequest,
) -> Result<ClaimResult, BoxedProblem> {
    if routed.repeatable {
        return Ok(ClaimResult::Send(None));
    }
    let scope = ClaimScope {
        pool: routed.dispatcher.name(),
        team: &routed.team_name,
        deadline: routed.slot.deadline,
    };
    claim_key(shared, request, body, scope).await
}

/// Waits for a slot, and logs whether it was granted or refused.
async fn acquire(
    shared: &Arc<SharedState>,
    routed: &RoutedRequest,
) -> Result<(SlotPermit, TeamPermit), BoxedProblem> {
    if shared.settings.callers.bypass {
        let taken = routed.dispatcher.bypass(routed.slot);
        return taken.ok_or_else(|| Box::new(ProblemResponse::stale_view()));
    }
    let started = Instant::now();
    let acquired = routed.dispatcher.acquire(routed.slot).await;
    let waited = started.elapsed();
    let pool = routed.dispatcher.name();
    let priority = routed.slot.priority;
    shared.metrics.observe_wait(pool, priority, waited);
    match acquired {
        Ok((permit, team_permit)) => {
            if !shared.may_send() {
                return Err(Box::new(ProblemResponse::stale_view()));
            }
            event!(
                Info,
                "route",
                pool = pool,
                team = routed.team_name,
                priority = priority.as_str(),
                vm = permit.vm,
                waited_us = waited.as_micros(),
            );
            Ok((permit, team_permit))
        }
        Err(refusal) => {
            shared
                .metrics
                .count_request(pool, priority, RequestOutcome::NotRun);
            event!(
                Info,
                "refuse",
                pool = pool,
                team = routed.team_name,
                priority = priority.as_str(),
                reason = refusal.reason,
                retry_after_ms = refusal.retry_after.as_millis(),
            );
            Err(Box::new(ProblemResponse::refused(refusal)))
        }
    }
}

fn failure_problem(failure: ExchangeFailure) -> ProblemResponse {
    let ExchangeFailure { outcome, fault } = failure;
    match outcome {
        RequestOutcome::NotRun => {
            ProblemResponse::unavailable("no-runner", &fault, DEFAULT_RETRY_AFTER)
        }
        RequestOutcome::Unknown => {
            ProblemResponse::new(StatusCode::GATEWAY_TIMEOUT, outcome, "no-answer", fault)
        }
        RequestOutcome::Ran => {
            ProblemResponse::new(StatusCode::BAD_GATEWAY, outcome, "answer-cut", fault)
        }
    }
}
