//! At-most-once claims on the platform's log.
