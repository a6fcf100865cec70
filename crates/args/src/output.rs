//! Writing to standard output.

use std::fmt;
use std::io;
use std::io::Write;

/// Writes to standard output. Whoever reads may stop before the end, as `head` does; then nobody
/// misses the rest, and it is no failure of ours.
pub fn write(text: fmt::Arguments<'_>) {
    let _ = io::stdout().lock().write_fmt(text);
}

/// Writes a line to standard output, like `println!`, and stays calm when nobody reads it.
///
/// # Examples
///
/// ```
/// args::print_line!("revision {}", 7);
/// ```
#[macro_export]
macro_rules! print_line {
    ($($arg:tt)*) => {
        $crate::output::write(format_args!("{}\n", format_args!($($arg)*)))
    };
}
