//! Messages of the operators' API, shared by the nodes and the command-line client.
//!
//! Bodies are JSON. `docs/API.md` shows an example of each request and response.

mod confirm_answer;
mod error_answer;
mod plan_answer;
mod request_decision;
mod status_answer;
mod stop_answer;

pub use confirm_answer::ConfirmAnswer;
pub use error_answer::ErrorAnswer;
pub use plan_answer::{GrantedKeyAnswer, PlanAnswer};
pub use request_decision::RequestDecision;
pub use status_answer::{CounterAnswer, StatusAnswer, ZoneMembersAnswer};
pub use stop_answer::StopAnswer;
