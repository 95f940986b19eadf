//! Reads a request's pool, team, priority and deadline from its path and headers.
//!
//! The pool and the team are looked up in the route table. A request that can't be
//! routed gets an error response, and so does every request while the entry has no
//! operators' table or its view of the fleet is stale.

use std::{
    sync::Arc,
    time::Duration, //
};

use actix_web::{
    HttpRequest,
    http::{
        StatusCode,
        header::HeaderMap, //
    }, //
};
use hoisthitch_core::{
    PaidPriority,
    RequestOutcome, //
};
use hyper::{
    Method,
    Uri, //
};
use tokio::time::Instant;

use crate::{
    control::{
        DEFAULT_TEAM,
        RouteTable,
        TeamRoute, //
    },
    state::SharedState,
    traffic::{
        dispatcher::{
            PoolDispatcher,
            SlotRequest, //
        },
        problem::{
            BoxedProblem,
            DEFAULT_RETRY_AFTER,
            ProblemResponse, //
        }, //
    }, //
};

/// Header that names the caller's team.
const TEAM_HEADER: &str = "hoisthitch-team";

/// Header with the requested priority; the team's priority is the highest possible.
const PRIORITY_HEADER: &str = "hoisthitch-priority";

/// Header with the request's timeout, in milliseconds.
const DEADLINE_HEADER: &str = "hoisthitch-deadline-ms";

/// Longest timeout that a caller may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(86_400);

/// A request's pool, team, priority and deadline.
pub struct RoutedRequest {
    /// Dispatcher of the pool that serves the path.
    pub dispatcher: Arc<PoolDispatcher>,
    /// Name of the team.
    pub team_name: String,
    /// What the dispatcher needs in order to grant a slot.
    pub slot: SlotRequest,
    /// Whether the request may be sent again after a failure.
    pub repeatable: bool,
}

/// Routes a request: reads its pool, team, priority and deadline.
///
/// # Errors
///
/// Fails with the response for a request that can't be routed.
pub fn route_request(
    shared: &SharedState,
    request: &HttpRequest,
) -> Result<RoutedRequest, BoxedProblem> {
    let routes = shared.routes.load();
    if routes.revision == 0 {
        return Err(Box::new(ProblemResponse::unavailable(
            "no-table",
            "this entry has not read the table yet",
            DEFAULT_RETRY_AFTER,
        )));
    }
    if !shared.may_send() {
        return Err(Box::new(ProblemResponse::stale_view()));
    }
    let path = request.path();
    let dispatcher = routes.dispatcher(path).ok_or_else(|| {
        Box::new(ProblemResponse::new(
            StatusCode::NOT_FOUND,
            RequestOutcome::NotRun,
            "no-pool",
            "no pool serves this path",
        ))
    })?;
    let headers = request.headers();
    let (team_name, team) = read_team(&routes, headers)?;
    let priority =
        read_priority(headers)?.map_or(team.priority, |requested| requested.max(team.priority));
    let (default_ms, repeat) = dispatcher.inspect(|scheduler| {
        let row = scheduler.row();
        (row.deadline_ms(priority), row.repeat)
    });
    let timeout = read_timeout(headers)?.unwrap_or(Duration::from_millis(u64::from(default_ms)));
    Ok(RoutedRequest {
        dispatcher: dispatcher.clone(),
        team_name,
        repeatable: repeat.allows(request.method().as_str()),
        slot: SlotRequest {
            priority,
            team: team.key,
            weight: team.weight,
            deadline: Instant::now() + timeout,
        },
    })
}

fn read_team(
    routes: &RouteTable,
    headers: &HeaderMap,
) -> Result<(String, TeamRoute), BoxedProblem> {
    let name = text_header(headers, TEAM_HEADER)?.unwrap_or(DEFAULT_TEAM);
    let team = routes.team(name).ok_or_else(|| {
        Box::new(ProblemResponse::new(
            StatusCode::FORBIDDEN,
            RequestOutcome::NotRun,
            "no-team",
            "the table has no such team",
        ))
    })?;
    Ok((name.to_owned(), team))
}

fn read_priority(headers: &HeaderMap) -> Result<Option<PaidPriority>, BoxedProblem> {
    match text_header(headers, PRIORITY_HEADER)? {
        None => Ok(None),
        Some("urgent") => Ok(Some(PaidPriority::Urgent)),
        Some("background") => Ok(Some(PaidPriority::Background)),
        Some(_) => Err(bad_header(PRIORITY_HEADER, "use urgent or background")),
    }
}

fn read_timeout(headers: &HeaderMap) -> Result<Option<Duration>, BoxedProblem> {
    let Some(text) = text_header(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    let timeout = text.parse().map(Duration::from_millis).ok();
    match timeout {
        Some(timeout) if timeout <= MAX_TIMEOUT => Ok(Some(timeout)),
        _ => Err(bad_header(DEADLINE_HEADER, "use 0 to 86400000")),
    }
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BoxedProblem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(bad_header(name, "use plain text")),
    }
}

fn bad_header(name: &str, help: &str) -> BoxedProblem {
    Box::new(ProblemResponse::new(
        StatusCode::BAD_REQUEST,
        RequestOutcome::NotRun,
        "bad-header",
        format!("header {name}: {help}"),
    ))
}

/// Converts a request's method for the HTTP client.
///
/// # Errors
///
/// Fails with the response for a request that can't be forwarded.
pub fn read_method(request: &HttpRequest) -> Result<Method, BoxedProblem> {
    Method::from_bytes(request.method().as_str().as_bytes()).map_err(|_| bad_target())
}

/// Converts a request's path and query for the HTTP client.
///
/// # Errors
///
/// Fails with the response for a request that can't be forwarded.
pub fn read_uri(request: &HttpRequest) -> Result<Uri, BoxedProblem> {
    let target = request.uri().path_and_query().ok_or_else(bad_target)?;
    target.as_str().parse().map_err(|_| bad_target())
}

fn bad_target() -> BoxedProblem {
    Box::new(ProblemResponse::new(
        StatusCode::BAD_REQUEST,
        RequestOutcome::NotRun,
        "bad-target",
        "the request line can't be passed on",
    ))
}
