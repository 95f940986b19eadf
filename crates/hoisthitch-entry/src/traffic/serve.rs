//! Serving a caller's request: route it, wait for a slot, exchange, answer.

use std::{
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use actix_web::{
    HttpRequest,
    HttpResponse,
    body::{
        BodySize,
        MessageBody, //
    },
    http::{
        StatusCode,
        header::{
            self,
            HeaderMap, //
        }, //
    },
    web, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use hoisthitch_core::{
    OUTCOME_HEADER,
    PaidPriority,
    RequestOutcome, //
};
use hoisthitch_store::ClaimEnd;
use hoisthitch_telemetry::event;
use hyper::{
    Method,
    Uri, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::Instant, //
};

use crate::{
    control::{
        RouteTable,
        TeamRoute, //
    },
    state::SharedState,
    traffic::{
        answer::ProblemAnswer,
        body::{
            BodyCut,
            BodyStream,
            RequestBody, //
        },
        claim::{
            ClaimResult,
            ClaimScope,
            claim_key, //
        },
        exchange::{
            AnswerBody,
            AnswerCut,
            ExchangeFailure,
            ExchangeResult,
            RequestExchange,
            RunnerAnswer, //
        },
        headers::{
            answer_headers,
            request_headers, //
        },
        lane::{
            PoolLane,
            SlotAsk,
            SlotPermit,
            TeamHold, //
        }, //
    }, //
};

/// Header that names the caller's team.
const TEAM_HEADER: &str = "hoisthitch-team";

/// Header that asks for a priority, at most the one that the team pays for.
const PRIORITY_HEADER: &str = "hoisthitch-priority";

/// Header with the time that the caller gives the request, in milliseconds.
const DEADLINE_HEADER: &str = "hoisthitch-deadline-ms";

/// Team of requests that name none.
const DEFAULT_TEAM: &str = "default";

/// Longest time that a caller may give a request.
const DEADLINE_LIMIT: Duration = Duration::from_secs(86_400);

/// A body up to this length is read whole before the request waits for a slot,
/// so that a slow caller holds no slot.
const WHOLE_LIMIT: usize = 64 << 10;

/// Pieces of a long body that may wait for the runner.
const STREAM_PIECES: usize = 4;

/// When a caller may come back to an entry that has no view yet.
const VIEW_RETRY: Duration = Duration::from_secs(1);

/// A request that the entry answers itself.
type Refused = Box<ProblemAnswer>;

/// What a request asks for.
struct RequestAsk {
    lane: Arc<PoolLane>,
    team_name: String,
    slot: SlotAsk,
    repeatable: bool,
}

/// Serves one request.
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
    let (permit, hold) = match acquire(shared, &ask).await {
        Ok(acquired) => acquired,
        Err(problem) => {
            if let Some(ticket) = claim {
                shared.claims.end(ticket, ClaimEnd::NotRun);
            }
            return Err(problem);
        }
    };
    let (reply, result) = oneshot::channel();
    let exchange = RequestExchange {
        shared: shared.clone(),
        lane: ask.lane.clone(),
        method,
        uri,
        headers: request_headers(request.headers()),
        body,
        repeatable: ask.repeatable,
        deadline: ask.slot.deadline,
        hold,
        claim,
    };
    actix_web::rt::spawn(exchange.run(permit, reply));
    let priority = ask.slot.priority;
    let count = |outcome| {
        shared
            .metrics
            .count_request(ask.lane.name(), priority, outcome);
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

/// Claims the key of a request that may not be repeated.
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
        pool: ask.lane.name(),
        team: &ask.team_name,
        deadline: ask.slot.deadline,
    };
    claim_key(shared, request, body, scope).await
}

/// Waits for a slot and logs the decision.
async fn acquire(
    shared: &Arc<SharedState>,
    ask: &RequestAsk,
) -> Result<(SlotPermit, TeamHold), Refused> {
    if shared.settings.callers.bypass {
        let taken = ask.lane.bypass(ask.slot);
        return taken.ok_or_else(|| Box::new(stale_view()));
    }
    let started = Instant::now();
    let acquired = ask.lane.acquire(ask.slot).await;
    let waited = started.elapsed();
    let pool = ask.lane.name();
    let priority = ask.slot.priority;
    shared.metrics.observe_wait(pool, priority, waited);
    match acquired {
        Ok((permit, hold)) => {
            if !shared.may_send() {
                return Err(Box::new(stale_view()));
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

fn read_ask(shared: &SharedState, request: &HttpRequest) -> Result<RequestAsk, Refused> {
    let routes = shared.routes.load();
    if routes.revision == 0 {
        return Err(Box::new(ProblemAnswer::unavailable(
            "no-table",
            "this entry has not read the table yet",
            VIEW_RETRY,
        )));
    }
    if !shared.may_send() {
        return Err(Box::new(stale_view()));
    }
    let path = request.path();
    let lane = routes.lane(path).ok_or_else(|| {
        Box::new(ProblemAnswer::new(
            StatusCode::NOT_FOUND,
            RequestOutcome::NotRun,
            "no-pool",
            "no pool serves this path",
        ))
    })?;
    let headers = request.headers();
    let (team_name, team) = read_team(&routes, headers)?;
    let priority = read_priority(headers)?.map_or(team.priority, |asked| asked.max(team.priority));
    let row = lane.row();
    let default_ms = match priority {
        PaidPriority::Urgent => row.urgent_deadline_ms,
        PaidPriority::Background => row.background_deadline_ms,
    };
    let allowed = read_deadline(headers)?.unwrap_or(Duration::from_millis(u64::from(default_ms)));
    Ok(RequestAsk {
        lane: lane.clone(),
        team_name,
        repeatable: row.repeat.allows(request.method().as_str()),
        slot: SlotAsk {
            priority,
            team: team.key,
            weight: team.weight,
            deadline: Instant::now() + allowed,
        },
    })
}

fn read_team(routes: &RouteTable, headers: &HeaderMap) -> Result<(String, TeamRoute), Refused> {
    let name = text_header(headers, TEAM_HEADER)?.unwrap_or(DEFAULT_TEAM);
    let team = routes.team(name).ok_or_else(|| {
        Box::new(ProblemAnswer::new(
            StatusCode::FORBIDDEN,
            RequestOutcome::NotRun,
            "no-team",
            "the table has no such team",
        ))
    })?;
    Ok((name.to_owned(), team))
}

fn read_priority(headers: &HeaderMap) -> Result<Option<PaidPriority>, Refused> {
    match text_header(headers, PRIORITY_HEADER)? {
        None => Ok(None),
        Some("urgent") => Ok(Some(PaidPriority::Urgent)),
        Some("background") => Ok(Some(PaidPriority::Background)),
        Some(_) => Err(bad_header(PRIORITY_HEADER, "use urgent or background")),
    }
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refused> {
    let Some(text) = text_header(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let allowed = text.parse().map(Duration::from_millis).ok();
    match allowed {
        Some(allowed) if allowed <= DEADLINE_LIMIT => Ok(Some(allowed)),
        _ => Err(bad_header(DEADLINE_HEADER, "use 0 to 86400000")),
    }
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refused> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(bad_header(name, "use plain text")),
    }
}

fn bad_header(name: &str, help: &str) -> Refused {
    Box::new(ProblemAnswer::new(
        StatusCode::BAD_REQUEST,
        RequestOutcome::NotRun,
        "bad-header",
        format!("header {name}: {help}"),
    ))
}

fn read_method(request: &HttpRequest) -> Result<Method, Refused> {
    Method::from_bytes(request.method().as_str().as_bytes()).map_err(|_| bad_target())
}

fn read_uri(request: &HttpRequest) -> Result<Uri, Refused> {
    let target = request.uri().path_and_query().ok_or_else(bad_target)?;
    target.as_str().parse().map_err(|_| bad_target())
}

fn bad_target() -> Refused {
    Box::new(ProblemAnswer::new(
        StatusCode::BAD_REQUEST,
        RequestOutcome::NotRun,
        "bad-target",
        "the request line can't be passed on",
    ))
}

/// Reads the body whole, or as far as it is read before it is streamed.
async fn read_body(
    shared: &SharedState,
    request: &HttpRequest,
    mut payload: web::Payload,
    deadline: Instant,
) -> Result<RequestBody, Refused> {
    let limit = shared.settings.callers.body_limit;
    let length = named_length(request.headers());
    if length.is_some_and(|length| length > limit as u64) {
        return Err(too_large(limit));
    }
    let mut first = BytesMut::new();
    while first.len() <= WHOLE_LIMIT {
        let piece = tokio::time::timeout_at(deadline, payload.next())
            .await
            .map_err(|_| cut_body("it did not come before the deadline"))?;
        match piece {
            None => return Ok(RequestBody::Whole(first.freeze())),
            Some(Ok(piece)) => first.extend_from_slice(&piece),
            Some(Err(err)) => return Err(cut_body(&err.to_string())),
        }
        if first.len() > limit {
            return Err(too_large(limit));
        }
    }
    let left = limit - first.len();
    let (sender, rest) = mpsc::channel(STREAM_PIECES);
    actix_web::rt::spawn(stream_body(payload, left, sender));
    Ok(RequestBody::Stream(BodyStream {
        length,
        first: Some(first.freeze()),
        rest,
    }))
}

/// Passes the rest of a long body on, as fast as it is taken.
async fn stream_body(
    mut payload: web::Payload,
    mut left: usize,
    sender: mpsc::Sender<Result<Bytes, BodyCut>>,
) {
    while let Some(piece) = payload.next().await {
        let piece = match piece {
            Ok(piece) if piece.len() <= left => piece,
            _ => {
                let _ = sender.send(Err(BodyCut)).await;
                return;
            }
        };
        left -= piece.len();
        if sender.send(Ok(piece)).await.is_err() {
            return;
        }
    }
}

fn named_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn too_large(limit: usize) -> Refused {
    Box::new(ProblemAnswer::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        RequestOutcome::NotRun,
        "body-too-large",
        format!("a body may have {limit} bytes"),
    ))
}

fn cut_body(fault: &str) -> Refused {
    Box::new(ProblemAnswer::new(
        StatusCode::BAD_REQUEST,
        RequestOutcome::NotRun,
        "body-cut",
        format!("the body was cut short: {fault}"),
    ))
}

fn stale_view() -> ProblemAnswer {
    ProblemAnswer::unavailable(
        "stale-view",
        "this entry is not on the roster, or has not heard from the platform or another entry",
        VIEW_RETRY,
    )
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

/// Passes a runner's answer on.
fn pass_answer(answer: RunnerAnswer) -> HttpResponse {
    let RunnerAnswer { head, body } = answer;
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in answer_headers(&head.headers) {
        builder.append_header((name, value));
    }
    builder.insert_header((OUTCOME_HEADER, RequestOutcome::Ran.as_str()));
    match body {
        AnswerBody::Whole(bytes) => builder.body(bytes),
        AnswerBody::Head { length } => builder.body(StreamedAnswer::without_body(length)),
        AnswerBody::Stream { length, pieces } => builder.body(StreamedAnswer { length, pieces }),
    }
}

/// Body of a long answer.
struct StreamedAnswer {
    length: Option<u64>,
    pieces: mpsc::Receiver<Result<Bytes, AnswerCut>>,
}

impl StreamedAnswer {
    /// The answer to a HEAD: a length, where there is one, and no body.
    fn without_body(length: Option<u64>) -> Self {
        let (_, pieces) = mpsc::channel(STREAM_PIECES);
        Self { length, pieces }
    }
}

impl MessageBody for StreamedAnswer {
    type Error = AnswerCut;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AnswerCut>>> {
        self.get_mut().pieces.poll_recv(context)
    }
}
