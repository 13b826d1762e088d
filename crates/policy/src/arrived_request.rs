//! A request as it is known before its body is read.

use fulmartrestle_core::{RouteId, Tenant};

use crate::Rank;

/// What decides whether a request is admitted.
#[derive(Clone, Copy, Debug)]
pub struct ArrivedRequest<'r> {
    /// Route of the request.
    pub route: &'r RouteId,
    /// Rank of the request.
    pub rank: Rank,
    /// Tenant of the caller; `None` on a public route.
    pub tenant: Option<&'r Tenant>,
}
