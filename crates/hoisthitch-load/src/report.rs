//! Report of a load: counts by outcome and latency histograms, and CSV output of
//! the experiments.

use std::{
    fmt::{
        self,
        Display, //
    },
    path::Path,
    time::Duration, //
};

use eyre::Result;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::driver::LoadSample;

/// Longest latency that the histograms record, in microseconds; a longer one
/// counts as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of one stream of requests.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Name of the stream.
    pub name: String,
    /// Requests with status 200.
    pub good: u64,
    /// Requests refused with status 429 or 503.
    pub refused: u64,
    /// Requests with another status or without a response.
    pub failed: u64,
    /// Time until the last good response, at least the duration of the load.
    duration: Duration,
    latencies: Option<Histogram<u64>>,
    service_times: Option<Histogram<u64>>,
}

impl LoadReport {
    /// Creates an empty report.
    pub fn new(name: &str, duration: Duration) -> Self {
        Self {
            name: name.to_owned(),
            good: 0,
            refused: 0,
            failed: 0,
            duration,
            latencies: new_histogram(),
            service_times: new_histogram(),
        }
    }

    /// Records the outcome of one request.
    pub fn record_sample(&mut self, sample: &LoadSample) {
        match sample.status {
            200 => self.good += 1,
            429 | 503 => self.refused += 1,
            _ => self.failed += 1,
        }
        if sample.status == 200 {
            record(&mut self.latencies, sample.latency);
            record(&mut self.service_times, sample.service_time);
            self.duration = self.duration.max(sample.ended_after);
        }
    }

    /// Merges the reports of a stream's workers into one.
    pub fn merge(name: &str, duration: Duration, reports: &[Self]) -> Self {
        let mut merged = Self::new(name, duration);
        for report in reports {
            merged.good += report.good;
            merged.refused += report.refused;
            merged.failed += report.failed;
            merged.duration = merged.duration.max(report.duration);
            add_histogram(&mut merged.latencies, &report.latencies);
            add_histogram(&mut merged.service_times, &report.service_times);
        }
        merged
    }

    /// Quantile of the latency of good responses, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.latencies, quantile)
    }

    /// Quantile of the time from sending to the end of good responses, in
    /// milliseconds.
    pub fn service_time_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.service_times, quantile)
    }

    /// Good responses per second.
    pub fn good_rate(&self) -> f64 {
        self.good as f64 / self.duration.as_secs_f64()
    }
}

fn new_histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok()
}

fn record(histogram: &mut Option<Histogram<u64>>, time: Duration) {
    if let Some(histogram) = histogram {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros);
    }
}

fn add_histogram(total: &mut Option<Histogram<u64>>, part: &Option<Histogram<u64>>) {
    if let (Some(total), Some(part)) = (total, part) {
        // Can't fail, as both histograms have the same bounds.
        let _ = total.add(part);
    }
}

fn quantile_ms(histogram: &Option<Histogram<u64>>, quantile: f64) -> f64 {
    let micros = histogram.as_ref();
    let micros = micros.map_or(0, |histogram| histogram.value_at_quantile(quantile));
    micros as f64 / 1_000.0
}

impl Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<24} good {:>7} ({:>8.1}/s) refused {:>6} failed {:>4}  p50 {:>8.3} ms  p99 {:>8.3} ms  p99.9 {:>8.3} ms",
            self.name,
            self.good,
            self.good_rate(),
            self.refused,
            self.failed,
            self.quantile_ms(0.5),
            self.quantile_ms(0.99),
            self.quantile_ms(0.999),
        )
    }
}

/// Writes rows to a CSV file with a header line.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn write_csv<R: Serialize>(path: &Path, rows: &[R]) -> Result<()> {
    let mut writer = csv::Writer::from_path(path)?;
    for row in rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    Ok(())
}
