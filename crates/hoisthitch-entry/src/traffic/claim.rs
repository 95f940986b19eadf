//! Claims the idempotency keys of requests.
//!
//! A request that must not be repeated and has an `Idempotency-Key` header is sent
//! only after its key was claimed in the store. Another request with the same key
//! gets the stored response, or an error response while there is none.

use std::time::Duration;

use actix_web::{
    HttpRequest,
    HttpResponse,
    http::StatusCode, //
};
use hoisthitch_core::{
    OUTCOME_HEADER,
    RequestOutcome,
    hash_bytes, //
};
use hoisthitch_store::{
    ClaimAnswer,
    ClaimClient,
    ClaimOutcome,
    ClaimRecord,
    ClaimResolution,
    ClaimTicket,
    KeySpace, //
};
use hoisthitch_telemetry::event;
use rand::Rng;
use tokio::time::Instant;

use crate::{
    state::SharedState,
    traffic::{
        body::RequestBody,
        problem::ProblemResponse, //
    }, //
};

/// Header with the key that all attempts of a request share.
const KEY_HEADER: &str = "idempotency-key";

/// Header that marks a response stored by an earlier attempt.
const REPLAY_HEADER: &str = "hoisthitch-replayed";

/// Longest idempotency key.
const KEY_MAX_BYTES: usize = 128;

/// Timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// `Retry-After` of a request whose key could not be claimed.
const CLAIM_RETRY: Duration = Duration::from_secs(1);

/// Pool, team and deadline of the request whose key is claimed.
pub struct ClaimScope<'a> {
    /// Pool that serves the request.
    pub pool: &'a str,
    /// Team that sent it.
    pub team: &'a str,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Instant,
}

/// Claim of a request that no exchange has taken over yet.
///
/// Dropping the guard frees the key, also when the caller disconnects.
pub struct ClaimGuard {
    client: ClaimClient,
    ticket: Option<ClaimTicket>,
}

impl ClaimGuard {
    fn new(client: &ClaimClient, ticket: ClaimTicket) -> Self {
        Self {
            client: client.clone(),
            ticket: Some(ticket),
        }
    }

    /// Takes the claim out of the guard, without freeing the key.
    pub fn into_ticket(mut self) -> Option<ClaimTicket> {
        self.ticket.take()
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.client.end(ticket, ClaimResolution::NotRun);
        }
    }
}

/// How a request proceeds after its key was claimed.
pub enum ClaimResult {
    /// Send the request, with the claim if it has a key.
    Send(Option<ClaimGuard>),
    /// Return this stored response.
    Response(HttpResponse),
}

/// Claims the key of a request, if it has one.
///
/// # Errors
///
/// Fails with the response for a request that must not be sent.
pub async fn claim_key(
    shared: &SharedState,
    request: &HttpRequest,
    body: &RequestBody,
    scope: ClaimScope<'_>,
) -> Result<ClaimResult, Box<ProblemResponse>> {
    let Some(key) = read_key(request)? else {
        return Ok(ClaimResult::Send(None));
    };
    let keys = KeySpace::new(&shared.settings.platform.root);
    let record = ClaimRecord {
        entry: shared.settings.name.clone(),
        operation: rand::rng().random(),
        fingerprint: fingerprint(request, body),
        answer: None,
    };
    let deadline = scope.deadline.min(Instant::now() + CLAIM_TIMEOUT);
    let key = keys.claim(scope.pool, scope.team, &key);
    let outcome = shared.claims.claim(key, record, deadline).await;
    log_outcome(&scope, &outcome);
    resolve_outcome(&shared.claims, outcome)
}

fn resolve_outcome(
    client: &ClaimClient,
    outcome: ClaimOutcome,
) -> Result<ClaimResult, Box<ProblemResponse>> {
    let problem = match outcome {
        ClaimOutcome::Granted(ticket) => {
            return Ok(ClaimResult::Send(Some(ClaimGuard::new(client, ticket))));
        }
        ClaimOutcome::Answered(answer) => {
            return Ok(ClaimResult::Response(stored_response(answer)));
        }
        ClaimOutcome::InProgress => ProblemResponse::new(
            StatusCode::CONFLICT,
            RequestOutcome::Unknown,
            "in-progress",
            "another try under this key was sent and has no answer yet",
        )
        .retry_after(CLAIM_RETRY),
        ClaimOutcome::Mismatch => ProblemResponse::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            RequestOutcome::NotRun,
            "key-reused",
            "the key was used for another request",
        ),
        ClaimOutcome::Unavailable => ProblemResponse::unavailable(
            "no-claim",
            "the key can't be claimed while the platform's store fails",
            CLAIM_RETRY,
        ),
    };
    Err(Box::new(problem))
}

/// Builds the response that the attempt which ran has stored.
fn stored_response(answer: ClaimAnswer) -> HttpResponse {
    let Some(body) = answer.body else {
        let problem = ProblemResponse::new(
            StatusCode::CONFLICT,
            RequestOutcome::Ran,
            "answer-not-kept",
            format!("the request ran with status {}", answer.status),
        );
        return problem.into_response();
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    builder.insert_header((OUTCOME_HEADER, RequestOutcome::Ran.as_str()));
    builder.insert_header((REPLAY_HEADER, "true"));
    if !answer.content_type.is_empty() {
        builder.content_type(answer.content_type);
    }
    builder.body(body.bytes)
}

fn read_key(request: &HttpRequest) -> Result<Option<String>, Box<ProblemResponse>> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let plain = |byte: &u8| byte.is_ascii_graphic() && *byte != b'/';
    let bytes = value.as_bytes();
    let fits = !bytes.is_empty() && bytes.len() <= KEY_MAX_BYTES;
    match value.to_str() {
        Ok(text) if fits && bytes.iter().all(plain) => Ok(Some(text.to_owned())),
        _ => Err(Box::new(ProblemResponse::new(
            StatusCode::BAD_REQUEST,
            RequestOutcome::NotRun,
            "bad-header",
            format!("header {KEY_HEADER}: use 1 to {KEY_MAX_BYTES} visible characters without '/'"),
        ))),
    }
}

/// Hash of the method, the URI and the body; of a streamed body, only the part that
/// was read before streaming began.
fn fingerprint(request: &HttpRequest, body: &RequestBody) -> u64 {
    let mut bytes = format!("{} {}\n", request.method(), request.uri()).into_bytes();
    match body {
        RequestBody::Whole(whole) => bytes.extend_from_slice(whole),
        RequestBody::Stream(stream) => bytes.extend(stream.first.iter().flatten()),
    }
    hash_bytes(&bytes)
}

fn log_outcome(scope: &ClaimScope<'_>, outcome: &ClaimOutcome) {
    let outcome = match outcome {
        ClaimOutcome::Granted(_) => "granted",
        ClaimOutcome::InProgress => "in-progress",
        ClaimOutcome::Answered(_) => "answered",
        ClaimOutcome::Mismatch => "mismatch",
        ClaimOutcome::Unavailable => "unavailable",
    };
    event!(
        Info,
        "claim",
        pool = scope.pool,
        team = scope.team,
        verdict = outcome,
    );
}
