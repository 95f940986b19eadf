//! Proxies that inject faults between processes of a fleet.

use std::net::SocketAddr;

use eyre::{
    Result,
    ensure, //
};
use serde_json::json;

use crate::{
    fleet::{
        Fleet,
        strings, //
    },
    http::TestRequest,
    process::ChildProcess,
    wait::wait_until, //
};

impl Fleet {
    /// Starts a TCP proxy in front of an address. It takes [`Fleet::set_proxy`] at the port after
    /// the one it listens on.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub async fn start_proxy(&self, port: u16, to: SocketAddr) -> Result<ChildProcess> {
        self.spawn_proxy(port, to, &[]).await
    }

    /// Starts a UDP proxy in front of an address, with the same ports.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub async fn start_udp_proxy(&self, port: u16, to: SocketAddr) -> Result<ChildProcess> {
        self.spawn_proxy(port, to, &["--udp"]).await
    }

    pub(crate) async fn spawn_proxy(
        &self,
        port: u16,
        to: SocketAddr,
        more: &[&str],
    ) -> Result<ChildProcess> {
        let listen = self.own_address(port).to_string();
        let control = self.own_address(port + 1).to_string();
        let to = to.to_string();
        let args = [
            "proxy",
            "--listen",
            &listen,
            "--to",
            &to,
            "--control",
            &control,
        ];
        let args = strings(&[&args, more].concat());
        let log = self.folder.join(format!("proxy-{port}.log"));
        let child = ChildProcess::start("hoisthitch-standin", &args, &log)?;
        wait_until("the proxy", || async {
            self.set_proxy(port, json!({})).await.ok()
        })
        .await?;
        Ok(child)
    }

    /// Sets the faults of the proxy that listens on `port`.
    ///
    /// # Errors
    ///
    /// Fails when the proxy does not respond.
    pub async fn set_proxy(&self, port: u16, plan: serde_json::Value) -> Result<()> {
        let url = format!("http://{}/standin/plan", self.own_address(port + 1));
        let response = TestRequest::put_json(&url, &plan)?.send().await?;
        ensure!(response.status == 204, "proxy: {}", response.text());
        Ok(())
    }
}
