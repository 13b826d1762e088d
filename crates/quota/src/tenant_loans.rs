//! The tokens of one tenant that a node holds on loan, and the owners that it borrows from.

use fulmartrestle_core::{TimeUs, VmId};

use crate::{LoanReport, QuotaSettings, TenantRate};

const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;

/// Timeout of a token request, in microseconds. Nodes are about a millisecond apart.
const REQUEST_TIMEOUT_US: u64 = 20_000;

/// Bounds of the exponential backoff from an owner that does not respond, in microseconds.
const MIN_BACKOFF_US: u64 = 50_000;
const MAX_BACKOFF_US: u64 = 1_600_000;

/// Bounds of the time for which tokens are requested in advance, in microseconds. A shorter time costs
/// more messages, a longer one leaves tokens idle on nodes that do not need them.
const MIN_PREFETCH_US: u64 = 10_000;
const MAX_PREFETCH_US: u64 = 100_000;

/// Divisor of a bucket's fill time that gives the prefetch time, so that one node's loans leave most of
/// the bucket to other nodes.
const PREFETCHES_PER_FILL: u64 = 8;

/// Reciprocal of the weight that the newest sample has in the moving average of demand.
const DEMAND_SMOOTHING_DIVISOR: u64 = 8;

/// Number of times that each report is sent, so that one lost message does no harm.
const REPORT_SENDS: u8 = 2;

/// The holder's record of one loan.
#[derive(Clone, Debug)]
struct HeldLoan {
    lender: VmId,
    seq: u64,
    remaining: u64,
    used: u64,
    returned: u64,
    pending_report_sends: u8,
    received_at: TimeUs,
    valid_until: TimeUs,
}

/// A token request that has been sent.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    seq: u64,
    source: usize,
    lender: VmId,
    sent_at: TimeUs,
}

/// State of one zone's owner as a source of tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenSource {
    pub(crate) owner_hint: Option<VmId>,
    next_request_at: TimeUs,
    consecutive_timeouts: u32,
}

/// One tenant's borrowed tokens, pending requests and demand on one node.
#[derive(Clone, Debug)]
pub(crate) struct TenantLoans {
    loans: Vec<HeldLoan>,
    sent_requests: Vec<SentRequest>,
    pending_seq: Option<u64>,
    pub(crate) sources: Vec<TokenSource>,
    prefetch_us: u64,
    arrivals: u64,
    waiting_requests: u64,
    last_waiting_at: TimeUs,
    demand_milli_per_s: u64,
    sampled_at: TimeUs,
    reported_at: TimeUs,
}

/// Reports to be sent to one lender.
pub(crate) struct LenderReports {
    pub(crate) lender: VmId,
    pub(crate) reports: Vec<LoanReport>,
}

impl TenantLoans {
    pub(crate) fn new(now: TimeUs) -> Self {
        Self {
            loans: Vec::new(),
            sent_requests: Vec::new(),
            pending_seq: None,
            sources: Vec::new(),
            prefetch_us: MIN_PREFETCH_US,
            arrivals: 0,
            waiting_requests: 0,
            last_waiting_at: now,
            demand_milli_per_s: 0,
            sampled_at: now,
            reported_at: now,
        }
    }

    pub(crate) fn set_rate(&mut self, rate: &TenantRate, source_count: usize) {
        let fill_us = rate.burst.0.saturating_mul(US_PER_S) / rate.rate_per_s.0.max(1);
        self.prefetch_us = (fill_us / PREFETCHES_PER_FILL).clamp(MIN_PREFETCH_US, MAX_PREFETCH_US);
        self.sources.resize(source_count, TokenSource::default());
    }

    pub(crate) fn record_arrival(&mut self) {
        self.arrivals += 1;
    }

    pub(crate) fn record_waiting(&mut self, now: TimeUs) {
        self.waiting_requests += 1;
        self.last_waiting_at = now;
    }

    pub(crate) fn remove_waiting(&mut self) {
        self.waiting_requests = self.waiting_requests.saturating_sub(1);
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.waiting_requests > 0
    }

    /// Consumes one token of the oldest valid loan and returns whether there was one.
    pub(crate) fn take_token(&mut self, now: TimeUs) -> bool {
        let Some(loan) = self.loans.iter_mut().find(|loan| loan.remaining > 0 && now < loan.valid_until) else {
            return false;
        };
        loan.remaining -= 1;
        loan.used += 1;
        loan.pending_report_sends = REPORT_SENDS;
        true
    }

    /// Returns the number of tokens to request, zero while this node holds enough.
    pub(crate) fn tokens_to_request(&self, now: TimeUs) -> u64 {
        let expected = self.expected_demand();
        let held_tokens = self.held_tokens(now);
        if self.waiting_requests == 0 && held_tokens > expected / 2 {
            return 0;
        }
        (expected + self.waiting_requests).saturating_sub(held_tokens)
    }

    /// Returns the index of the nearest source that may be asked now, or `None` while a request is
    /// pending.
    pub(crate) fn available_source(&self, now: TimeUs) -> Option<usize> {
        if self.pending_seq.is_some() {
            return None;
        }
        self.sources.iter().position(|source| now >= source.next_request_at)
    }

    pub(crate) fn defer_source(&mut self, source: usize, until: TimeUs) {
        if let Some(found) = self.sources.get_mut(source) {
            found.next_request_at = found.next_request_at.max(until);
        }
    }

    pub(crate) fn record_request(&mut self, seq: u64, source: usize, lender: VmId, now: TimeUs) {
        self.sent_requests.push(SentRequest { seq, source, lender, sent_at: now });
        self.pending_seq = Some(seq);
    }

    /// Records a loan and returns whether it answers a request of this node. Any other loan is ignored.
    pub(crate) fn on_loan(
        &mut self,
        from: VmId,
        seq: u64,
        tokens: u64,
        retry_after_ms: u64,
        settings: &QuotaSettings,
        now: TimeUs,
    ) -> bool {
        let Some(request) = self.take_request(from, seq) else { return false };
        if let Some(source) = self.sources.get_mut(request.source) {
            source.consecutive_timeouts = 0;
            source.owner_hint = Some(from);
        }
        self.defer_source(request.source, now.plus_ms(retry_after_ms));
        if tokens > 0 {
            self.loans.push(HeldLoan {
                lender: from,
                seq,
                remaining: tokens,
                used: 0,
                returned: 0,
                pending_report_sends: 0,
                received_at: now,
                valid_until: request.sent_at.plus_us(settings.loan_duration_us()),
            });
        }
        true
    }

    pub(crate) fn on_not_owner(&mut self, from: VmId, seq: u64, owner: Option<VmId>, now: TimeUs) -> bool {
        let Some(request) = self.take_request(from, seq) else { return false };
        let Some(source) = self.sources.get_mut(request.source) else { return false };
        source.owner_hint = owner.filter(|owner| *owner != from);
        if source.owner_hint.is_none() {
            source.next_request_at = now.plus_us(MIN_BACKOFF_US);
        }
        true
    }

    /// Returns the earliest time at which a retry of a waiting request may succeed.
    pub(crate) fn earliest_retry_at(&self, now: TimeUs) -> TimeUs {
        if let Some(request) = self.sent_requests.last().filter(|_| self.pending_seq.is_some()) {
            return request.sent_at.plus_us(REQUEST_TIMEOUT_US);
        }
        let earliest = self.sources.iter().map(|source| source.next_request_at).min();
        earliest.unwrap_or_else(|| now.plus_us(US_PER_S))
    }

    /// Samples demand, times out the pending request and removes expired loans and requests.
    pub(crate) fn tick(&mut self, settings: &QuotaSettings, now: TimeUs) {
        self.sample_demand(now);
        self.check_request_timeout(now);
        self.sent_requests.retain(|request| now.us_since(request.sent_at) < settings.loan_duration_us());
        self.loans.retain(|loan| now < loan.valid_until && (loan.remaining > 0 || loan.pending_report_sends > 0));
        if now.us_since(self.last_waiting_at) > settings.max_wait_us() {
            self.waiting_requests = 0;
        }
        self.return_idle_tokens(settings, now);
    }

    /// Returns whether a loan of a tenant with a small burst has just been used up. Until the lender
    /// receives the report, the tokens count against the capacity of the bucket, which cannot refill.
    pub(crate) fn has_urgent_report(&self) -> bool {
        let exhausted = |loan: &HeldLoan| loan.remaining == 0 && loan.pending_report_sends == REPORT_SENDS;
        self.prefetch_us == MIN_PREFETCH_US && self.loans.iter().any(exhausted)
    }

    /// Returns the reports that are due, grouped by lender.
    pub(crate) fn due_reports(&mut self, now: TimeUs) -> Vec<LenderReports> {
        if now.us_since(self.reported_at) < self.prefetch_us && !self.has_urgent_report() {
            return Vec::new();
        }
        let mut lenders: Vec<VmId> =
            self.loans.iter().filter(|loan| loan.pending_report_sends > 0).map(|loan| loan.lender).collect();
        lenders.sort_unstable();
        lenders.dedup();
        if !lenders.is_empty() {
            self.reported_at = now;
        }
        lenders.into_iter().map(|lender| LenderReports { lender, reports: self.reports_for(lender) }).collect()
    }

    /// Returns the pending reports for one lender and counts them as sent once more.
    pub(crate) fn reports_for(&mut self, lender: VmId) -> Vec<LoanReport> {
        let mut reports = Vec::new();
        for loan in self.loans.iter_mut().filter(|loan| loan.lender == lender && loan.pending_report_sends > 0) {
            loan.pending_report_sends -= 1;
            reports.push(LoanReport { seq: loan.seq, used: loan.used, returned: loan.returned });
        }
        reports
    }

    fn held_tokens(&self, now: TimeUs) -> u64 {
        self.loans.iter().filter(|loan| now < loan.valid_until).map(|loan| loan.remaining).sum()
    }

    fn expected_demand(&self) -> u64 {
        self.demand_milli_per_s.saturating_mul(self.prefetch_us) / (US_PER_S * 1_000)
    }

    fn take_request(&mut self, from: VmId, seq: u64) -> Option<SentRequest> {
        let position = self.sent_requests.iter().position(|request| request.seq == seq && request.lender == from)?;
        if self.pending_seq == Some(seq) {
            self.pending_seq = None;
        }
        Some(self.sent_requests.remove(position))
    }

    fn sample_demand(&mut self, now: TimeUs) {
        let elapsed_us = now.us_since(self.sampled_at).max(1);
        let sample = self.arrivals.saturating_mul(US_PER_S * 1_000) / elapsed_us;
        let kept = self.demand_milli_per_s - self.demand_milli_per_s.div_ceil(DEMAND_SMOOTHING_DIVISOR);
        self.demand_milli_per_s = kept + sample / DEMAND_SMOOTHING_DIVISOR;
        self.arrivals = 0;
        self.sampled_at = now;
    }

    fn check_request_timeout(&mut self, now: TimeUs) {
        let Some(seq) = self.pending_seq else { return };
        let Some(request) = self.sent_requests.iter().find(|request| request.seq == seq).copied() else {
            self.pending_seq = None;
            return;
        };
        if now.us_since(request.sent_at) < REQUEST_TIMEOUT_US {
            return;
        }
        self.pending_seq = None;
        let Some(source) = self.sources.get_mut(request.source) else { return };
        source.owner_hint = None;
        let backoff_us = (MIN_BACKOFF_US << source.consecutive_timeouts.min(5)).min(MAX_BACKOFF_US);
        source.consecutive_timeouts += 1;
        source.next_request_at = now.plus_us(backoff_us);
    }

    /// Returns tokens that this node is unlikely to need soon, and all tokens of a loan past half of
    /// its lifetime, because the tokens of an expired loan are lost to the fleet.
    fn return_idle_tokens(&mut self, settings: &QuotaSettings, now: TimeUs) {
        let mut keep = 2 * self.expected_demand() + self.waiting_requests;
        for loan in &mut self.loans {
            let age_us = now.us_since(loan.received_at);
            let kept = if age_us > settings.loan_duration_us() / 2 { 0 } else { keep.min(loan.remaining) };
            keep -= kept;
            if age_us > 2 * self.prefetch_us && loan.remaining > kept {
                loan.returned += loan.remaining - kept;
                loan.remaining = kept;
                loan.pending_report_sends = REPORT_SENDS;
            }
        }
    }
}

/// Converts microseconds to milliseconds, rounded up and at least one.
pub(crate) fn ceil_to_ms(us: u64) -> u64 {
    us.div_ceil(US_PER_MS).max(1)
}
