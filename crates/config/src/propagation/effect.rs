//! What a node should do for this part.

use std::sync::Arc;

use fulmartrestle_core::{LogOffset, VmId};
use fulmartrestle_derive::local;

use super::{ConfigMessage, ConfirmOutcome, LogRequestId};
use crate::fleet::FleetConfig;
use crate::plan::PlanId;

/// One thing to do.
#[local]
pub enum ConfigEffect {
    /// Read the configuration's stream from an offset on and call
    /// [`on_read_result`](super::ConfigNode::on_read_result).
    ReadLog {
        /// To be handed back with the result.
        request_id: LogRequestId,
        /// The first wanted record.
        from: LogOffset,
    },
    /// Append a record to the configuration's stream and call
    /// [`on_append_result`](super::ConfigNode::on_append_result).
    Append {
        /// To be handed back with the result.
        request_id: LogRequestId,
        /// The record.
        record: Vec<u8>,
    },
    /// Send a message; it may get lost.
    Send {
        /// The receiver.
        to: VmId,
        /// The message.
        message: ConfigMessage,
    },
    /// This configuration is in force on the node from now on.
    NewConfig(Arc<FleetConfig>),
    /// A plan that was confirmed at this node is settled.
    ConfirmCompleted {
        /// The plan.
        plan: PlanId,
        /// What became of it.
        outcome: ConfirmOutcome,
    },
}
