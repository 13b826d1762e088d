//! Exit codes of the command. Zero is success.

/// The request was understood and refused: a plan lost to another, or an invariant was violated.
pub const EXIT_FAILED: u8 = 1;

/// The arguments or a file are wrong.
pub const EXIT_USAGE: u8 = 2;

/// The node or the platform's log is out of reach; nothing is known to have changed.
pub const EXIT_UNREACHABLE: u8 = 3;
