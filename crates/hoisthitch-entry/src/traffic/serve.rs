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
        answer::{
            ProblemAnswer,
            Refused,
            VIEW_RETRY, //
        },
        ask::{
            RequestAsk,
            read_ask,
            read_method,
            read_uri, //
        },
        body::RequestBody,
        claim::{
            ClaimGuard,
            ClaimResult,
            ClaimScope,
            claim_key, //
        },
        dispatcher::{
            SlotPermit,
            TeamHold, //
        },
        download::pass_answer,
        exchange::RequestExchange,
        headers::request_headers,
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
) -> Result<HttpResponse, Refused> {
    let ask = read_ask(shared, request)?;
    let method = read_method(request)?;
    let uri = read_uri(request)?;
    let body = read_body(shared, request, payload, ask.slot.deadline).await?;
    let claim = match claim(shared, request, &body, &ask).await? {
        ClaimResult::Send(claim) => claim,
        ClaimResult::Answer(response) => return Ok(response),
    };
    let (permit, hold) = acquire(shared, &ask).await?;
    let (reply, result) = oneshot::channel();
    let exchange = RequestExchange {
        shared: shared.clone(),
        dispatcher: ask.dispatcher.clone(),
        method,
        uri,
        headers: request_headers(request.headers()),
        body,
        repeatable: ask.repeatable,
        deadline: ask.slot.deadline,
        hold,
        claim: claim.and_then(ClaimGuard::into_ticket),
    };
    actix_web::rt::spawn(exchange.run(permit, reply));
    let priority = ask.slot.priority;
    let count = |outcome| {
        shared
            .metrics
            .count_request(ask.dispatcher.name(), priority, outcome);
    };
    match result.await {
        Ok(ExchangeResult::Answer(answer)) => {
            count(RequestOutcome::Ran);
            Ok(pass_answer(*answer))
        }
        Ok(ExchangeResult::Failure(failure)) => {
            count(failure.outcome);
            Err(Box::new(failed(failure)))
        }
        Err(_) => {
            count(RequestOutcome::Unknown);
            Err(Box::new(ProblemAnswer::new(
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
    ask: &RequestAsk,
) -> Result<ClaimResult, Refused> {
    if ask.repeatable {
        return Ok(ClaimResult::Send(None));
    }
    let scope = ClaimScope {
        pool: ask.dispatcher.name(),
        team: &ask.team_name,
        deadline: ask.slot.deadline,
    };
    claim_key(shared, request, body, scope).await
}

/// Waits for a slot, and logs whether it was granted or refused.
async fn acquire(
    shared: &Arc<SharedState>,
    ask: &RequestAsk,
) -> Result<(SlotPermit, TeamHold), Refused> {
    if shared.settings.callers.bypass {
        let taken = ask.dispatcher.bypass(ask.slot);
        return taken.ok_or_else(|| Box::new(ProblemAnswer::stale_view()));
    }
    let started = Instant::now();
    let acquired = ask.dispatcher.acquire(ask.slot).await;
    let waited = started.elapsed();
    let pool = ask.dispatcher.name();
    let priority = ask.slot.priority;
    shared.metrics.observe_wait(pool, priority, waited);
    match acquired {
        Ok((permit, hold)) => {
            if !shared.may_send() {
                return Err(Box::new(ProblemAnswer::stale_view()));
            }
            event!(
                Info,
                "route",
                pool = pool,
                team = ask.team_name,
                priority = priority.as_str(),
                vm = permit.vm,
                waited_us = waited.as_micros(),
            );
            Ok((permit, hold))
        }
        Err(refusal) => {
            shared
                .metrics
                .count_request(pool, priority, RequestOutcome::NotRun);
            event!(
                Info,
                "refuse",
                pool = pool,
                team = ask.team_name,
                priority = priority.as_str(),
                reason = refusal.reason,
                retry_after_ms = refusal.retry_after.as_millis(),
            );
            Err(Box::new(ProblemAnswer::refused(refusal)))
        }
    }
}

fn failed(failure: ExchangeFailure) -> ProblemAnswer {
    let ExchangeFailure { outcome, fault } = failure;
    match outcome {
        RequestOutcome::NotRun => ProblemAnswer::unavailable("no-runner", &fault, VIEW_RETRY),
        RequestOutcome::Unknown => {
            ProblemAnswer::new(StatusCode::GATEWAY_TIMEOUT, outcome, "no-answer", fault)
        }
        RequestOutcome::Ran => {
            ProblemAnswer::new(StatusCode::BAD_GATEWAY, outcome, "answer-cut", fault)
        }
    }
}
