//! Printing that survives a reader that has gone away.

/// Prints a line on standard output. `println!` would panic when the reader, for example `head`, has
/// closed its end; what it doesn't read is not missed.
macro_rules! print_line {
    ($($text:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($text)*);
    }};
}

pub(crate) use print_line;
