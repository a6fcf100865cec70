//! Forms of values that several settings share.

use std::fmt;
use std::str::FromStr;

use kernel::Millis;
use kernel::time::HOUR;
use kernel::time::MINUTE;
use kernel::time::SECOND;

/// The text does not have the expected form. The settings reader says which form that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("not of the expected form")]
pub struct FormError;

/// A span of time such as `250ms`, `6s`, `10m` or `24h`.
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
    type Err = FormError;

    fn from_str(text: &str) -> Result<Self, FormError> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let unit = match &text[digits.len()..] {
            "ms" => 1,
            "s" => SECOND,
            "m" => MINUTE,
            "h" => HOUR,
            _ => return Err(FormError),
        };
        let count: Millis = digits.trim_end().parse().map_err(|_| FormError)?;
        count.checked_mul(unit).map(Self).ok_or(FormError)
    }
}

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit, sign) in [(HOUR, "h"), (MINUTE, "m"), (SECOND, "s")] {
            if self.0 > 0 && self.0.is_multiple_of(unit) {
                return write!(f, "{}{sign}", self.0 / unit);
            }
        }
        write!(f, "{}ms", self.0)
    }
}

/// A finite rate per second, at least 0.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl FromStr for Rate {
    type Err = FormError;

    fn from_str(text: &str) -> Result<Self, FormError> {
        let rate: f64 = text.parse().map_err(|_| FormError)?;
        if !rate.is_finite() || rate < 0.0 {
            return Err(FormError);
        }
        Ok(Self(rate))
    }
}

/// A list separated by commas; an empty text is an empty list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List<T>(pub Vec<T>);

impl<T: FromStr> FromStr for List<T> {
    type Err = FormError;

    fn from_str(text: &str) -> Result<Self, FormError> {
        text.split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
            .map(|part| part.parse().map_err(|_| FormError))
            .collect::<Result<_, _>>()
            .map(Self)
    }
}
