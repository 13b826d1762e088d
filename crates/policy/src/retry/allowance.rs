//! The retries that one request may still cause anywhere in its chain.

/// The retries left to a running call. An entry gives each request a fixed number; a call reserves a
/// part of it for each child call and gets back what the child didn't spend. Nothing is ever
/// created, so that the sum over the whole tree never passes what the entry gave.
#[derive(Debug, PartialEq, Eq)]
pub struct RetryAllowance {
    left: u32,
}

/// Retries set aside for one child call. It can't be copied: it is either given back once or, when
/// the child's answer is lost, dropped, and then counts as spent.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is not given back counts as spent"]
pub struct RetryReservation {
    retries: u32,
}

impl RetryAllowance {
    /// Returns an allowance of `retries`, as set by the entry or received from the caller.
    pub const fn new(retries: u32) -> Self {
        Self { left: retries }
    }

    /// Returns the retries that are neither spent nor reserved.
    pub const fn remaining(&self) -> u32 {
        self.left
    }

    /// Sets up to `retries` aside for a child call.
    pub fn reserve(&mut self, retries: u32) -> RetryReservation {
        let granted = retries.min(self.left);
        self.left -= granted;
        RetryReservation { retries: granted }
    }

    /// Takes back what a child call says it has left. It can't return more than it was given.
    pub fn return_unspent(&mut self, reservation: RetryReservation, unspent: u32) {
        self.left += unspent.min(reservation.retries);
    }

    /// Spends one retry and returns whether there was one.
    pub fn spend_one(&mut self) -> bool {
        let granted = self.left > 0;
        self.left = self.left.saturating_sub(1);
        granted
    }
}

impl RetryReservation {
    /// Returns the retries set aside, the child call's whole allowance.
    pub const fn retries(&self) -> u32 {
        self.retries
    }
}
