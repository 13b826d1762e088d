//! Types shared by all crates: identifiers, units, priority classes, refusals and virtual time.
//!
//! The names `Vm`, `AvailabilityZone`, `Tenant` and `Target` are those of the project's first users;
//! `docs/GLOSSARY.md` maps them to the terms of the field. This crate does no I/O and reads no clock.

mod class;
mod id;
mod lock;
mod newtype;
mod parse_error;
mod refusal;
mod rendezvous;
mod time;
mod vm_id;

pub use class::Class;
pub use id::{
    AvailabilityZone, CallId, Fingerprint, LogEra, LogOffset, RateMilliPerS, RatePerS, Region, RouteId, Service,
    Tenant, Tokens, Version,
};
pub use lock::lock;
pub use parse_error::{MAX_TEXT_ID_BYTES, ParseError, check_text_id};
pub use refusal::{Outcome, Reason, Refusal};
pub use rendezvous::{rendezvous_owner, rendezvous_owners, rendezvous_score};
pub use time::TimeUs;
pub use vm_id::VmId;
