//! Binary of the steward: reads the settings, starts the log and runs the steward.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::Result;
use hoisthitch_steward::{
    StewardSettings,
    run_steward, //
};
use hoisthitch_telemetry::{
    flush_log,
    start_log, //
};

/// Moves VMs between pools and takes them through maintenance waves.
#[derive(Debug, FromArgs)]
#[argh(example = "hoisthitch-steward --settings /etc/hoisthitch/steward.ini")]
struct StewardArgs {
    /// settings file, in INI
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> Result<()> {
    let args: StewardArgs = argh::from_env();
    let settings = StewardSettings::load(&args.settings)?;
    start_log(&settings.name, &settings.log_level)?;
    let ended = actix::System::new().block_on(run_steward(settings));
    flush_log();
    ended
}
