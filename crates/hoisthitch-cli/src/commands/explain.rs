//! `hoisthitch explain`: rebuilds the story of a request or job from logs.

use std::{
    fs::File,
    io::{
        self,
        BufRead,
        BufReader,
        Write, //
    },
    path::Path, //
};

use argh::FromArgs;
use eyre::{
    Result,
    WrapErr, //
};

use crate::{
    commands::CommandContext,
    error::CommandError,
    render::print_json,
    story::{
        JobStory,
        LineCounts,
        StoryCollector, //
    }, //
};

/// Longest line that is parsed; the errors that nodes log are much shorter.
const LINE_LIMIT_BYTES: usize = 64 << 10;

/// File name that means standard input.
const STDIN_NAME: &str = "-";

/// show from logs what happened to a request or job, and the likeliest cause
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "hoisthitch explain 65bd3cee1af65aae --log node-1.log --log node-2.log",
    example = "cat *.log | hoisthitch explain 65bd3cee1af65aae --log -"
)]
pub struct ExplainCommand {
    /// identifier of the request or job
    #[argh(positional)]
    id: String,
    /// log of a node, or - for standard input; give the logs of all nodes
    #[argh(option)]
    log: Vec<String>,
}

impl ExplainCommand {
    /// Reads the logs and prints the story.
    pub fn run(self, context: &CommandContext) -> Result<()> {
        if self.log.is_empty() {
            let text =
                "no log is named; add --log FILE for each node, or --log - to read standard input";
            return Err(CommandError::Usage(text.to_owned()).into());
        }
        let mut collector = StoryCollector::new(&self.id);
        for log in &self.log {
            read_log(log, &mut collector).wrap_err_with(|| format!("{log}: can't be read"))?;
        }
        let story = collector
            .finish()
            .map_err(|counts| not_found(self.id, counts))?;
        if context.json {
            return print_json(&story);
        }
        Ok(print_story(&story)?)
    }
}

fn not_found(id: String, counts: LineCounts) -> CommandError {
    CommandError::NotInLogs {
        id,
        read: counts.read,
        broken: counts.broken,
    }
}

fn read_log(name: &str, collector: &mut StoryCollector) -> io::Result<()> {
    if name == STDIN_NAME {
        return read_lines(&mut io::stdin().lock(), collector);
    }
    let file = File::open(Path::new(name))?;
    read_lines(&mut BufReader::new(file), collector)
}

fn read_lines(input: &mut impl BufRead, collector: &mut StoryCollector) -> io::Result<()> {
    let mut line = Vec::new();
    while let Some(fits_limit) = read_line(input, &mut line)? {
        if !fits_limit {
            collector.skip_line();
        } else if !line.trim_ascii().is_empty() {
            collector.add_line(&String::from_utf8_lossy(&line));
        }
    }
    Ok(())
}

/// Reads one line and returns whether it fits the limit, or `None` at the end of
/// the input. A longer line is skipped: only its length is counted.
fn read_line(input: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<Option<bool>> {
    line.clear();
    let mut length = 0;
    loop {
        let chunk = match input.fill_buf() {
            Err(err) if err.kind() == io::ErrorKind::Interrupted => continue,
            chunk => chunk?,
        };
        if chunk.is_empty() {
            return Ok((length > 0).then_some(length <= LINE_LIMIT_BYTES));
        }
        let end = chunk.iter().position(|byte| *byte == b'\n');
        let part = chunk.get(..end.unwrap_or(chunk.len())).unwrap_or(chunk);
        length += part.len();
        if length <= LINE_LIMIT_BYTES {
            line.extend_from_slice(part);
        }
        let used = end.map_or(part.len(), |end| end + 1);
        input.consume(used);
        if end.is_some() {
            return Ok(Some(length <= LINE_LIMIT_BYTES));
        }
    }
}

/// Prints a story; a reader that closes the pipe early is no error.
fn print_story(story: &JobStory) -> io::Result<()> {
    match write_story(&mut io::stdout().lock(), story) {
        Err(err) if err.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        done => done,
    }
}

fn write_story(out: &mut impl Write, story: &JobStory) -> io::Result<()> {
    let nodes = story.rows.iter().map(|row| row.node.len());
    let width = nodes.max().unwrap_or(0);
    for row in &story.rows {
        let text = format!(
            "{}  {:width$}  {}  {}",
            row.time, row.node, row.happened, row.inputs
        );
        writeln!(out, "{}", text.trim_end())?;
    }
    let counts = story.counts;
    writeln!(out)?;
    writeln!(out, "What became of it: {}", story.end.became)?;
    if let Some(kind) = story.end.kind {
        writeln!(out, "Kind of failure: {}.", kind.title())?;
    }
    writeln!(out, "Likeliest cause: {}", story.end.cause)?;
    writeln!(
        out,
        "Lines read: {}, not log lines: {}, dropped for want of memory: {}.",
        counts.read, counts.broken, counts.dropped
    )
}
