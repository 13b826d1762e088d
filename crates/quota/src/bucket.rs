//! The token bucket of one tenant in one zone, as its owner keeps it.

use std::collections::BTreeMap;

use fulmartrestle_core::{TimeUs, VmId};

use crate::{LoanReport, QuotaSettings, ZoneShare, loan::Loan};

const NANO: u64 = 1_000_000_000;

/// Time over which unmet requests are added up for the retry hint, in microseconds.
const UNMET_WINDOW_US: u64 = 100_000;

/// Shortest hint when to ask again, in milliseconds; requests more often than this cost more than
/// the tokens are worth.
const RETRY_MIN_MS: u64 = 2;

/// A token bucket whose lent tokens count against its capacity until they are known to be used,
/// returned or lapsed. It starts empty, so that a new owner never adds a burst to its predecessor's.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    share: ZoneShare,
    level_nano: u64,
    filled_at: TimeUs,
    lent: u64,
    loans: BTreeMap<(VmId, u64), Loan>,
    unmet: u64,
    unmet_since: TimeUs,
}

impl Bucket {
    /// Longest hint when to ask again, in milliseconds; a longer one would hide a falling demand.
    pub(crate) const RETRY_MAX_MS: u64 = 200;

    pub(crate) fn empty(share: ZoneShare, now: TimeUs) -> Self {
        Self { share, level_nano: 0, filled_at: now, lent: 0, loans: BTreeMap::new(), unmet: 0, unmet_since: now }
    }

    pub(crate) fn set_share(&mut self, share: ZoneShare, settings: &QuotaSettings, now: TimeUs) {
        self.refill(settings, now);
        self.share = share;
        self.refill(settings, now);
    }

    /// Lends up to `want` tokens. A repeated request gets the first answer again.
    pub(crate) fn lend(
        &mut self,
        holder: VmId,
        seq: u64,
        want: u64,
        settings: &QuotaSettings,
        now: TimeUs,
    ) -> (u64, u64) {
        if let Some(loan) = self.loans.get(&(holder, seq)) {
            return (loan.tokens, 0);
        }
        self.refill(settings, now);
        let tokens = want.min(self.level_nano / NANO);
        if tokens > 0 {
            self.level_nano -= tokens * NANO;
            self.lent += tokens;
            let lapses_at = now.plus_us(settings.outlasting_us(settings.loan_us()));
            self.loans.insert((holder, seq), Loan::new(tokens, lapses_at));
        }
        (tokens, self.note_unmet(want - tokens, now))
    }

    pub(crate) fn settle(&mut self, holder: VmId, report: LoanReport, settings: &QuotaSettings, now: TimeUs) {
        self.refill(settings, now);
        let Some(loan) = self.loans.get_mut(&(holder, report.seq)) else { return };
        let settled = loan.settle(report);
        self.lent -= settled.used + settled.returned;
        self.level_nano += settled.returned * NANO;
        if loan.left() == 0 {
            self.loans.remove(&(holder, report.seq));
        }
    }

    /// Drops loans that have lapsed on their holders. Their tokens count as used.
    pub(crate) fn lapse(&mut self, settings: &QuotaSettings, now: TimeUs) {
        self.refill(settings, now);
        let lent = &mut self.lent;
        self.loans.retain(|_, loan| {
            let lapsed = loan.lapses_at <= now;
            if lapsed {
                *lent -= loan.left();
            }
            !lapsed
        });
    }

    pub(crate) fn loan_count(&self) -> usize {
        self.loans.len()
    }

    /// Adds what the rate yields, up to the room that lent tokens leave.
    fn refill(&mut self, settings: &QuotaSettings, now: TimeUs) {
        let elapsed_us = now.us_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let gain = settings.refill_nano(self.share.rate_milli_per_s, elapsed_us);
        let room = self.share.burst.saturating_sub(self.lent).saturating_mul(NANO);
        self.level_nano = self.level_nano.saturating_add(gain).min(room);
    }

    /// Returns when to ask again in milliseconds, given how many tokens other requests lacked.
    fn note_unmet(&mut self, lacking: u64, now: TimeUs) -> u64 {
        if now.us_since(self.unmet_since) > UNMET_WINDOW_US {
            self.unmet = 0;
            self.unmet_since = now;
        }
        if lacking == 0 {
            return 0;
        }
        self.unmet += 1;
        let missing_nano = self.unmet.saturating_mul(NANO).saturating_sub(self.level_nano);
        let nano_per_ms = self.share.rate_milli_per_s * 1_000;
        if nano_per_ms == 0 {
            return Self::RETRY_MAX_MS;
        }
        let wait_ms = missing_nano.div_ceil(nano_per_ms);
        wait_ms.clamp(RETRY_MIN_MS, Self::RETRY_MAX_MS)
    }
}
