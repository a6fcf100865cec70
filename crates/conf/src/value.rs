//! Value types that several settings share.

use std::fmt;
use std::str::FromStr;

use kernel::Millis;
use kernel::time::HOUR;
use kernel::time::MINUTE;
use kernel::time::SECOND;

/// The text does not parse. It has no details because the caller's message describes the expected
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not of the expected form")]
pub struct ParseValueError;

/// A duration in milliseconds, written with a unit such as `250ms`, `6s`, `10m` or `24h`.
///
/// # Examples
///
/// ```
/// use conf::DurationMs;
///
/// assert_eq!("6s".parse::<DurationMs>()?.0, 6_000);
/// assert!("6".parse::<DurationMs>().is_err());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationMs(pub Millis);

impl FromStr for DurationMs {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let unit = match &text[digits.len()..] {
            "ms" => 1,
            "s" => SECOND,
            "m" => MINUTE,
            "h" => HOUR,
            _ => return Err(ParseValueError),
        };
        let count: Millis = digits.trim_end().parse().map_err(|_| ParseValueError)?;
        count.checked_mul(unit).map(Self).ok_or(ParseValueError)
    }
}

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit, suffix) in [(HOUR, "h"), (MINUTE, "m"), (SECOND, "s")] {
            if self.0 > 0 && self.0.is_multiple_of(unit) {
                return write!(f, "{}{suffix}", self.0 / unit);
            }
        }
        write!(f, "{}ms", self.0)
    }
}

/// A finite, non-negative rate per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl FromStr for Rate {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        let rate: f64 = text.parse().map_err(|_| ParseValueError)?;
        if !rate.is_finite() || rate < 0.0 {
            return Err(ParseValueError);
        }
        Ok(Self(rate))
    }
}

/// A comma-separated list. Blank elements are skipped, so a blank text is an empty list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List<T>(pub Vec<T>);

impl<T: FromStr> FromStr for List<T> {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        text.split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .map(|item| item.parse().map_err(|_| ParseValueError))
            .collect::<Result<_, _>>()
            .map(Self)
    }
}
