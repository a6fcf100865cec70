//! Reports: a table of results, and the histograms behind them.

use std::fmt;

use hdrhistogram::Histogram;

/// Significant decimal digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Creates an empty histogram that resizes itself.
pub fn histogram() -> Histogram<u64> {
    // The constructor fails only for more than five digits.
    Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

/// A table of two columns, name and value.
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
        for (percentile, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
            let millis = micros.value_at_quantile(quantile) as f64 / 1_000.0;
            self.row(format!("{name} {percentile} [ms]"), format!("{millis:.2}"));
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
