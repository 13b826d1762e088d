//! Calls, from the node that sends them to the target that runs them.

mod dispatch;
mod running;
mod spec;

pub use dispatch::{TargetResponse, check_admission, dispatch};
pub use running::{RunningCall, RunningCalls};
pub use spec::CallSpec;
