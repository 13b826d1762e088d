//! Identifiers of the things that nodes talk about.

use crate::{number_newtype, text_id};

text_id!(
    /// Names an availability zone, for example `milano`.
    AvailabilityZone,
    "availability zone"
);
text_id!(
    /// Names a region, which holds one or more availability zones.
    Region,
    "region"
);
text_id!(
    /// Names a tenant: a team whose callers share keys, a rate and a burst.
    Tenant,
    "tenant"
);
text_id!(
    /// Names a service that targets offer, for example `pairing`.
    Service,
    "service"
);
text_id!(
    /// Names a route: a path prefix with a class and a service behind it.
    RouteId,
    "route"
);

number_newtype!(
    /// Offset of a record on a stream of the platform's log.
    LogOffset,
    u64,
    "log offset"
);
number_newtype!(
    /// Version of the fleet's configuration: one more than the log offset of the last plan that
    /// committed, and zero before the first.
    Version,
    u64,
    "version"
);
number_newtype!(
    /// Identifies one attempt of one call on the node that sent it.
    CallId,
    u64,
    "call id"
);
number_newtype!(
    /// Hash of a request's method, path, tenant and leading body bytes. Requests that crash targets
    /// are recognised by it.
    Fingerprint,
    u64,
    "fingerprint"
);
number_newtype!(
    /// A number of requests that may be admitted against a tenant's rate.
    Tokens,
    u64,
    "token count"
);
number_newtype!(
    /// Requests per second.
    RatePerS,
    u64,
    "rate per second"
);
