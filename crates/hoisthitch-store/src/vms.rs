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

/// Longest list: 10,000 VMs at about 200 bytes, with room to spare.
const LIST_LIMIT: usize = 8 << 20;

/// Status of an answer that repeats the one before.
const NOT_MODIFIED: u16 = 304;

/// State of a VM, as the platform lists it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to go.
    Leaving,
    /// The VM is being started again.
    Rebooting,
}

/// A VM, as the platform lists it.
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
    /// Times that the VM was started.
    #[serde(default)]
    pub boots: u64,
}

/// A reading of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VmListing {
    /// The list is as it was.
    Unchanged,
    /// The list changed.
    Changed {
        /// The VMs.
        vms: Vec<ListedVm>,
        /// Tag of this version of the list.
        tag: String,
    },
}

/// Asks for a VM to be started again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RebootRequest {
    /// Name of the VM.
    pub vm: String,
    /// Boots that the caller knows of; a VM that was started since is left alone,
    /// so that a call that is repeated does no harm.
    pub boots: u64,
}

/// Client of the list.
#[derive(Clone)]
pub struct VmLister {
    http: Client,
    endpoint: String,
    timeout: Duration,
}

impl VmLister {
    /// Client of the list at `endpoint`, such as `http://127.0.0.1:2380`.
    pub fn new(endpoint: &str, timeout: Duration) -> Self {
        Self {
            http: Client::builder().timeout(timeout).finish(),
            endpoint: endpoint.trim_end_matches('/').to_owned(),
            timeout,
        }
    }

    /// Reads the list, if it changed since the reading with the tag.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or its answer can't be read.
    pub async fn list_changes(&self, tag: &str) -> Result<VmListing, StoreError> {
        const CALL: &str = "/vms";
        let request = self.http.get(format!("{}{CALL}", self.endpoint));
        let request = request.insert_header((header::IF_NONE_MATCH, tag));
        let answer = self.exchange(CALL, request.send()).await?;
        if answer.status == NOT_MODIFIED {
            return Ok(VmListing::Unchanged);
        }
        Ok(VmListing::Changed {
            vms: decode(CALL, &answer.body)?,
            tag: answer.tag,
        })
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or its answer can't be read.
    pub async fn list(&self) -> Result<Vec<ListedVm>, StoreError> {
        const CALL: &str = "/vms";
        let request = self.http.get(format!("{}{CALL}", self.endpoint));
        let answer = self.exchange(CALL, request.send()).await?;
        decode(CALL, &answer.body)
    }

    /// Has a VM started again.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or refuses.
    pub async fn reboot(&self, call: &RebootRequest) -> Result<(), StoreError> {
        const CALL: &str = "/vms/reboot";
        let request = self.http.post(format!("{}{CALL}", self.endpoint));
        self.exchange(CALL, request.send_json(call)).await?;
        Ok(())
    }

    async fn exchange(
        &self,
        call: &'static str,
        request: SendClientRequest,
    ) -> Result<PlatformAnswer, StoreError> {
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
                .limit(LIST_LIMIT)
                .await
                .map_err(|err| transport(err.to_string()))?;
            Ok(PlatformAnswer { status, tag, body })
        };
        let limit = self.timeout;
        tokio::time::timeout(limit, exchange)
            .await
            .unwrap_or(Err(StoreError::Timeout { call, limit }))
    }
}

/// An answer of the platform.
struct PlatformAnswer {
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
