//! Tenant rates that hold across the whole fleet, kept by lending tokens.
