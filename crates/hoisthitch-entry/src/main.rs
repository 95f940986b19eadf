//! Binary of the entry: reads the settings, starts the log and runs the entry.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::Result;
use hoisthitch_entry::{
    EntrySettings,
    run_entry, //
};
use hoisthitch_telemetry::{
    flush_log,
    start_log, //
};

/// Takes callers' requests and routes them to runners of their pools.
#[derive(Debug, FromArgs)]
#[argh(
    example = "hoisthitch-entry --settings /etc/hoisthitch/entry.ini",
    note = "'hoisthitch check entry.ini' checks the settings without starting."
)]
struct EntryArgs {
    /// settings file, in INI
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> Result<()> {
    let args: EntryArgs = argh::from_env();
    let settings = EntrySettings::load(&args.settings)?;
    start_log(&settings.name, &settings.log_level)?;
    let ended = actix::System::new().block_on(run_entry(settings));
    flush_log();
    ended
}
