//! The log: `fern` in front of a writing thread.

use std::{
    io::{
        self,
        BufWriter,
        Write, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            Receiver,
            SyncSender,
            sync_channel, //
        }, //
    },
    thread,
    time::SystemTime, //
};

use fern::{
    Dispatch,
    Output, //
};
use log::LevelFilter;
use thiserror::Error;

/// Lines that may wait for the writing thread.
const QUEUE_LINES: usize = 65_536;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Why the log could not start.
#[derive(Debug, Error)]
pub enum LogError {
    /// The level's name is not known.
    #[error("'{0}' is not a log level; use error, warn, info, debug, trace or off")]
    Level(String),
    /// The writing thread could not start.
    #[error("the log's thread could not start: {0}")]
    Thread(#[from] io::Error),
    /// The process has a log already.
    #[error("the log was started twice: {0}")]
    Twice(#[from] log::SetLoggerError),
}

/// Starts the log on standard output.
///
/// # Errors
///
/// Fails on an unknown level, without a thread, or when called twice.
pub fn start_log(process: &str, level: &str) -> Result<(), LogError> {
    let level: LevelFilter = level
        .parse()
        .map_err(|_| LogError::Level(level.to_owned()))?;
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver))?;
    dispatch(process.to_owned(), level, sender).apply()?;
    Ok(())
}

/// Lines that were dropped because the log's reader was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn dispatch(process: String, level: LevelFilter, sender: SyncSender<String>) -> Dispatch {
    let library_level = level.min(LevelFilter::Warn);
    Dispatch::new()
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let level = record.level();
            out.finish(format_args!(
                "time={time} level={level} process={process} {message}"
            ));
        })
        .level(library_level)
        .level_for("hoisthitch_core", level)
        .level_for("hoisthitch_entry", level)
        .level_for("hoisthitch_standin", level)
        .level_for("hoisthitch_steward", level)
        .level_for("hoisthitch_store", level)
        .level_for("hoisthitch_wire", level)
        .chain(Output::call(move |record| {
            let line = record.args().to_string();
            if sender.try_send(line).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }))
}

fn write_lines(receiver: &Receiver<String>) {
    let mut out = BufWriter::new(io::stdout());
    while let Ok(line) = receiver.recv() {
        // An error of the log's reader has nowhere to be reported.
        let _ = writeln!(out, "{line}");
        while let Ok(line) = receiver.try_recv() {
            let _ = writeln!(out, "{line}");
        }
        let _ = out.flush();
    }
}
