//! `hoisthitch status`: prints one entry's pools and runners, with its load.

use argh::FromArgs;
use eyre::Result;
use hoisthitch_api::{
    STATUS_PATH,
    StatusAnswer, //
};

use crate::{
    commands::CommandContext,
    render::{
        print_json,
        print_rows, //
    }, //
};

/// show the entry's pools and runners, with their load
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "hoisthitch status")]
pub struct StatusCommand {}

impl StatusCommand {
    /// Prints the status.
    pub async fn run(self, context: &CommandContext) -> Result<()> {
        let status: StatusAnswer = context.client()?.get(STATUS_PATH).await?;
        if context.json {
            return print_json(&status);
        }
        println!(
            "entry {} in {}: {}, table revision {}",
            status.name,
            status.hall,
            if status.ready { "ready" } else { "not ready" },
            status.table_revision
        );
        for pool in &status.pools {
            println!(
                "\npool {}: {} queued, {} in flight of {}",
                pool.pool, pool.queued, pool.in_flight, pool.in_flight_limit
            );
            print_rows(&pool.runners)?;
        }
        Ok(())
    }
}
