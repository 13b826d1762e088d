//! Exit codes of the command. Zero means success.

/// The request was refused, a plan did not commit, or an invariant was violated.
pub const EXIT_FAILED: u8 = 1;

/// The arguments or an input file are invalid.
pub const EXIT_USAGE: u8 = 2;

/// The node or the platform's log can't be reached. No change is known to have taken effect.
pub const EXIT_UNREACHABLE: u8 = 3;
