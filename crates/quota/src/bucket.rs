//! The token bucket that an owner holds for one tenant in one zone.

use std::collections::BTreeMap;

use fulmartrestle_core::{TimeUs, VmId};

use crate::{LoanReport, QuotaSettings, ZoneShare, loan::Loan};

const NANO_PER_TOKEN: u64 = 1_000_000_000;

/// Window over which unmet token requests are counted to compute the retry delay, in microseconds.
const UNMET_REQUESTS_WINDOW_US: u64 = 100_000;

/// Minimum retry delay sent to a borrower, in milliseconds. More frequent requests would cost more
/// than the tokens are worth.
const MIN_RETRY_AFTER_MS: u64 = 2;

/// A token bucket in which lent tokens count against the capacity until they are reported as used or
/// returned, or until their loan expires. It starts empty, so that a new owner never grants a burst
/// on top of its predecessor's.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    share: ZoneShare,
    available_nano: u64,
    refilled_at: TimeUs,
    lent: u64,
    loans: BTreeMap<(VmId, u64), Loan>,
    unmet_requests: u64,
    unmet_window_start: TimeUs,
}

impl Bucket {
    /// Maximum retry delay sent to a borrower, in milliseconds. With a longer one, borrowers would
    /// react too late to falling demand.
    pub(crate) const MAX_RETRY_AFTER_MS: u64 = 200;

    pub(crate) fn empty(share: ZoneShare, now: TimeUs) -> Self {
        Self {
            share,
            available_nano: 0,
            refilled_at: now,
            lent: 0,
            loans: BTreeMap::new(),
            unmet_requests: 0,
            unmet_window_start: now,
        }
    }

    pub(crate) fn set_share(&mut self, share: ZoneShare, settings: &QuotaSettings, now: TimeUs) {
        self.refill(settings, now);
        self.share = share;
        self.refill(settings, now);
    }

    /// Lends up to `wanted` tokens. Returns the number lent and the retry delay in milliseconds for
    /// the rest, zero when all were lent. A repeated request gets the tokens of the first response again.
    pub(crate) fn lend(
        &mut self,
        holder: VmId,
        seq: u64,
        wanted: u64,
        settings: &QuotaSettings,
        now: TimeUs,
    ) -> (u64, u64) {
        if let Some(loan) = self.loans.get(&(holder, seq)) {
            return (loan.tokens, 0);
        }
        self.refill(settings, now);
        let tokens = wanted.min(self.available_nano / NANO_PER_TOKEN);
        if tokens > 0 {
            self.available_nano -= tokens * NANO_PER_TOKEN;
            self.lent += tokens;
            let expires_at = now.plus_us(settings.with_drift_margin_us(settings.loan_duration_us()));
            self.loans.insert((holder, seq), Loan::new(tokens, expires_at));
        }
        (tokens, self.record_unmet(wanted - tokens, now))
    }

    pub(crate) fn apply_report(&mut self, holder: VmId, report: LoanReport, settings: &QuotaSettings, now: TimeUs) {
        self.refill(settings, now);
        let Some(loan) = self.loans.get_mut(&(holder, report.seq)) else { return };
        let delta = loan.apply_report(report);
        self.lent -= delta.used + delta.returned;
        self.available_nano += delta.returned * NANO_PER_TOKEN;
        if loan.outstanding() == 0 {
            self.loans.remove(&(holder, report.seq));
        }
    }

    /// Removes loans that have expired at their holders. Their outstanding tokens count as used.
    pub(crate) fn expire_loans(&mut self, settings: &QuotaSettings, now: TimeUs) {
        self.refill(settings, now);
        let lent = &mut self.lent;
        self.loans.retain(|_, loan| {
            let expired = loan.expires_at <= now;
            if expired {
                *lent -= loan.outstanding();
            }
            !expired
        });
    }

    pub(crate) fn loan_count(&self) -> usize {
        self.loans.len()
    }

    /// Adds the tokens earned since the last refill, up to the capacity less the lent tokens.
    fn refill(&mut self, settings: &QuotaSettings, now: TimeUs) {
        let elapsed_us = now.us_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let earned_nano = settings.refill_nano(self.share.rate_milli_per_s, elapsed_us);
        let room_nano = self.share.burst.saturating_sub(self.lent).saturating_mul(NANO_PER_TOKEN);
        self.available_nano = self.available_nano.saturating_add(earned_nano).min(room_nano);
    }

    /// Records a request that was short by `unmet_tokens` and returns its retry delay in milliseconds,
    /// zero when no token is missing. The delay covers one token for each unmet request of the current
    /// window.
    fn record_unmet(&mut self, unmet_tokens: u64, now: TimeUs) -> u64 {
        if now.us_since(self.unmet_window_start) > UNMET_REQUESTS_WINDOW_US {
            self.unmet_requests = 0;
            self.unmet_window_start = now;
        }
        if unmet_tokens == 0 {
            return 0;
        }
        self.unmet_requests += 1;
        let needed_nano = self.unmet_requests.saturating_mul(NANO_PER_TOKEN).saturating_sub(self.available_nano);
        let nano_per_ms = self.share.rate_milli_per_s * 1_000;
        if nano_per_ms == 0 {
            return Self::MAX_RETRY_AFTER_MS;
        }
        let wait_ms = needed_nano.div_ceil(nano_per_ms);
        wait_ms.clamp(MIN_RETRY_AFTER_MS, Self::MAX_RETRY_AFTER_MS)
    }
}
