//! A small HTTP client for tests, with access to all headers and the complete body.

use std::time::Duration;

use awc::{
    Client,
    http::Method, //
};
use eyre::{
    Result,
    eyre, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

/// Timeout of a request.
const LIMIT: Duration = Duration::from_secs(60);

/// Largest body of a response.
const BODY_LIMIT_BYTES: usize = 64 << 20;

/// A request of a test.
#[derive(Clone, Debug)]
pub struct TestRequest {
    method: Method,
    url: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// The response to a request of a test.
#[derive(Clone, Debug)]
pub struct TestResponse {
    /// Status code.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl TestRequest {
    /// A GET.
    pub fn get(url: &str) -> Self {
        Self::new(Method::GET, url)
    }

    /// A POST.
    pub fn post(url: &str, body: &[u8]) -> Self {
        Self {
            body: body.to_vec(),
            ..Self::new(Method::POST, url)
        }
    }

    /// A DELETE.
    pub fn delete(url: &str) -> Self {
        Self::new(Method::DELETE, url)
    }

    /// A PUT of JSON.
    ///
    /// # Errors
    ///
    /// Fails when the value can't be written as JSON.
    pub fn put_json<T: Serialize>(url: &str, value: &T) -> Result<Self> {
        let request = Self {
            body: serde_json::to_vec(value)?,
            ..Self::new(Method::PUT, url)
        };
        Ok(request.header("content-type", "application/json"))
    }

    /// A POST of JSON.
    ///
    /// # Errors
    ///
    /// Fails when the value can't be written as JSON.
    pub fn post_json<T: Serialize>(url: &str, value: &T) -> Result<Self> {
        let mut request = Self::put_json(url, value)?;
        request.method = Method::POST;
        Ok(request)
    }

    fn new(method: Method, url: &str) -> Self {
        Self {
            method,
            url: url.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends the request on a new connection.
    ///
    /// # Errors
    ///
    /// Fails when there is no complete response in time.
    pub async fn send(self) -> Result<TestResponse> {
        let client = Client::builder().timeout(LIMIT).finish();
        let mut request = client.request(self.method, self.url).force_close();
        for (name, value) in &self.headers {
            request = request.append_header((name.as_str(), value.as_str()));
        }
        let mut response = request
            .send_body(self.body)
            .await
            .map_err(|err| eyre!("{err}"))?;
        let headers = response.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        });
        let headers = headers.collect();
        let status = response.status().as_u16();
        let body = response.body().limit(BODY_LIMIT_BYTES).await?;
        Ok(TestResponse {
            status,
            headers,
            body: body.to_vec(),
        })
    }
}

impl TestResponse {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// Outcome of the request by the header `hoisthitch-outcome`: `ran`, `not-run` or `unknown`;
    /// `none` without the header.
    pub fn outcome(&self) -> &str {
        self.header("hoisthitch-outcome").unwrap_or("none")
    }

    /// Body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body is not JSON of that type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}
