//! One call's way from the node that sends it to the target that runs it.

mod dispatch;
mod running;
mod spec;

pub use dispatch::{Dispatched, check_door, dispatch};
pub use running::{RunningCall, RunningCalls};
pub use spec::CallSpec;
