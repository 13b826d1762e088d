//! Decisions of a node about admission, target choice and retries, without I/O.
