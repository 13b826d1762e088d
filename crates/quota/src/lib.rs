//! Fleet-wide rate limits per tenant, enforced by lending tokens.
//!
//! Each availability zone has a fixed share of a tenant's rate and burst. One node of the zone, the
//! owner, holds the token bucket of that share under a lease that every member of the zone has
//! acknowledged, and lends tokens to nodes that request them. Tokens on loan still count against the
//! bucket's capacity, so the fleet never admits more than burst + rate * t requests in any interval of
//! length t. [`QuotaNode`] implements this scheme for the `node` crate. [`TokenPool`], which the `mesh`
//! crate uses, is a separate one in which each node leases its part of the rate to an issuer, so that no
//! two nodes have to agree on anything.
//! `docs/RATES.md` compares the alternatives and contains the proof.

mod bucket;
mod config;
mod decision;
mod directory;
mod issuing_right;
mod lease;
mod leased_rights;
mod loan;
mod member;
mod message;
mod node;
mod promise;
mod settings;
mod shard;
mod shard_owner;
mod shard_set;
mod share;
mod share_table;
mod tenant_loans;
mod token_bucket;
mod token_pool;
mod token_shard;

pub use config::{QuotaConfig, TenantRate};
pub use decision::RateDecision;
pub use issuing_right::{IssuerCandidate, IssuerTable, IssuingRight};
pub use member::QuotaMember;
pub use message::{ConfigState, LoanReport, OutgoingMessage, QuotaMessage};
pub use node::QuotaNode;
pub use settings::QuotaSettings;
pub use shard::{QuotaShard, SHARD_COUNT};
pub use shard_set::ShardSet;
pub use share::ZoneShare;
pub use token_pool::{TenantLimit, TokenDecision, TokenNeed, TokenPool};
pub use token_shard::{TOKEN_SHARD_COUNT, TokenShard};
