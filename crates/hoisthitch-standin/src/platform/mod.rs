//! Stand-in for the platform: the store behind an etcd v3 JSON gateway, and the
//! list of VMs.
//!
//! Faults are set below `/standin`: outages, slow answers, answers lost after a
//! write took effect, and a store that comes back older.

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

/// Largest request: a value of 1 MB in base64, with its frame.
const REQUEST_LIMIT: usize = 4 << 20;

/// Stand-in for the platform's store and its list of VMs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// address to listen on, as ip:port
    #[argh(option)]
    listen: SocketAddr,
}

/// What the handlers share.
pub struct PlatformState {
    values: ValueStore,
    list: VmList,
    faults: StoreFaults,
}

/// Runs until the process is told to stop.
///
/// # Errors
///
/// Fails when the address can't be listened on.
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
            .app_data(web::JsonConfig::default().limit(REQUEST_LIMIT))
            .app_data(web::PayloadConfig::new(REQUEST_LIMIT))
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
