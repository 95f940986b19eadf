//! HTTP client of the operators' API of an entry or of a node of the job service.

use std::time::Duration;

use awc::{
    Client,
    ClientRequest,
    SendClientRequest, //
};
use hoisthitch_api::FaultAnswer;
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::error::CommandError;

/// Time limit of a request; an entry takes less to find the outcome of a write
/// that had no response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Limit of a response's body; the largest are the whole table and all hall
/// records.
const RESPONSE_LIMIT_BYTES: usize = 32 << 20;

/// Client of one entry or node.
pub struct OperatorClient {
    http: Client,
    base: String,
    token: String,
}

impl OperatorClient {
    /// Creates a client of the entry or node at the URL `base`.
    pub fn new(base: &str, token: String) -> Self {
        Self {
            http: Client::builder().timeout(REQUEST_TIMEOUT).finish(),
            base: base.trim_end_matches('/').to_owned(),
            token,
        }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Fails when the entry or node can't be reached or refuses the request.
    pub async fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, CommandError> {
        let url = self.url(path);
        let request = self.with_token(self.http.get(&url));
        read_response(&url, request.send()).await
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the entry or node can't be reached or refuses the request.
    pub async fn post<B, R>(&self, path: &str, body: &B) -> Result<R, CommandError>
    where
        B: Serialize,
        R: DeserializeOwned,
    {
        let url = self.url(path);
        let request = self.with_token(self.http.post(&url));
        read_response(&url, request.send_json(body)).await
    }

    /// Sends a DELETE request.
    ///
    /// # Errors
    ///
    /// Fails when the entry or node can't be reached or refuses the request.
    pub async fn delete<R: DeserializeOwned>(&self, path: &str) -> Result<R, CommandError> {
        let url = self.url(path);
        let request = self.with_token(self.http.delete(&url));
        read_response(&url, request.send()).await
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    fn with_token(&self, request: ClientRequest) -> ClientRequest {
        request.bearer_auth(&self.token)
    }
}

async fn read_response<R: DeserializeOwned>(
    url: &str,
    request: SendClientRequest,
) -> Result<R, CommandError> {
    let unreachable = |fault: String| CommandError::Unreachable {
        url: url.to_owned(),
        fault,
    };
    let mut response = request.await.map_err(|err| unreachable(err.to_string()))?;
    let status = response.status();
    let body = response
        .body()
        .limit(RESPONSE_LIMIT_BYTES)
        .await
        .map_err(|err| unreachable(err.to_string()))?;
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|err| unreachable(err.to_string()));
    }
    let error = match serde_json::from_slice::<FaultAnswer>(&body) {
        Ok(fault) => fault.error,
        Err(_) => String::from_utf8_lossy(&body).into_owned(),
    };
    Err(CommandError::Refused {
        status: status.as_u16(),
        error,
    })
}
