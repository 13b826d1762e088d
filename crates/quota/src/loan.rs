//! The lender's record of one loan.

use fulmartrestle_core::TimeUs;

use crate::LoanReport;

/// Tokens lent to one node, with the totals that the node has reported so far.
#[derive(Clone, Debug)]
pub(crate) struct Loan {
    pub(crate) tokens: u64,
    pub(crate) expires_at: TimeUs,
    used: u64,
    returned: u64,
}

/// Increase of a loan's totals by one report.
pub(crate) struct ReportDelta {
    pub(crate) used: u64,
    pub(crate) returned: u64,
}

impl Loan {
    pub(crate) fn new(tokens: u64, expires_at: TimeUs) -> Self {
        Self { tokens, expires_at, used: 0, returned: 0 }
    }

    /// Returns the tokens not yet reported as used or returned. The holder may still use them.
    pub(crate) fn outstanding(&self) -> u64 {
        self.tokens - self.used - self.returned
    }

    /// Applies a report and returns what it added. Stale and duplicate reports add nothing.
    pub(crate) fn apply_report(&mut self, report: LoanReport) -> ReportDelta {
        let used = report.used.saturating_sub(self.used).min(self.outstanding());
        self.used += used;
        let returned = report.returned.saturating_sub(self.returned).min(self.outstanding());
        self.returned += returned;
        ReportDelta { used, returned }
    }
}
