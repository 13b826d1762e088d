//! One call's way from the node that sends it to the target that runs it.

mod dispatch;
mod running;
mod spec;

pub use dispatch::{TargetResponse, check_admission, dispatch};
pub use running::{RunningCall, RunningCalls};
pub use spec::CallSpec;
