//! Identifiers and quantities that nodes exchange.

use crate::{number_newtype, text_id};

text_id!(
    /// Names an availability zone, for example `milano`.
    AvailabilityZone,
    "availability zone"
);
text_id!(
    /// Names a region, which consists of one or more availability zones.
    Region,
    "region"
);
text_id!(
    /// Names a tenant: a team whose callers share API keys, a rate limit and a burst.
    Tenant,
    "tenant"
);
text_id!(
    /// Names a service that targets provide, for example `pairing`.
    Service,
    "service"
);
text_id!(
    /// Names a route, which maps a path prefix to a service and a class.
    RouteId,
    "route"
);

number_newtype!(
    /// Offset of a record in a stream of the platform's log.
    LogOffset,
    u64,
    "log offset"
);
number_newtype!(
    /// Version of the fleet's configuration: one more than the log offset of the last committed plan, or
    /// zero before the first plan.
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
    /// Hash of a request's method, path, tenant and leading body bytes. It identifies requests that
    /// crash targets.
    Fingerprint,
    u64,
    "fingerprint"
);
number_newtype!(
    /// Number of rate limit tokens. Each token admits one request of a tenant.
    Tokens,
    u64,
    "token count"
);
number_newtype!(
    /// Rate in requests per second.
    RatePerS,
    u64,
    "rate per second"
);
number_newtype!(
    /// Rate in thousandths of a request per second.
    RateMilliPerS,
    u64,
    "rate in thousandths per second"
);
number_newtype!(
    /// Era of the platform's log. It rises by one each time the log comes back from an older copy of itself, so that
    /// offsets of two eras cannot be compared.
    LogEra,
    u64,
    "log era"
);
