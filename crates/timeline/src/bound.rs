//! The credit that no policy could have exceeded, beside what was earned.
//!
//! Load pattern: a service lacks capacity for many seconds. Which part of the loss the policy could have avoided follows
//! from the offered requests, the work that each needs, and the capacity. The bound ignores what makes it hard to reach:
//! queues, calls between services, messages that arrive late, and targets that fail without an entry under `outages`. A
//! request that returns after a refusal counts as offered again, which raises the bound.

mod bound_error;
mod deployment;
mod step_bound;

pub use bound_error::BoundError;
pub use deployment::{Deployment, Outage, RouteWork, ServiceCapacity};
pub use step_bound::StepBound;

use crate::Timeline;

/// Calculates the bound of each step of a timeline.
///
/// # Errors
///
/// Returns an error if no route of the timeline is in the deployment, or if a step has no solution.
pub fn bounds(timeline: &Timeline, deployment: &Deployment) -> Result<Vec<StepBound>, BoundError> {
    let is_known = |route: &String| deployment.routes.contains_key(route);
    if !timeline.steps.iter().any(|step| step.routes.keys().any(is_known)) {
        let routes: Vec<&str> = deployment.routes.keys().map(String::as_str).collect();
        return Err(BoundError::NoRoute(routes.join(", ")));
    }
    let steps = timeline.steps.iter().filter(|step| !step.routes.is_empty());
    let first_ms = steps.clone().map(|step| step.unix_ms).min().unwrap_or_default();
    let bound = |step| StepBound::new(step, deployment, (step.unix_ms - first_ms) / 1_000, timeline.step_s);
    steps.map(bound).collect()
}
