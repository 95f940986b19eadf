//! Stand-in for the platform: the store behind an etcd v3 JSON gateway, and the
//! list of VMs.
//!
//! Requests under `/standin` set the list and inject faults: outages, slow
//! responses, responses lost after a write took effect, and a store that returns
//! to an earlier state.

mod faults;
mod gateway;
mod list;
mod values;

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use actix_web::{
    App,
    HttpServer,
    web, //
};
use argh::FromArgs;
use eyre::Result;

pub use faults::StoreFaults;

use crate::platform::{
    list::VmList,
    values::ValueStore, //
};

/// Largest request, in bytes: a value of 1 MB in base64 and its envelope.
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// Stand-in for the platform's store and its list of VMs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// address to listen on, as ip:port
    #[argh(option)]
    listen: SocketAddr,
}

/// State shared by the handlers.
pub struct PlatformState {
    values: ValueStore,
    list: VmList,
    faults: StoreFaults,
}

/// Serves until the process is stopped.
///
/// # Errors
///
/// Fails if the process cannot listen on the address.
pub async fn run(args: PlatformArgs) -> Result<()> {
    let state = Arc::new(PlatformState {
        values: ValueStore::default(),
        list: VmList::default(),
        faults: StoreFaults::default(),
    });
    println!("standin=platform listen={}", args.listen);
    HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(state.clone()))
            .app_data(web::JsonConfig::default().limit(MAX_REQUEST_BYTES))
            .app_data(web::PayloadConfig::new(MAX_REQUEST_BYTES))
            .configure(gateway::configure)
            .configure(list::configure)
            .configure(faults::configure)
    })
    .workers(1)
    .shutdown_timeout(1)
    .bind(args.listen)?
    .run()
    .await?;
    Ok(())
}
