//! Plans that wait for their confirmation on the node that made them.

use std::collections::VecDeque;

use fulmartrestle_config::plan::{Plan, PlanId};

/// Plans kept. An operator can also confirm by sending the plan's document to any node.
const MAX_PLANS: usize = 64;

/// The latest plans, oldest first.
#[derive(Debug, Default)]
pub struct PendingPlans {
    plans: VecDeque<Plan>,
}

impl PendingPlans {
    /// Keeps a plan and drops the oldest beyond the bound.
    pub fn push(&mut self, plan: Plan) {
        if self.plans.len() == MAX_PLANS {
            self.plans.pop_front();
        }
        self.plans.push_back(plan);
    }

    /// Returns a plan.
    pub fn get(&self, id: PlanId) -> Option<&Plan> {
        self.plans.iter().find(|plan| plan.id == id)
    }
}
