//! Actions that the configuration state machine requests from its node.

use std::sync::Arc;

use fulmartrestle_core::{LogOffset, VmId};
use fulmartrestle_derive::local;

use super::{ConfigMessage, ConfirmOutcome, LogRequestId};
use crate::fleet::FleetConfig;
use crate::plan::PlanId;

/// One action for the node to perform.
#[local]
pub enum ConfigEffect {
    /// Read the configuration stream from an offset on and call
    /// [`on_read_result`](super::ConfigNode::on_read_result).
    ReadLog {
        /// Must be passed back with the result.
        request_id: LogRequestId,
        /// Offset of the first record to read.
        from: LogOffset,
    },
    /// Append a record to the configuration stream and call
    /// [`on_append_result`](super::ConfigNode::on_append_result).
    Append {
        /// Must be passed back with the result.
        request_id: LogRequestId,
        /// The encoded record.
        record: Vec<u8>,
    },
    /// Send a message without a guarantee of delivery.
    Send {
        /// The node to send to.
        to: VmId,
        /// The message to send.
        message: ConfigMessage,
    },
    /// Use this configuration for all new requests.
    NewConfig(Arc<FleetConfig>),
    /// Report the outcome of a plan that was confirmed at this node.
    ConfirmCompleted {
        /// The confirmed plan.
        plan: PlanId,
        /// The outcome of the confirmation.
        outcome: ConfirmOutcome,
    },
}
