//! Client of the operators' side of an entry, or of a node of the job service.

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

/// Longest time that a call may take; an entry settles unclear writes for less.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// Longest answer: the whole table and all hall records.
const ANSWER_LIMIT: usize = 32 << 20;

/// Client of one entry or node.
pub struct EntryClient {
    http: Client,
    base: String,
    token: String,
}

impl EntryClient {
    /// Client of what listens at the URL `base`.
    pub fn new(base: &str, token: String) -> Self {
        Self {
            http: Client::builder().timeout(CALL_LIMIT).finish(),
            base: base.trim_end_matches('/').to_owned(),
            token,
        }
    }

    /// Reads.
    ///
    /// # Errors
    ///
    /// Fails when the entry can't be reached or refuses.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CommandError> {
        let url = self.url(path);
        let request = self.signed(self.http.get(&url));
        read_answer(&url, request.send()).await
    }

    /// Writes.
    ///
    /// # Errors
    ///
    /// Fails when the entry can't be reached or refuses.
    pub async fn post<Q, A>(&self, path: &str, call: &Q) -> Result<A, CommandError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let url = self.url(path);
        let request = self.signed(self.http.post(&url));
        read_answer(&url, request.send_json(call)).await
    }

    /// Takes back.
    ///
    /// # Errors
    ///
    /// Fails when the entry can't be reached or refuses.
    pub async fn delete<A: DeserializeOwned>(&self, path: &str) -> Result<A, CommandError> {
        let url = self.url(path);
        let request = self.signed(self.http.delete(&url));
        read_answer(&url, request.send()).await
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    fn signed(&self, request: ClientRequest) -> ClientRequest {
        request.bearer_auth(&self.token)
    }
}

async fn read_answer<A: DeserializeOwned>(
    url: &str,
    request: SendClientRequest,
) -> Result<A, CommandError> {
    let unreachable = |fault: String| CommandError::Unreachable {
        url: url.to_owned(),
        fault,
    };
    let mut response = request.await.map_err(|err| unreachable(err.to_string()))?;
    let status = response.status();
    let body = response
        .body()
        .limit(ANSWER_LIMIT)
        .await
        .map_err(|err| unreachable(err.to_string()))?;
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|err| unreachable(err.to_string()));
    }
    let error = match serde_json::from_slice::<FaultAnswer>(&body) {
        Ok(answer) => answer.error,
        Err(_) => String::from_utf8_lossy(&body).into_owned(),
    };
    Err(CommandError::Refused {
        status: status.as_u16(),
        error,
    })
}
