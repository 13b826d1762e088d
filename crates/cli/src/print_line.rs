//! Printing to standard output that ignores a closed pipe.

/// Prints a line to standard output and ignores errors. `println!` would panic when the reader of a pipe,
/// for example `head`, has closed it.
macro_rules! print_line {
    ($($text:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($text)*);
    }};
}

pub(crate) use print_line;
