//! Parser of a log line: `time=... level=... process=... event=NAME key=value ...`.

use std::time::UNIX_EPOCH;

use humantime::parse_rfc3339;

/// Start of a line's first field.
const TIME_FIELD: &str = "time=";

/// A parsed log line.
#[derive(Clone, Debug)]
pub struct LogLine<'a> {
    /// Time since the epoch, in milliseconds.
    pub time_ms: u64,
    /// Process that logged it.
    pub process: String,
    /// Name of the event.
    pub event: String,
    /// The fields after the event's name, as logged.
    pub raw_fields: &'a str,
    fields: Vec<LogField<'a>>,
}

/// A field of a log line.
#[derive(Clone, Debug)]
struct LogField<'a> {
    key: &'a str,
    value: String,
}

impl<'a> LogLine<'a> {
    /// Parses a line; words before the time are skipped. Returns `None` unless
    /// the line is complete.
    pub fn parse(text: &'a str) -> Option<Self> {
        let mut rest = skip_to_time(text.trim_end())?;
        let time = parse_field(&mut rest)?;
        let mut process = None;
        let event = loop {
            let field = parse_field(&mut rest)?;
            match field.key {
                "process" => process = Some(field.value),
                "event" => break field.value,
                _ => {}
            }
        };
        let raw_fields = rest.trim_start();
        let mut fields = Vec::new();
        while !rest.trim_start().is_empty() {
            fields.push(parse_field(&mut rest)?);
        }
        Some(Self {
            time_ms: parse_time(&time.value)?,
            process: process?,
            event,
            raw_fields,
            fields,
        })
    }

    /// Value of a field.
    pub fn text(&self, key: &str) -> Option<&str> {
        let field = self.fields.iter().find(|field| field.key == key)?;
        Some(&field.value)
    }

    /// Value of a field, owned.
    pub fn owned(&self, key: &str) -> Option<String> {
        self.text(key).map(str::to_owned)
    }

    /// Value of a numeric field.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.text(key)?.parse().ok()
    }
}

fn skip_to_time(text: &str) -> Option<&str> {
    let mut starts = text.match_indices(TIME_FIELD);
    let (start, _) = starts.find(|(start, _)| {
        let before = text.get(..*start).unwrap_or_default();
        before.is_empty() || before.ends_with(char::is_whitespace)
    })?;
    text.get(start..)
}

fn parse_time(text: &str) -> Option<u64> {
    let time = parse_rfc3339(text).ok()?;
    let age = time.duration_since(UNIX_EPOCH).ok()?;
    u64::try_from(age.as_millis()).ok()
}

fn parse_field<'a>(rest: &mut &'a str) -> Option<LogField<'a>> {
    let (key, after) = rest.trim_start().split_once('=')?;
    if key.is_empty() || key.contains(char::is_whitespace) {
        return None;
    }
    let (value, after) = match after.strip_prefix('"') {
        Some(quoted) => parse_quoted(quoted)?,
        None => parse_plain(after),
    };
    *rest = after;
    Some(LogField { key, value })
}

fn parse_plain(text: &str) -> (String, &str) {
    let (value, after) = text
        .split_once(char::is_whitespace)
        .unwrap_or((text, Default::default()));
    (value.to_owned(), after)
}

/// Parses a quoted value, starting after its opening quote; a backslash is
/// dropped and the character after it is kept as it is.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return Some((value, text.get(at + 1..)?)),
            '\\' => value.push(chars.next()?.1),
            _ => value.push(c),
        }
    }
    None
}
