//! The log: `fern` in front of a writing thread.

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

/// Lines that may wait for the writing thread.
const QUEUE_LINES: usize = 65_536;

/// Time that the writing thread rests after writing, so that lines which come
/// meanwhile cost their senders no wake-up.
const REST: Duration = Duration::from_millis(5);

/// Longest time that the end of a process waits for its last lines.
const FLUSH_LIMIT: Duration = Duration::from_secs(1);

/// Start of the names of the project's own packages; libraries log warnings
/// and errors only.
const OWN_TARGETS: &str = "hoisthitch";

static DROPPED: AtomicU64 = AtomicU64::new(0);

static QUEUE: OnceLock<SyncSender<LogItem>> = OnceLock::new();

/// What the writing thread is given.
enum LogItem {
    /// A line to write.
    Line(String),
    /// Asks for a word once everything before it is written.
    Flush(SyncSender<()>),
}

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
    dispatch(process.to_owned(), level, sender.clone()).apply()?;
    // The log is started once, or the line above fails.
    let _ = QUEUE.set(sender);
    Ok(())
}

/// Waits until all lines are written; for the end of a process.
pub fn flush_log() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (sender, written) = sync_channel(1);
    if queue.send(LogItem::Flush(sender)).is_ok() {
        // A log whose reader hangs must not keep the process from ending.
        let _ = written.recv_timeout(FLUSH_LIMIT);
    }
}

/// Lines that were dropped because the log's reader was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn dispatch(process: String, level: LevelFilter, sender: SyncSender<LogItem>) -> Dispatch {
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
        .filter(move |meta| meta.target().starts_with(OWN_TARGETS) || meta.level() <= library_level)
        .chain(Output::call(move |record| {
            let line = record.args().to_string();
            if sender.try_send(LogItem::Line(line)).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
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
        thread::sleep(REST);
    }
}

fn write_item(out: &mut impl Write, item: LogItem) {
    match item {
        // An error of the log's reader has nowhere to be reported.
        LogItem::Line(line) => drop(writeln!(out, "{line}")),
        LogItem::Flush(written) => {
            let _ = out.flush();
            let _ = written.send(());
        }
    }
}
