//! Plans that wait for confirmation on the node that created them.

use std::collections::VecDeque;

use fulmartrestle_config::plan::{Plan, PlanId};

/// Maximum number of plans kept. A dropped plan can still be confirmed by sending its document to any node.
const MAX_PENDING_PLANS: usize = 64;

/// The most recently created plans, oldest first.
#[derive(Debug, Default)]
pub struct PendingPlans {
    plans: VecDeque<Plan>,
}

impl PendingPlans {
    /// Adds a plan and removes the oldest one when the limit is reached.
    pub fn push(&mut self, plan: Plan) {
        if self.plans.len() == MAX_PENDING_PLANS {
            self.plans.pop_front();
        }
        self.plans.push_back(plan);
    }

    /// Returns the plan with an id, or `None` if it was not created by this node or has been removed.
    pub fn get(&self, id: PlanId) -> Option<&Plan> {
        self.plans.iter().find(|plan| plan.id == id)
    }
}
