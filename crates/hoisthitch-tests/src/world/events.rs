//! Events of a test, on its standard error where `TEST_EVENTS` is set.

use hoisthitch_telemetry::log::{
    self,
    LevelFilter,
    Log,
    Metadata,
    Record, //
};
use tokio::time::Instant;

/// Prints events with the runtime's time.
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

/// Shows events from now on, if the environment asks for it.
pub fn show_events() {
    if std::env::var_os("TEST_EVENTS").is_some() {
        let start = Instant::now();
        // A test that ran before on this process set one.
        let _ = log::set_boxed_logger(Box::new(EventPrinter { start }));
        log::set_max_level(LevelFilter::Info);
    }
}
