//! Writes to standard output.

use std::fmt;
use std::io;
use std::io::Write;

/// Writes to standard output and ignores errors: a reader such as `head` may close the pipe early,
/// which is not a failure of the program.
pub fn write(text: fmt::Arguments<'_>) {
    let _ = io::stdout().lock().write_fmt(text);
}

/// Writes a line to standard output like `println!`, but does not panic if the write fails, for
/// example because the reader closed the pipe.
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
