//! Drain barrier: checks that no entry has requests at a VM and that none will send
//! any.
//!
//! Every entry on the rosters is queried over the mesh. An unresponsive entry delays
//! the move or reboot. Only an entry whose VM the platform no longer lists is removed
//! from the roster; it must not route requests before it has registered again.

use std::time::Duration;

use futures_util::future::join_all;
use hoisthitch_core::RosterEntry;
use hoisthitch_telemetry::event;
use hoisthitch_wire::{
    DrainReport,
    MeshEndpoint,
    MeshFrame,
    WireError, //
};

use crate::view::{
    FleetView,
    RosteredEntry, //
};

/// Timeout of connecting to an entry and receiving its report.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Queries the entries whether they are done with a VM.
pub struct DrainBarrier {
    endpoint: MeshEndpoint,
}

/// Result of querying all entries.
pub enum BarrierOutcome {
    /// All entries are done with the VM.
    Passed,
    /// An entry is not done with the VM, or does not respond.
    Pending,
    /// An entry does not respond, and the platform no longer lists its VM.
    EntryLost(RosteredEntry),
}

impl DrainBarrier {
    /// Creates a barrier that connects to the entries through `endpoint`.
    pub fn new(endpoint: MeshEndpoint) -> Self {
        Self { endpoint }
    }

    /// Checks that all entries route by `version` of the hall record or a later one,
    /// and have no requests in flight at the VM.
    pub async fn check(
        &self,
        view: &FleetView,
        hall: &str,
        vm: &str,
        version: u64,
    ) -> BarrierOutcome {
        let queries = view.entries.iter().map(|rostered| async move {
            let report = self.query_entry(&rostered.entry, hall, vm).await;
            (rostered, report)
        });
        let mut outcome = BarrierOutcome::Passed;
        for (rostered, report) in join_all(queries).await {
            let name = &rostered.entry.name;
            match report {
                Ok(report) if report.version >= version && report.in_flight == 0 => {}
                Ok(report) => {
                    event!(
                        Info,
                        "drain_waits",
                        vm = vm,
                        entry = name,
                        version = report.version,
                        wanted = version,
                        in_flight = report.in_flight,
                    );
                    outcome = BarrierOutcome::Pending;
                }
                Err(err) => {
                    event!(Warn, "drain_unanswered", vm = vm, entry = name, error = err);
                    if !view.listed.contains_key(name) {
                        return BarrierOutcome::EntryLost(rostered.clone());
                    }
                    outcome = BarrierOutcome::Pending;
                }
            }
        }
        outcome
    }

    async fn query_entry(
        &self,
        entry: &RosterEntry,
        hall: &str,
        vm: &str,
    ) -> Result<DrainReport, WireError> {
        let querying = async {
            let mut peer = self.endpoint.connect(&entry.name, entry.mesh).await?;
            let request = MeshFrame::AskDrained {
                vm: vm.to_owned(),
                hall: hall.to_owned(),
            };
            peer.writer.write(&request).await?;
            loop {
                if let (MeshFrame::Drained(report), _) = peer.reader.read().await?
                    && report.vm == vm
                {
                    peer.close();
                    return Ok(report);
                }
            }
        };
        tokio::time::timeout(QUERY_TIMEOUT, querying)
            .await
            .unwrap_or_else(|_| Err(WireError::Connection("no response in time".to_owned())))
    }
}
