//! Fleet configuration, plans and their certification, keys, and node settings.
