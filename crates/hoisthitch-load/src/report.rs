//! Reports of a load.

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

/// Longest latency that is told apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 60_000_000;

/// Digits that latencies are kept to.
const DIGITS: u8 = 3;

/// What came of one stream of requests.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Name of the stream.
    pub name: String,
    /// Requests answered with 200.
    pub good: u64,
    /// Requests refused with 429 or 503.
    pub refused: u64,
    /// Requests with another status or no answer.
    pub failed: u64,
    /// Time until the last good answer, and no less than that of the load.
    time: Duration,
    latencies: Option<Histogram<u64>>,
    services: Option<Histogram<u64>>,
}

impl LoadReport {
    /// Starts empty.
    pub fn new(name: &str, time: Duration) -> Self {
        Self {
            name: name.to_owned(),
            good: 0,
            refused: 0,
            failed: 0,
            time,
            latencies: new_histogram(),
            services: new_histogram(),
        }
    }

    /// Adds one request.
    pub fn add(&mut self, sample: &LoadSample) {
        match sample.status {
            200 => self.good += 1,
            429 | 503 => self.refused += 1,
            _ => self.failed += 1,
        }
        if sample.status == 200 {
            record(&mut self.latencies, sample.latency);
            record(&mut self.services, sample.service);
            self.time = self.time.max(sample.ended);
        }
    }

    /// One report of several.
    pub fn merged(name: &str, time: Duration, parts: &[Self]) -> Self {
        let mut whole = Self::new(name, time);
        for part in parts {
            whole.good += part.good;
            whole.refused += part.refused;
            whole.failed += part.failed;
            whole.time = whole.time.max(part.time);
            add(&mut whole.latencies, &part.latencies);
            add(&mut whole.services, &part.services);
        }
        whole
    }

    /// Latency of good answers at a quantile, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.latencies, quantile)
    }

    /// Time from sending to the end of good answers at a quantile, in
    /// milliseconds.
    pub fn service_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.services, quantile)
    }

    /// Good answers a second.
    pub fn good_rate(&self) -> f64 {
        self.good as f64 / self.time.as_secs_f64()
    }
}

fn new_histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, LATENCY_LIMIT_US, DIGITS).ok()
}

fn record(histogram: &mut Option<Histogram<u64>>, time: Duration) {
    if let Some(histogram) = histogram {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros);
    }
}

fn add(whole: &mut Option<Histogram<u64>>, part: &Option<Histogram<u64>>) {
    if let (Some(whole), Some(part)) = (whole, part) {
        // Both have the same bounds, so that adding can't fail.
        let _ = whole.add(part);
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

/// Writes rows to a CSV file, with a head.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn write_csv<R: Serialize>(path: &Path, rows: &[R]) -> Result<()> {
    let mut writer = csv::Writer::from_path(path)?;
    for row in rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    Ok(())
}
