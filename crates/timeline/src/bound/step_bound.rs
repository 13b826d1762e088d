//! The most credit that any policy could have earned in one step of time.

use std::collections::BTreeMap;

use fulmartrestle_derive::record;
use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};

use super::{BoundError, Deployment, RouteWork};
use crate::{Losses, TimeStep};

const MS_PER_S: f64 = 1e3;

/// Reasons for which a request is refused on its caller's account. It could not be served by any policy.
const CALLER_REASONS: [&str; 3] = ["over_rate", "unauthorized", "no_route"];

/// Share of a more urgent priority's credit that may be given up to rounding.
const ROUNDING: f64 = 1e-6;

/// Credit that was earned in one step, and the most that could have been.
#[record]
pub struct StepBound {
    /// Start of the step, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Credit that was earned.
    pub earned: f64,
    /// Credit of all requests that ended in the step, had each been answered in time.
    pub offered: f64,
    /// The most credit that any policy can earn that serves the most urgent requests first.
    pub bound: f64,
    /// Service that is full at the bound and keeps the most credit from being earned, if any.
    pub binding: Option<String>,
}

/// A route in one step: its work and the requests that a policy could have served.
struct OfferedRoute<'a> {
    work: &'a RouteWork,
    requests: f64,
}

impl StepBound {
    /// Calculates the bound of a step of `step_s` seconds that begins `at_s` after the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if the linear program has no solution, which rounding may cause.
    pub fn new(step: &TimeStep, deployment: &Deployment, at_s: u64, step_s: u64) -> Result<Self, BoundError> {
        let known = step.routes.iter().filter_map(|(route, losses)| Some((deployment.routes.get(route)?, losses)));
        let earned = known.clone().map(|(work, losses)| credit_earned(work, losses)).sum();
        let routes: Vec<OfferedRoute<'_>> =
            known.map(|(work, losses)| OfferedRoute { work, requests: servable(losses) as f64 }).collect();
        let capacity_s: BTreeMap<&str, f64> = deployment
            .services
            .keys()
            .map(|service| {
                let seconds = (at_s..at_s + step_s).map(|second| deployment.capacity_s(service, second));
                (service.as_str(), seconds.sum())
            })
            .collect();
        let served = most_served(&routes, &capacity_s)?;
        let credit = |served: &[f64]| routes.iter().zip(served).map(|(route, served)| route.work.credit * served).sum();
        Ok(Self {
            unix_ms: step.unix_ms,
            earned,
            offered: credit(&routes.iter().map(|route| route.requests).collect::<Vec<_>>()),
            bound: credit(&served),
            binding: binding_service(&routes, &served, &capacity_s),
        })
    }
}

fn credit_earned(work: &RouteWork, losses: &Losses) -> f64 {
    losses.in_time as f64 * work.credit + losses.late as f64 * work.late_credit
}

fn servable(losses: &Losses) -> u64 {
    let refused: u64 = CALLER_REASONS.iter().filter_map(|reason| losses.unserved.get(*reason)).sum();
    losses.requests.saturating_sub(refused)
}

/// Returns how many requests of each route are served at most: first as much credit as possible at the most urgent
/// priority, then at the next one.
fn most_served(routes: &[OfferedRoute<'_>], capacity_s: &BTreeMap<&str, f64>) -> Result<Vec<f64>, BoundError> {
    let mut priorities: Vec<u8> = routes.iter().map(|route| route.work.priority).collect();
    priorities.sort_unstable();
    priorities.dedup();
    let mut served = vec![0.0; routes.len()];
    let mut kept_credit: Vec<(u8, f64)> = Vec::new();
    for priority in priorities {
        let mut problem = Problem::new(OptimizationDirection::Maximize);
        let variables: Vec<Variable> = routes
            .iter()
            .map(|route| {
                let credit = if route.work.priority == priority { route.work.credit } else { 0.0 };
                let requests = if route.work.priority <= priority { route.requests } else { 0.0 };
                problem.add_var(credit, (0.0, requests))
            })
            .collect();
        for (service, capacity_s) in capacity_s {
            let work = |(route, variable): (&OfferedRoute<'_>, &Variable)| {
                (*variable, route.work.work_ms.get(*service).copied().unwrap_or_default() / MS_PER_S)
            };
            let terms: Vec<_> = routes.iter().zip(&variables).map(work).collect();
            problem.add_constraint(&terms, ComparisonOp::Le, *capacity_s);
        }
        for (urgent, credit) in &kept_credit {
            let of_urgent = routes.iter().zip(&variables).filter(|(route, _)| route.work.priority == *urgent);
            let terms: Vec<_> = of_urgent.map(|(route, variable)| (*variable, route.work.credit)).collect();
            problem.add_constraint(&terms, ComparisonOp::Ge, credit * (1.0 - ROUNDING));
        }
        let solved = problem.solve().map_err(|error| BoundError::Unsolved(error.to_string()))?;
        let solution = solved.into_solution().map_err(|_| BoundError::Unsolved("interrupted".to_owned()))?;
        for (served, variable) in served.iter_mut().zip(&variables) {
            *served = solution.var_value(*variable);
        }
        kept_credit.push((priority, solution.objective()));
    }
    Ok(served)
}

/// Returns the full service whose work the unserved requests with the most credit need.
fn binding_service(routes: &[OfferedRoute<'_>], served: &[f64], capacity_s: &BTreeMap<&str, f64>) -> Option<String> {
    let work_s = |route: &OfferedRoute<'_>, service: &str| {
        route.work.work_ms.get(service).copied().unwrap_or_default() / MS_PER_S
    };
    let is_full = |service: &str, capacity_s: f64| {
        let used: f64 = routes.iter().zip(served).map(|(route, served)| work_s(route, service) * served).sum();
        used >= capacity_s * (1.0 - 1e-3)
    };
    let lost_credit = |service: &str| -> f64 {
        let needing = routes.iter().zip(served).filter(|(route, _)| work_s(route, service) > 0.0);
        needing.map(|(route, served)| (route.requests - served).max(0.0) * route.work.credit).sum()
    };
    let full = capacity_s.iter().filter(|(service, capacity_s)| is_full(service, **capacity_s));
    let lost = full.map(|(service, _)| (*service, lost_credit(service))).filter(|(_, lost)| *lost > 0.5);
    lost.max_by(|(_, left), (_, right)| left.total_cmp(right)).map(|(service, _)| service.to_owned())
}
