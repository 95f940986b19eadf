//! `hoisthitch halls`: shows the cordoned data halls, from a node of the job service.

use argh::FromArgs;
use eyre::Result;
use hoisthitch_api::{
    CORDONS_PATH,
    CordonRow, //
};

use crate::{
    commands::CommandContext,
    render::{
        print_json,
        print_rows, //
    }, //
};

/// show the cordoned (evacuated) data halls, since when, and what still runs there
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "halls", example = "hoisthitch halls")]
pub struct HallsCommand {}

impl HallsCommand {
    /// Carries the command out.
    ///
    /// # Errors
    ///
    /// Fails when the node can't be reached.
    pub async fn run(self, context: &CommandContext) -> Result<()> {
        let client = context.job_client()?;
        let halls: Vec<CordonRow> = client.get(CORDONS_PATH).await?;
        if context.json {
            return print_json(&halls);
        }
        if halls.is_empty() {
            println!("no data hall is cordoned");
            return Ok(());
        }
        print_rows(&halls)
    }
}
