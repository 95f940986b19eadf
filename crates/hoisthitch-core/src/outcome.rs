//! Outcome of a request, as reported to the caller in a response header.

use std::fmt;

/// Name of the response header that carries the outcome.
pub const OUTCOME_HEADER: &str = "hoisthitch-outcome";

/// Whether a request ran at an upstream, as far as hoisthitch knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// An upstream answered the request.
    Ran,
    /// No byte of the request was sent to an upstream.
    NotRun,
    /// The request was sent, but no complete response head was received.
    Unknown,
}

impl RequestOutcome {
    /// Value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
