//! Tenant rates that hold across the whole fleet, kept by lending tokens.
//!
//! Each availability zone has a fixed share of a tenant's rate and burst. One node of the zone, the
//! owner, keeps the token bucket of that share under a lease that every member of the zone has
//! acknowledged, and lends tokens to nodes that ask. Tokens on loan still count against the bucket,
//! so the fleet never admits more than burst + rate * t in any interval of length t. The options
//! weighed and the proof are in `docs/RATES.md`.

mod bucket;
mod config;
mod decision;
mod directory;
mod lease;
mod loan;
mod member;
mod message;
mod node;
mod owner;
mod promise;
mod settings;
mod shard;
mod share;
mod share_table;
mod tenant_loans;
mod token_pool;

pub use config::{QuotaConfig, TenantRate};
pub use decision::RateDecision;
pub use member::QuotaMember;
pub use message::{ConfigState, LoanReport, OutgoingMessage, QuotaMessage};
pub use node::QuotaNode;
pub use settings::QuotaSettings;
pub use shard::{QuotaShard, SHARD_COUNT};
pub use share::ZoneShare;
pub use token_pool::{TokenDecision, TokenPool};
