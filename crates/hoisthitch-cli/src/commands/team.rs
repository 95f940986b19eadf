//! `hoisthitch team`: shows teams of callers, from a node of the job service.

use argh::FromArgs;
use eyre::Result;
use hoisthitch_api::{
    TEAMS_PATH,
    TeamRow, //
};

use crate::{
    commands::CommandContext,
    error::CommandError,
    render::{
        print_json,
        print_rows, //
    }, //
};

/// show teams, their weights, limits and what pools hold of them
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "team")]
pub struct TeamCommand {
    #[argh(subcommand)]
    action: TeamAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum TeamAction {
    List(ListTeams),
    Show(ShowTeam),
}

/// show all teams
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
struct ListTeams {}

/// show one team
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show", example = "hoisthitch team show choir")]
struct ShowTeam {
    /// name of the team
    #[argh(positional)]
    team: String,
}

impl TeamCommand {
    /// Carries the command out.
    ///
    /// # Errors
    ///
    /// Fails when the node can't be reached, or has no such team.
    pub async fn run(self, context: &CommandContext) -> Result<()> {
        let client = context.job_client()?;
        let mut teams: Vec<TeamRow> = client.get(TEAMS_PATH).await?;
        if let TeamAction::Show(args) = self.action {
            teams.retain(|row| row.team == args.team);
            if teams.is_empty() {
                let text = format!("there is no team {}; see 'hoisthitch team list'", args.team);
                return Err(CommandError::Usage(text).into());
            }
        }
        if context.json {
            return print_json(&teams);
        }
        print_rows(&teams)
    }
}
