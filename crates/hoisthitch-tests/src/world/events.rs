//! Prints the events of a test to standard error if `TEST_EVENTS` is set.

use hoisthitch_telemetry::log::{
    self,
    LevelFilter,
    Log,
    Metadata,
    Record, //
};
use tokio::time::Instant;

/// Prints each event after the time since the start of the test, by the runtime's clock.
struct EventPrinter {
    start: Instant,
}

impl Log for EventPrinter {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.target().starts_with("hoisthitch") {
            let ms = self.start.elapsed().as_millis();
            eprintln!("{ms} {}", record.args());
        }
    }

    fn flush(&self) {}
}

/// Prints events from now on, if `TEST_EVENTS` is set.
pub fn show_events() {
    if std::env::var_os("TEST_EVENTS").is_some() {
        let start = Instant::now();
        // Fails if an earlier test in this process has set a logger; that one is used then.
        let _ = log::set_boxed_logger(Box::new(EventPrinter { start }));
        log::set_max_level(LevelFilter::Info);
    }
}
