//! Retry budgets: retries as a share of successes, so that they stop in an overload.

use fulmartrestle_core::{Service, TimeUs};
use rustc_hash::FxHashMap;

use crate::BasisPoints;

/// One retry in the unit of the budgets, ten-thousandths.
const ONE_RETRY: u64 = BasisPoints::FULL.0 as u64;

const MS_PER_S: u64 = 1_000;

/// Settings of [`RetryBudgets`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    retry_ratio: BasisPoints,
    burst: u64,
    min_retries_per_s: u64,
    initial_share: BasisPoints,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { retry_ratio: BasisPoints(1_000), burst: 10, min_retries_per_s: 1, initial_share: BasisPoints::FULL }
    }
}

impl RetryBudgetSettings {
    /// Sets the retries that each success earns, in basis points; 1,000 by default, one tenth of a retry.
    #[must_use]
    pub fn retry_ratio(mut self, retry_ratio: BasisPoints) -> Self {
        self.retry_ratio = retry_ratio;
        self
    }

    /// Sets the maximum number of retries that a budget accumulates, 10 by default.
    #[must_use]
    pub fn burst(mut self, burst: u64) -> Self {
        self.burst = burst;
        self
    }

    /// Sets the retries per second that are granted without successes, 1 by default. Without any, calls to
    /// a service with little traffic could never be retried.
    #[must_use]
    pub fn min_retries_per_s(mut self, min_retries_per_s: u64) -> Self {
        self.min_retries_per_s = min_retries_per_s;
        self
    }

    /// Sets the share of the burst that a new budget contains, all of it by default.
    #[must_use]
    pub fn initial_share(mut self, initial_share: BasisPoints) -> Self {
        self.initial_share = initial_share;
        self
    }
}

/// Retry budgets of one node, one for each service that it calls.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    settings: RetryBudgetSettings,
    budgets: FxHashMap<Service, Budget>,
}

#[derive(Debug)]
struct Budget {
    balance_ten_thousandths: u64,
    refilled_at: TimeUs,
}

impl RetryBudgets {
    /// Returns budgets that initially contain the share of their burst that the settings name.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, budgets: FxHashMap::default() }
    }

    /// Replaces the settings; retries above the new burst are discarded.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Credits the service's budget for a success.
    pub fn record_success(&mut self, service: &Service, now: TimeUs) {
        let earned = u64::from(self.settings.retry_ratio.0);
        self.credit(service, earned, now);
    }

    /// Returns whether the budget contains a retry at present.
    pub fn may_retry(&mut self, service: &Service, now: TimeUs) -> bool {
        self.credit(service, 0, now) >= ONE_RETRY
    }

    /// Spends one retry and returns whether one was left.
    pub fn spend_one(&mut self, service: &Service, now: TimeUs) -> bool {
        let granted = self.may_retry(service, now);
        if granted && let Some(budget) = self.budgets.get_mut(service) {
            budget.balance_ten_thousandths -= ONE_RETRY;
        }
        granted
    }

    /// Adds `earned` and the retries granted over time to the budget, and returns the balance in
    /// ten-thousandths.
    fn credit(&mut self, service: &Service, earned: u64, now: TimeUs) -> u64 {
        let max_balance = self.settings.burst * ONE_RETRY;
        if !self.budgets.contains_key(service) {
            let balance_ten_thousandths = self.settings.burst * u64::from(self.settings.initial_share.0);
            self.budgets.insert(service.clone(), Budget { balance_ten_thousandths, refilled_at: now });
        }
        let Some(budget) = self.budgets.get_mut(service) else { return 0 };
        let refill = now.ms_since(budget.refilled_at) * self.settings.min_retries_per_s * ONE_RETRY / MS_PER_S;
        if refill > 0 {
            budget.refilled_at = now;
        }
        budget.balance_ten_thousandths = (budget.balance_ten_thousandths + refill + earned).min(max_balance);
        budget.balance_ten_thousandths
    }
}
