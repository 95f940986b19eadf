//! Stand-ins for what surrounds hoisthitch, for tests and for trying it out:
//! the platform's store and VM list, runners, and a proxy that injects faults.
//!
//! Each is a plain process of its own, steered over HTTP below `/standin`.

mod platform;
mod proxy;
mod runner;

use argh::FromArgs;
use eyre::Result;

use crate::{
    platform::PlatformArgs,
    proxy::ProxyArgs,
    runner::RunnerArgs, //
};

/// Stand-ins for the platform, runners and the network.
#[derive(Debug, FromArgs)]
struct StandinArgs {
    #[argh(subcommand)]
    command: StandinCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum StandinCommand {
    Platform(PlatformArgs),
    Runner(RunnerArgs),
    Proxy(ProxyArgs),
}

#[actix_web::main]
async fn main() -> Result<()> {
    let args: StandinArgs = argh::from_env();
    match args.command {
        StandinCommand::Platform(args) => platform::run(args).await,
        StandinCommand::Runner(args) => runner::run(args).await,
        StandinCommand::Proxy(args) => proxy::run(args).await,
    }
}
