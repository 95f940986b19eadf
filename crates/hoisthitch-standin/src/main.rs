//! Stand-ins for the environment of hoisthitch, for tests and demos: the
//! platform's store and VM list, runners, and a proxy that injects faults.
//!
//! Each subcommand runs one of them as a separate process, which is controlled
//! over HTTP under `/standin`.

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
