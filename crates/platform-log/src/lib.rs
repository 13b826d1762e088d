//! The platform's append-only log: trait, HTTP client, in-memory stand-in and stand-in server.
