//! Formatting of events as `key=value` pairs.

use std::fmt::{
    self,
    Display,
    Write, //
};

/// A value of an event. It is quoted and escaped if it contains white space,
/// control characters, `"` or `=`.
pub struct EventValue<T>(pub T);

impl<T: Display> Display for EventValue<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut check = QuoteCheck { plain: true };
        write!(check, "{}", self.0)?;
        if check.plain {
            return write!(f, "{}", self.0);
        }
        let text = self.0.to_string();
        write!(f, "{text:?}")
    }
}

/// Checks whether a formatted value can stay unquoted; writes nothing.
struct QuoteCheck {
    plain: bool,
}

impl Write for QuoteCheck {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let needs_quotes = |c: char| c.is_whitespace() || c.is_control() || c == '"' || c == '=';
        self.plain &= !text.contains(needs_quotes);
        Ok(())
    }
}

/// Logs one event as a line of `key=value` pairs.
///
/// ```
/// hoisthitch_telemetry::event!(Info, "route", pool = "quotes", runner = "vm-3");
/// ```
#[macro_export]
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        $crate::log::log!(
            $crate::log::Level::$level,
            concat!("event=", $name $(, " ", stringify!($key), "={}")*),
            $($crate::EventValue(&$value)),*
        )
    };
}
