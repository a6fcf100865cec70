//! Reports.

use std::fmt;

use hdrhistogram::Histogram;

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// Makes an empty histogram; it grows as needed.
pub fn histogram() -> Histogram<u64> {
    // Only more than five digits are refused.
    Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

/// A table of two columns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<(String, String)>,
}

impl Table {
    /// Adds a row.
    pub fn row(&mut self, name: impl Into<String>, value: impl fmt::Display) {
        self.rows.push((name.into(), value.to_string()));
    }

    /// Adds the percentiles of a histogram of microseconds, in milliseconds.
    pub fn latency(&mut self, name: &str, micros: &Histogram<u64>) {
        for (part, at) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
            let millis = micros.value_at_quantile(at) as f64 / 1_000.0;
            self.row(format!("{name} {part} [ms]"), format!("{millis:.2}"));
        }
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = self.rows.iter().map(|(name, _)| name.len()).max();
        let width = width.unwrap_or(0);
        for (name, value) in &self.rows {
            writeln!(f, "{name:width$}  {value}")?;
        }
        Ok(())
    }
}
