//! At-most-once execution of calls through claims on the platform's log.
//!
//! Before a call on an at-most-once route runs, the node that received it, its entry node, claims the
//! call's idempotency key. A claim is a record on one of a few log streams. The first claim of a key in
//! log order wins and holds the key until its claimant releases it, which happens only when the call
//! certainly has not run. One node per zone and stream, the batcher, appends and reads on behalf of the
//! others. Safety does not depend on the batcher's state. `docs/CLAIMS.md` compares the alternatives.

mod batcher;
mod claim_id;
mod claim_key;
mod coverage;
mod directory;
mod effect;
mod entry_claim;
mod in_flight_calls;
mod key_state;
mod log_result;
mod member;
mod message;
mod node;
mod record;
mod response_cache;
mod settings;
mod stream;
mod stream_reader;

pub use claim_id::ClaimId;
pub use claim_key::ClaimKey;
pub use effect::{ClaimDecision, ClaimEffect, LogRequestId, NotRunReason};
pub use in_flight_calls::{InFlightCalls, JoinOutcome, WaiterId};
pub use log_result::{AppendResult, ReadPage, ReadResult};
pub use member::ClaimMember;
pub use message::{BatcherResponse, ClaimMessage};
pub use node::ClaimNode;
pub use record::{ClaimBatch, ClaimRecord};
pub use response_cache::{BufferedResponse, ResponseCache, ResponseCacheSettings, ResponseHeader};
pub use settings::ClaimSettings;
pub use stream::{ClaimStream, STREAM_COUNT};
