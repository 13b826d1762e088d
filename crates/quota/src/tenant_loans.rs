//! The tokens of one tenant that a node holds on loan, and where it asks for more.

use fulmartrestle_core::{TimeUs, VmId};

use crate::{LoanReport, QuotaSettings, TenantRate};

const US_PER_MS: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;

/// How long a token request may go unanswered, in microseconds. Nodes are about a millisecond apart.
const REQUEST_TIMEOUT_US: u64 = 20_000;

/// Bounds of the time to leave alone an owner that doesn't answer, in microseconds.
const SILENCE_MIN_US: u64 = 50_000;
const SILENCE_MAX_US: u64 = 1_600_000;

/// Bounds of the time for which tokens are asked ahead, in microseconds. Shorter costs messages,
/// longer leaves tokens idle on nodes that don't need them.
const HORIZON_MIN_US: u64 = 10_000;
const HORIZON_MAX_US: u64 = 100_000;

/// Part of a bucket's fill time that may be asked ahead, so that loans leave most of it to others.
const HORIZONS_PER_FILL: u64 = 8;

/// Weight of the newest demand sample is one out of this many.
const DEMAND_SMOOTHING: u64 = 8;

/// Reports are sent this often; the repetition covers a lost message.
const REPORT_REPETITIONS: u8 = 2;

/// Tokens on loan from one owner, as the holder keeps them.
#[derive(Clone, Debug)]
struct HeldLoan {
    lender: VmId,
    seq: u64,
    left: u64,
    used: u64,
    returned: u64,
    unsent_reports: u8,
    taken_at: TimeUs,
    valid_until: TimeUs,
}

/// A token request that was sent.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    seq: u64,
    source: usize,
    lender: VmId,
    sent_at: TimeUs,
}

/// What is known of one zone's owner as a source of tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    pub(crate) owner_hint: Option<VmId>,
    ask_after: TimeUs,
    silences: u32,
}

/// One tenant's tokens on one node.
#[derive(Clone, Debug)]
pub(crate) struct TenantLoans {
    loans: Vec<HeldLoan>,
    sent: Vec<SentRequest>,
    unanswered: Option<u64>,
    pub(crate) sources: Vec<Source>,
    horizon_us: u64,
    arrivals: u64,
    waiting: u64,
    waiting_seen_at: TimeUs,
    demand_milli_per_s: u64,
    sampled_at: TimeUs,
    reported_at: TimeUs,
}

/// Reports for one lender.
pub(crate) struct LenderReports {
    pub(crate) lender: VmId,
    pub(crate) reports: Vec<LoanReport>,
}

impl TenantLoans {
    pub(crate) fn new(now: TimeUs) -> Self {
        Self {
            loans: Vec::new(),
            sent: Vec::new(),
            unanswered: None,
            sources: Vec::new(),
            horizon_us: HORIZON_MIN_US,
            arrivals: 0,
            waiting: 0,
            waiting_seen_at: now,
            demand_milli_per_s: 0,
            sampled_at: now,
            reported_at: now,
        }
    }

    pub(crate) fn set_rate(&mut self, rate: &TenantRate, source_count: usize) {
        let fill_us = rate.burst.0.saturating_mul(US_PER_S) / rate.rate_per_s.0.max(1);
        self.horizon_us = (fill_us / HORIZONS_PER_FILL).clamp(HORIZON_MIN_US, HORIZON_MAX_US);
        self.sources.resize(source_count, Source::default());
    }

    pub(crate) fn note_arrival(&mut self) {
        self.arrivals += 1;
    }

    pub(crate) fn note_waiting(&mut self, now: TimeUs) {
        self.waiting += 1;
        self.waiting_seen_at = now;
    }

    pub(crate) fn note_waiter_back(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Uses one token of the oldest valid loan.
    pub(crate) fn take_token(&mut self, now: TimeUs) -> bool {
        let Some(loan) = self.loans.iter_mut().find(|loan| loan.left > 0 && now < loan.valid_until) else {
            return false;
        };
        loan.left -= 1;
        loan.used += 1;
        loan.unsent_reports = REPORT_REPETITIONS;
        true
    }

    /// Returns how many tokens to ask for, zero when there are enough for now.
    pub(crate) fn lacking(&self, now: TimeUs) -> u64 {
        let ahead = self.expected_need();
        let held = self.held(now);
        if self.waiting == 0 && held > ahead / 2 {
            return 0;
        }
        (ahead + self.waiting).saturating_sub(held)
    }

    /// Returns the nearest source that may be asked now, unless an answer is still due.
    pub(crate) fn open_source(&self, now: TimeUs) -> Option<usize> {
        if self.unanswered.is_some() {
            return None;
        }
        self.sources.iter().position(|source| now >= source.ask_after)
    }

    pub(crate) fn close_source(&mut self, source: usize, until: TimeUs) {
        if let Some(found) = self.sources.get_mut(source) {
            found.ask_after = found.ask_after.max(until);
        }
    }

    pub(crate) fn on_sent(&mut self, seq: u64, source: usize, lender: VmId, now: TimeUs) {
        self.sent.push(SentRequest { seq, source, lender, sent_at: now });
        self.unanswered = Some(seq);
    }

    /// Takes in a loan that answers an own request; any other message is ignored.
    pub(crate) fn on_loan(
        &mut self,
        from: VmId,
        seq: u64,
        tokens: u64,
        retry_after_ms: u64,
        settings: &QuotaSettings,
        now: TimeUs,
    ) -> bool {
        let Some(request) = self.take_sent(from, seq) else { return false };
        if let Some(source) = self.sources.get_mut(request.source) {
            source.silences = 0;
            source.owner_hint = Some(from);
        }
        self.close_source(request.source, now.plus_ms(retry_after_ms));
        if tokens > 0 {
            self.loans.push(HeldLoan {
                lender: from,
                seq,
                left: tokens,
                used: 0,
                returned: 0,
                unsent_reports: 0,
                taken_at: now,
                valid_until: request.sent_at.plus_us(settings.loan_us()),
            });
        }
        true
    }

    pub(crate) fn on_not_owner(&mut self, from: VmId, seq: u64, owner: Option<VmId>, now: TimeUs) -> bool {
        let Some(request) = self.take_sent(from, seq) else { return false };
        let Some(source) = self.sources.get_mut(request.source) else { return false };
        source.owner_hint = owner.filter(|owner| *owner != from);
        if source.owner_hint.is_none() {
            source.ask_after = now.plus_us(SILENCE_MIN_US);
        }
        true
    }

    /// Returns when a waiting request may next get a token.
    pub(crate) fn next_chance(&self, now: TimeUs) -> TimeUs {
        if let Some(request) = self.sent.last().filter(|_| self.unanswered.is_some()) {
            return request.sent_at.plus_us(REQUEST_TIMEOUT_US);
        }
        let earliest = self.sources.iter().map(|source| source.ask_after).min();
        earliest.unwrap_or_else(|| now.plus_us(US_PER_S))
    }

    /// Samples demand, gives up on silent owners and forgets what has lapsed.
    pub(crate) fn tick(&mut self, settings: &QuotaSettings, now: TimeUs) {
        self.sample_demand(now);
        self.give_up_silent(now);
        self.sent.retain(|request| now.us_since(request.sent_at) < settings.loan_us());
        self.loans.retain(|loan| now < loan.valid_until && (loan.left > 0 || loan.unsent_reports > 0));
        if now.us_since(self.waiting_seen_at) > settings.max_wait_us() {
            self.waiting = 0;
        }
        self.return_idle(settings, now);
    }

    /// Returns whether a loan of a tenant with a small burst was just used up. Until its lender hears
    /// so, the tokens count against the bucket, which has no room to fill meanwhile.
    pub(crate) fn has_urgent_report(&self) -> bool {
        let spent = |loan: &HeldLoan| loan.left == 0 && loan.unsent_reports == REPORT_REPETITIONS;
        self.horizon_us == HORIZON_MIN_US && self.loans.iter().any(spent)
    }

    /// Returns the reports that are due, one set for each lender.
    pub(crate) fn due_reports(&mut self, now: TimeUs) -> Vec<LenderReports> {
        if now.us_since(self.reported_at) < self.horizon_us && !self.has_urgent_report() {
            return Vec::new();
        }
        let mut lenders: Vec<VmId> =
            self.loans.iter().filter(|loan| loan.unsent_reports > 0).map(|loan| loan.lender).collect();
        lenders.sort_unstable();
        lenders.dedup();
        if !lenders.is_empty() {
            self.reported_at = now;
        }
        lenders.into_iter().map(|lender| LenderReports { lender, reports: self.reports_for(lender) }).collect()
    }

    /// Returns the unsent reports for one lender.
    pub(crate) fn reports_for(&mut self, lender: VmId) -> Vec<LoanReport> {
        let mut reports = Vec::new();
        for loan in self.loans.iter_mut().filter(|loan| loan.lender == lender && loan.unsent_reports > 0) {
            loan.unsent_reports -= 1;
            reports.push(LoanReport { seq: loan.seq, used: loan.used, returned: loan.returned });
        }
        reports
    }

    fn held(&self, now: TimeUs) -> u64 {
        self.loans.iter().filter(|loan| now < loan.valid_until).map(|loan| loan.left).sum()
    }

    fn expected_need(&self) -> u64 {
        self.demand_milli_per_s.saturating_mul(self.horizon_us) / (US_PER_S * 1_000)
    }

    fn take_sent(&mut self, from: VmId, seq: u64) -> Option<SentRequest> {
        let place = self.sent.iter().position(|request| request.seq == seq && request.lender == from)?;
        if self.unanswered == Some(seq) {
            self.unanswered = None;
        }
        Some(self.sent.remove(place))
    }

    fn sample_demand(&mut self, now: TimeUs) {
        let elapsed_us = now.us_since(self.sampled_at).max(1);
        let sample = self.arrivals.saturating_mul(US_PER_S * 1_000) / elapsed_us;
        let kept = self.demand_milli_per_s - self.demand_milli_per_s.div_ceil(DEMAND_SMOOTHING);
        self.demand_milli_per_s = kept + sample / DEMAND_SMOOTHING;
        self.arrivals = 0;
        self.sampled_at = now;
    }

    fn give_up_silent(&mut self, now: TimeUs) {
        let Some(seq) = self.unanswered else { return };
        let Some(request) = self.sent.iter().find(|request| request.seq == seq).copied() else {
            self.unanswered = None;
            return;
        };
        if now.us_since(request.sent_at) < REQUEST_TIMEOUT_US {
            return;
        }
        self.unanswered = None;
        let Some(source) = self.sources.get_mut(request.source) else { return };
        source.owner_hint = None;
        let pause_us = (SILENCE_MIN_US << source.silences.min(5)).min(SILENCE_MAX_US);
        source.silences += 1;
        source.ask_after = now.plus_us(pause_us);
    }

    /// Gives back tokens that this node is not likely to need soon, and all of a loan that is about
    /// to lapse, since lapsed tokens are lost to the fleet.
    fn return_idle(&mut self, settings: &QuotaSettings, now: TimeUs) {
        let mut keep = 2 * self.expected_need() + self.waiting;
        for loan in &mut self.loans {
            let age_us = now.us_since(loan.taken_at);
            let kept = if age_us > settings.loan_us() / 2 { 0 } else { keep.min(loan.left) };
            keep -= kept;
            if age_us > 2 * self.horizon_us && loan.left > kept {
                loan.returned += loan.left - kept;
                loan.left = kept;
                loan.unsent_reports = REPORT_REPETITIONS;
            }
        }
    }
}

/// Returns a hint of `us` microseconds in whole milliseconds, at least one.
pub(crate) fn retry_hint_ms(us: u64) -> u64 {
    us.div_ceil(US_PER_MS).max(1)
}
