//! Calls that would have to change their zone for all callers together to wait least.

use super::zone_load::ZoneLoad;

/// Share of the slots up to which a zone takes calls of other zones. The rest is left to its own callers.
pub const MAX_RECEIVER_OCCUPANCY: f64 = 0.85;

/// Share of the time of a call that a move must save beyond its cost. Differences below it come and go.
const MIN_SAVED_SHARE: f64 = 0.2;

/// Largest share of the calls of a zone that leaves it in one step, and of the free slots of a zone that are taken.
const SENDER_STEP: f64 = 0.125;
const RECEIVER_STEP: f64 = 0.25;

/// Steps of one plan, enough for the time in five zones to become even.
const MAX_STEPS: usize = 24;

/// Smallest step, in calls.
const MIN_STEP_CALLS: f64 = 0.05;

/// Returns the calls that should leave the zone at `own` for each zone. All zones are planned for together, so that two
/// of them do not take the same free slots. `cost_us` is what it costs to send a call to another zone.
pub fn plan_moves(loads: &[ZoneLoad], own: usize, cost_us: f64) -> Vec<f64> {
    let mut planned = loads.to_vec();
    let mut moved_calls = vec![0.0; loads.len()];
    let mut marginals_us: Vec<f64> = planned.iter().map(ZoneLoad::marginal_us).collect();
    for _ in 0..MAX_STEPS {
        let free_slots = |load: &ZoneLoad| load.slots * MAX_RECEIVER_OCCUPANCY - load.calls;
        let by_marginal = |left: &usize, right: &usize| marginals_us[*left].total_cmp(&marginals_us[*right]);
        let has_targets = |index: &usize| planned[*index].slots > 0.0;
        let has_room = |index: &usize| free_slots(&planned[*index]) * RECEIVER_STEP >= MIN_STEP_CALLS;
        let Some(from) = (0..planned.len()).filter(has_targets).max_by(by_marginal) else { break };
        let Some(to) = (0..planned.len()).filter(has_room).min_by(by_marginal) else { break };
        let saved_us = marginals_us[from] - marginals_us[to] - cost_us;
        let step = (planned[from].calls * SENDER_STEP).min(free_slots(&planned[to]) * RECEIVER_STEP);
        if saved_us <= marginals_us[from] * MIN_SAVED_SHARE || step < MIN_STEP_CALLS {
            break;
        }
        planned[from].calls -= step;
        planned[to].calls += step;
        marginals_us[from] = planned[from].marginal_us();
        marginals_us[to] = planned[to].marginal_us();
        if from == own {
            moved_calls[to] += step;
        }
    }
    moved_calls
}
