//! The log: `fern` formats the lines, a thread writes them to standard output.
//!
//! Logging never blocks the caller: a line that finds the thread's queue full is
//! dropped and counted.

use std::{
    io::{
        self,
        BufWriter,
        Write, //
    },
    sync::{
        OnceLock,
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
    time::{
        Duration,
        SystemTime, //
    }, //
};

use fern::{
    Dispatch,
    Output, //
};
use log::LevelFilter;
use thiserror::Error;

/// Capacity of the writing thread's queue, in lines.
const QUEUE_LINES: usize = 65_536;

/// Pause of the writing thread after each batch, so that senders of lines during
/// the pause need not wake it.
const WRITE_PAUSE: Duration = Duration::from_millis(5);

/// Longest time that a process waits at its end for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Prefix of the log targets of the project's own packages; of other targets
/// only warnings and errors are logged.
const OWN_TARGET_PREFIX: &str = "hoisthitch";

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

static QUEUE: OnceLock<SyncSender<LogItem>> = OnceLock::new();

/// An item in the queue of the writing thread.
enum LogItem {
    /// A line to write.
    Line(String),
    /// Requests a notification once everything before it is written.
    Flush(SyncSender<()>),
}

/// Why the log could not start.
#[derive(Debug, Error)]
pub enum LogError {
    /// The name of the level is unknown.
    #[error("'{0}' is not a log level; use error, warn, info, debug, trace or off")]
    Level(String),
    /// The writing thread could not start.
    #[error("the log's thread could not start: {0}")]
    Thread(#[from] io::Error),
    /// The process has a log already.
    #[error("the log was started twice: {0}")]
    AlreadyStarted(#[from] log::SetLoggerError),
}

/// Starts the log on standard output.
///
/// # Errors
///
/// Fails if the level is unknown, the thread can't be started, or the log was
/// started before.
pub fn start_log(process: &str, level: &str) -> Result<(), LogError> {
    let level: LevelFilter = level
        .parse()
        .map_err(|_| LogError::Level(level.to_owned()))?;
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&receiver))?;
    build_dispatch(process.to_owned(), level, sender.clone()).apply()?;
    // Can't be set already: the line above fails on a second start.
    let _ = QUEUE.set(sender);
    Ok(())
}

/// Waits until all lines are written; to be called at the end of a process.
pub fn flush_log() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (sender, written) = sync_channel(1);
    if queue.send(LogItem::Flush(sender)).is_ok() {
        // A blocked reader of the log must not keep the process from exiting.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Number of lines dropped because the log's reader was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

fn build_dispatch(process: String, level: LevelFilter, sender: SyncSender<LogItem>) -> Dispatch {
    let library_level = level.min(LevelFilter::Warn);
    Dispatch::new()
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let level = record.level();
            out.finish(format_args!(
                "time={time} level={level} process={process} {message}"
            ));
        })
        .level(level)
        .filter(move |meta| {
            meta.target().starts_with(OWN_TARGET_PREFIX) || meta.level() <= library_level
        })
        .chain(Output::call(move |record| {
            let line = record.args().to_string();
            if sender.try_send(LogItem::Line(line)).is_err() {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }))
}

fn write_lines(receiver: &Receiver<LogItem>) {
    let mut out = BufWriter::new(io::stdout());
    while let Ok(item) = receiver.recv() {
        write_item(&mut out, item);
        while let Ok(item) = receiver.try_recv() {
            write_item(&mut out, item);
        }
        let _ = out.flush();
        thread::sleep(WRITE_PAUSE);
    }
}

fn write_item(out: &mut impl Write, item: LogItem) {
    match item {
        // There is nowhere to report an error of the log's own output.
        LogItem::Line(line) => drop(writeln!(out, "{line}")),
        LogItem::Flush(written) => {
            let _ = out.flush();
            let _ = written.send(());
        }
    }
}
