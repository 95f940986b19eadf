//! Events as `key=value` pairs.

use std::fmt::{
    self,
    Display,
    Write, //
};

/// A value of an event, quoted where it needs to be.
pub struct EventValue<T>(pub T);

impl<T: Display> Display for EventValue<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut filter = PlainFilter { plain: true };
        write!(filter, "{}", self.0)?;
        if filter.plain {
            return write!(f, "{}", self.0);
        }
        let text = self.0.to_string();
        write!(f, "{text:?}")
    }
}

/// Looks at a value without writing it.
struct PlainFilter {
    plain: bool,
}

impl Write for PlainFilter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let needs_quotes = |c: char| c.is_whitespace() || c.is_control() || c == '"' || c == '=';
        self.plain &= !text.contains(needs_quotes);
        Ok(())
    }
}

/// Writes one event as a log line of `key=value` pairs.
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
