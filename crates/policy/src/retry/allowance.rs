//! Number of retries that one request may still cause in its whole chain.

/// Remaining retries of a running call. The ingress node assigns each request a fixed number; a call
/// reserves a part of it for each child call and gets back what the child did not spend. Retries are never
/// created, so that the sum over the whole call tree never exceeds the number assigned at ingress.
#[derive(Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    remaining: u32,
}

/// Retries reserved for one child call. A reservation can't be copied: it is either returned once or, when
/// the child's response is lost, dropped, and then counts as spent.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is not returned counts as spent"]
pub struct RetryReservation {
    retries: u32,
}

impl RetryAllowance {
    /// Returns an allowance of `retries`, as assigned at ingress or received from the caller.
    pub const fn new(retries: u32) -> Self {
        Self { remaining: retries }
    }

    /// Returns the number of retries that are neither spent nor reserved.
    pub const fn remaining(&self) -> u32 {
        self.remaining
    }

    /// Reserves up to `retries` for a child call.
    pub fn reserve(&mut self, retries: u32) -> RetryReservation {
        let granted = retries.min(self.remaining);
        self.remaining -= granted;
        RetryReservation { retries: granted }
    }

    /// Returns the unspent retries of a child call to the allowance, at most the number reserved for it.
    pub fn return_unspent(&mut self, reservation: RetryReservation, unspent: u32) {
        self.remaining += unspent.min(reservation.retries);
    }

    /// Spends one retry and returns whether one was left.
    pub fn spend_one(&mut self) -> bool {
        let granted = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        granted
    }
}

impl RetryReservation {
    /// Returns the number of reserved retries, the child call's whole allowance.
    pub const fn retries(&self) -> u32 {
        self.retries
    }
}
