//! Selects the headers that are forwarded with requests and responses.
//!
//! `actix-web` and `hyper` use different versions of the `http` crate, so headers
//! are converted through their bytes.

use actix_web::http::header::HeaderMap as CallerHeaders;
use hoisthitch_core::OUTCOME_HEADER;
use hyper::header::{
    HeaderMap as RunnerHeaders,
    HeaderName,
    HeaderValue, //
};

/// Headers that are not forwarded: those of a single connection (RFC 9110,
/// section 7.6.1) and those that the HTTP libraries set themselves.
const CONNECTION_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Headers of a caller's request that are forwarded to the runner.
pub fn request_headers(headers: &CallerHeaders) -> RunnerHeaders {
    let named = connection_names(headers.get_all("connection").map(|value| value.as_bytes()));
    let mut kept = RunnerHeaders::with_capacity(headers.len());
    for (name, value) in headers {
        let name = name.as_str();
        if is_dropped(name, &named) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            kept.append(name, value);
        }
    }
    kept
}

/// Headers of a runner's response that are forwarded to the caller.
pub fn response_headers(headers: &RunnerHeaders) -> impl Iterator<Item = (&str, &[u8])> {
    let values = headers.get_all("connection").iter();
    let named = connection_names(values.map(|value| value.as_bytes()));
    headers
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .filter(move |(name, _)| !is_dropped(name, &named) && *name != OUTCOME_HEADER)
}

/// Header names listed in `Connection` headers.
fn connection_names<'a>(values: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    values
        .filter_map(|value| std::str::from_utf8(value).ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn is_dropped(name: &str, named: &[String]) -> bool {
    CONNECTION_HEADERS.contains(&name) || named.iter().any(|other| other == name)
}
