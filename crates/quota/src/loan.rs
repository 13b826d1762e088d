//! One loan as the lender keeps it.

use fulmartrestle_core::TimeUs;

use crate::LoanReport;

/// Tokens on loan to one node.
#[derive(Clone, Debug)]
pub(crate) struct Loan {
    pub(crate) tokens: u64,
    pub(crate) lapses_at: TimeUs,
    used: u64,
    returned: u64,
}

/// What a report added to the totals known before.
pub(crate) struct Settled {
    pub(crate) used: u64,
    pub(crate) returned: u64,
}

impl Loan {
    pub(crate) fn new(tokens: u64, lapses_at: TimeUs) -> Self {
        Self { tokens, lapses_at, used: 0, returned: 0 }
    }

    /// Returns the tokens that the holder may still use as far as the lender knows.
    pub(crate) fn left(&self) -> u64 {
        self.tokens - self.used - self.returned
    }

    /// Takes in a report; older and doubled ones add nothing.
    pub(crate) fn settle(&mut self, report: LoanReport) -> Settled {
        let used = report.used.saturating_sub(self.used).min(self.left());
        self.used += used;
        let returned = report.returned.saturating_sub(self.returned).min(self.left());
        self.returned += returned;
        Settled { used, returned }
    }
}
