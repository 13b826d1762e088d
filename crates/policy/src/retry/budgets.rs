//! Retries as a share of successes, so that they die out in an overload.

use std::collections::HashMap;

use fulmartrestle_core::{Service, TimeUs};

use crate::BasisPoints;

/// A retry in the unit of the budgets, ten-thousandths.
const ONE_RETRY: u64 = BasisPoints::FULL.0 as u64;

const MS_PER_S: u64 = 1_000;

/// Settings of [`RetryBudgets`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    retry_ratio: BasisPoints,
    burst: u64,
    min_retries_per_s: u64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self { retry_ratio: BasisPoints(1_000), burst: 10, min_retries_per_s: 1 }
    }
}

impl RetryBudgetSettings {
    /// Sets how many retries each success earns, in basis points; 1,000 by default, a
    /// tenth.
    #[must_use]
    pub fn retry_ratio(mut self, retry_ratio: BasisPoints) -> Self {
        self.retry_ratio = retry_ratio;
        self
    }

    /// Sets the most retries that are saved up, 10 by default.
    #[must_use]
    pub fn burst(mut self, burst: u64) -> Self {
        self.burst = burst;
        self
    }

    /// Sets the retries per second that need no success, 1 by default. Without any, a service with
    /// little traffic could never be retried.
    #[must_use]
    pub fn min_retries_per_s(mut self, min_retries_per_s: u64) -> Self {
        self.min_retries_per_s = min_retries_per_s;
        self
    }
}

/// The retry budgets of one node, one for each service that it calls.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    settings: RetryBudgetSettings,
    rows: HashMap<Service, Budget>,
}

#[derive(Debug)]
struct Budget {
    ten_thousandths: u64,
    refilled: TimeUs,
}

impl RetryBudgets {
    /// Returns budgets that start full.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, rows: HashMap::new() }
    }

    /// Replaces the settings; what was saved up beyond the new burst is lost.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Earns a part of a retry.
    pub fn record_success(&mut self, service: &Service, now: TimeUs) {
        let earned = u64::from(self.settings.retry_ratio.0);
        self.add(service, earned, now);
    }

    /// Returns whether the budget holds a retry at present.
    pub fn may_retry(&mut self, service: &Service, now: TimeUs) -> bool {
        self.add(service, 0, now) >= ONE_RETRY
    }

    /// Spends one retry and returns whether there was one.
    pub fn spend_one(&mut self, service: &Service, now: TimeUs) -> bool {
        let granted = self.may_retry(service, now);
        if granted && let Some(row) = self.rows.get_mut(service) {
            row.ten_thousandths -= ONE_RETRY;
        }
        granted
    }

    /// Adds what was earned and what time brought, and returns the sum.
    fn add(&mut self, service: &Service, earned: u64, now: TimeUs) -> u64 {
        let most = self.settings.burst * ONE_RETRY;
        if !self.rows.contains_key(service) {
            self.rows.insert(service.clone(), Budget { ten_thousandths: most, refilled: now });
        }
        let Some(row) = self.rows.get_mut(service) else { return 0 };
        let trickled = now.ms_since(row.refilled) * self.settings.min_retries_per_s * ONE_RETRY / MS_PER_S;
        if trickled > 0 {
            row.refilled = now;
        }
        row.ten_thousandths = (row.ten_thousandths + trickled + earned).min(most);
        row.ten_thousandths
    }
}
