//! Shares of the fleet-wide retry limit that one node may spend.
//!
//! Load pattern: a chain of calls in which every level repeats as much as its budget allows. A repeated execution
//! repeats all calls below it, so that the shares multiply along the chain.

use crate::{BasisPoints, RetryBudgetSettings};

/// Share of the retry ratio for requests that no target has run.
const RESEND_SHARE: f64 = 0.4;

/// Share of the retry ratio for calls of targets that may have run. One such retry repeats little work and saves all
/// work that the calling request has done.
const CALL_RERUN_SHARE: f64 = 0.24;

/// Share of the retry ratio for callers' requests that may have run. Each such retry repeats all calls of the request.
const REQUEST_RERUN_SHARE: f64 = 0.04;

/// Largest retry ratio of which shares are taken. Above it, the products of the shares of three levels would exceed the
/// ratio.
const MAX_RETRY_RATIO: f64 = 0.4;

/// Shares of the retry slack that all nodes together may spend at once. A repeated request repeats its calls, also
/// several to one service, so that the shares for reruns are small.
const RESEND_SLACK_SHARE: f64 = 0.3;
const CALL_RERUN_SLACK_SHARE: f64 = 0.15;
const REQUEST_RERUN_SLACK_SHARE: f64 = 0.05;

/// Settings of one node's retry budgets, by what is repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRetryBudgets {
    /// For requests and calls that no target has run.
    pub resend: RetryBudgetSettings,
    /// For calls of targets that may have run.
    pub call_rerun: RetryBudgetSettings,
    /// For callers' requests that may have run.
    pub request_rerun: RetryBudgetSettings,
}

impl FleetRetryBudgets {
    /// Divides the limits of the whole fleet among `node_count` nodes.
    pub fn for_node(retry_ratio: f64, retry_slack: f64, node_count: usize) -> Self {
        let ratio = retry_ratio.min(MAX_RETRY_RATIO);
        let slack = retry_slack / node_count.max(1) as f64;
        let settings = |ratio_share: f64, slack_share: f64| {
            // A budget that can't hold one retry could never spend any.
            let burst = slack * slack_share;
            RetryBudgetSettings::default()
                .retry_ratio(BasisPoints::from_fraction(ratio * ratio_share))
                .burst(burst.max(1.0) as u64)
                .initial_share(BasisPoints::from_fraction(burst))
                .min_retries_per_s(0)
        };
        Self {
            resend: settings(RESEND_SHARE, RESEND_SLACK_SHARE),
            call_rerun: settings(CALL_RERUN_SHARE, CALL_RERUN_SLACK_SHARE),
            request_rerun: settings(REQUEST_RERUN_SHARE, REQUEST_RERUN_SLACK_SHARE),
        }
    }
}
