//! `hoisthitch wave`: starts, controls and follows maintenance waves.

use std::time::Duration;

use argh::FromArgs;
use eyre::Result;
use hoisthitch_api::{
    WAVE_STATE_PATH,
    WAVES_PATH,
    WaveAnswer,
    WaveCall,
    WaveStateCall, //
};
use hoisthitch_core::{
    WaveRecord,
    WaveState, //
};

use crate::{
    client::OperatorClient,
    commands::CommandContext,
    render::print_json, //
};

/// Time between two reports of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// start and control maintenance waves
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wave")]
pub struct WaveCommand {
    #[argh(subcommand)]
    action: WaveAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum WaveAction {
    Start(StartWave),
    Pause(PauseWave),
    Resume(ResumeWave),
    Cancel(CancelWave),
    Status(ShowWaves),
}

/// start a wave: each VM is drained, rebooted and returned, within the pools'
/// availability budgets
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "start",
    example = "hoisthitch wave start kernel-12 --pool quotes --follow"
)]
struct StartWave {
    /// name of the wave; unique
    #[argh(positional)]
    name: String,
    /// pool that the wave covers; may be given several times (default all)
    #[argh(option)]
    pool: Vec<String>,
    /// show progress until the wave is done, paused or cancelled
    #[argh(switch)]
    follow: bool,
}

/// drain no further VM; those that are drained are rebooted and returned
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pause")]
struct PauseWave {
    /// name of the wave
    #[argh(positional)]
    name: String,
}

/// continue a paused wave
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
struct ResumeWave {
    /// name of the wave
    #[argh(positional)]
    name: String,
}

/// end a wave; VMs that are drained are rebooted and returned
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
struct CancelWave {
    /// name of the wave
    #[argh(positional)]
    name: String,
}

/// show the waves and their progress
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
struct ShowWaves {
    /// show progress of this wave until it is done, paused or cancelled
    #[argh(option)]
    follow: Option<String>,
}

impl WaveCommand {
    /// Carries the command out.
    pub async fn run(self, context: &CommandContext) -> Result<()> {
        match self.action {
            WaveAction::Start(args) => start(context, args).await,
            WaveAction::Pause(args) => set_state(context, args.name, WaveState::Paused).await,
            WaveAction::Resume(args) => set_state(context, args.name, WaveState::Running).await,
            WaveAction::Cancel(args) => set_state(context, args.name, WaveState::Cancelled).await,
            WaveAction::Status(args) => show(context, args).await,
        }
    }
}

async fn start(context: &CommandContext, args: StartWave) -> Result<()> {
    let client = context.client()?;
    let call = WaveCall {
        name: args.name,
        pools: args.pool,
    };
    let wave: WaveRecord = client.post(WAVES_PATH, &call).await?;
    println!("wave {} runs", wave.name);
    if args.follow {
        follow(&client, &wave.name).await?;
    }
    Ok(())
}

async fn set_state(context: &CommandContext, name: String, state: WaveState) -> Result<()> {
    let call = WaveStateCall { name, state };
    let client = context.client()?;
    let wave: WaveRecord = client.post(WAVE_STATE_PATH, &call).await?;
    println!("wave {} is {}", wave.name, state_name(wave.state));
    Ok(())
}

async fn show(context: &CommandContext, args: ShowWaves) -> Result<()> {
    let client = context.client()?;
    if let Some(name) = args.follow {
        return follow(&client, &name).await;
    }
    let waves: Vec<WaveAnswer> = client.get(WAVES_PATH).await?;
    if context.json {
        return print_json(&waves);
    }
    for wave in &waves {
        println!("{}", progress_line(wave));
    }
    Ok(())
}

async fn follow(client: &OperatorClient, name: &str) -> Result<()> {
    loop {
        let waves: Vec<WaveAnswer> = client.get(WAVES_PATH).await?;
        let Some(wave) = waves.iter().find(|wave| wave.name == name) else {
            println!("wave {name} does not exist");
            return Ok(());
        };
        println!("{}", progress_line(wave));
        let done = wave.progress.done == wave.progress.total;
        if done || wave.state != WaveState::Running {
            return Ok(());
        }
        actix_rt::time::sleep(PROGRESS_INTERVAL).await;
    }
}

fn progress_line(wave: &WaveAnswer) -> String {
    let progress = wave.progress;
    let mut line = format!(
        "{}: {}, {} of {} VMs done, {} under way",
        wave.name,
        if progress.done == progress.total {
            "done"
        } else {
            state_name(wave.state)
        },
        progress.done,
        progress.total,
        progress.under_way
    );
    if !wave.absent.is_empty() {
        line.push_str(&format!(" ({})", wave.absent.join(", ")));
    }
    if !wave.reason.is_empty() {
        line.push_str(&format!("; {}", wave.reason));
    }
    line
}

fn state_name(state: WaveState) -> &'static str {
    match state {
        WaveState::Running => "running",
        WaveState::Paused => "paused",
        WaveState::Cancelled => "cancelled",
    }
}
