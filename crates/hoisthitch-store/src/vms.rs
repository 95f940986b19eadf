//! Client of the platform's list of VMs.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use awc::{
    Client,
    SendClientRequest,
    http::header, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

use crate::error::StoreError;

/// Longest list: 10,000 VMs at about 200 bytes each are well below it.
const LIST_LIMIT_BYTES: usize = 8 << 20;

/// HTTP status of a response when the list has not changed.
const NOT_MODIFIED: u16 = 304;

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be removed.
    Leaving,
    /// The VM is being rebooted.
    Rebooting,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: String,
    /// Data hall of the VM.
    pub hall: String,
    /// Rack of the VM.
    pub rack: String,
    /// Address of the VM's service.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
    /// Number of times that the VM was started.
    #[serde(default)]
    pub boots: u64,
}

/// Result of reading the list with the tag of an earlier version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmListing {
    /// The list has not changed.
    Unchanged,
    /// The list has changed.
    Changed {
        /// The VMs.
        vms: Vec<ListedVm>,
        /// Entity tag (`ETag`) of this version of the list.
        tag: String,
    },
}

/// Request to reboot a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RebootRequest {
    /// Name of the VM.
    pub vm: String,
    /// Boot count that the caller knows. A VM with a higher count is not rebooted,
    /// so that a repeated request does no harm.
    pub boots: u64,
}

/// Client of the platform's list of VMs.
#[derive(Clone)]
pub struct VmLister {
    http: Client,
    endpoint: String,
    timeout: Duration,
}

impl VmLister {
    /// Creates a client of the list at `endpoint`, such as
    /// `http://127.0.0.1:2380`. Each call is limited to `timeout`.
    pub fn new(endpoint: &str, timeout: Duration) -> Self {
        Self {
            http: Client::builder().timeout(timeout).finish(),
            endpoint: endpoint.trim_end_matches('/').to_owned(),
            timeout,
        }
    }

    /// Reads the list if it has changed since the version with the tag.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or its response can't be parsed.
    pub async fn list_changes(&self, tag: &str) -> Result<VmListing, StoreError> {
        const CALL: &str = "/vms";
        let request = self.http.get(format!("{}{CALL}", self.endpoint));
        let request = request.insert_header((header::IF_NONE_MATCH, tag));
        let response = self.exchange(CALL, request.send()).await?;
        if response.status == NOT_MODIFIED {
            return Ok(VmListing::Unchanged);
        }
        Ok(VmListing::Changed {
            vms: decode(CALL, &response.body)?,
            tag: response.tag,
        })
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or its response can't be parsed.
    pub async fn list(&self) -> Result<Vec<ListedVm>, StoreError> {
        const CALL: &str = "/vms";
        let request = self.http.get(format!("{}{CALL}", self.endpoint));
        let response = self.exchange(CALL, request.send()).await?;
        decode(CALL, &response.body)
    }

    /// Requests a reboot of a VM.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or refuses the request.
    pub async fn reboot(&self, reboot: &RebootRequest) -> Result<(), StoreError> {
        const CALL: &str = "/vms/reboot";
        let request = self.http.post(format!("{}{CALL}", self.endpoint));
        self.exchange(CALL, request.send_json(reboot)).await?;
        Ok(())
    }

    async fn exchange(
        &self,
        call: &'static str,
        request: SendClientRequest,
    ) -> Result<PlatformResponse, StoreError> {
        let transport = |fault: String| StoreError::Transport { call, fault };
        let exchange = async {
            let mut response = request.await.map_err(|err| transport(err.to_string()))?;
            let status = response.status().as_u16();
            if status != 200 && status != NOT_MODIFIED {
                return Err(StoreError::Status { call, status });
            }
            let tag = response.headers().get(header::ETAG);
            let tag = tag.and_then(|tag| tag.to_str().ok()).unwrap_or_default();
            let tag = tag.to_owned();
            let body = response
                .body()
                .limit(LIST_LIMIT_BYTES)
                .await
                .map_err(|err| transport(err.to_string()))?;
            Ok(PlatformResponse { status, tag, body })
        };
        let limit = self.timeout;
        tokio::time::timeout(limit, exchange)
            .await
            .unwrap_or(Err(StoreError::Timeout { call, limit }))
    }
}

/// Response of the platform.
struct PlatformResponse {
    status: u16,
    tag: String,
    body: Bytes,
}

fn decode<A: DeserializeOwned>(call: &'static str, body: &[u8]) -> Result<A, StoreError> {
    serde_json::from_slice(body).map_err(|err| StoreError::Malformed {
        call,
        fault: err.to_string(),
    })
}
