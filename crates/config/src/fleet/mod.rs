//! The fleet's configuration: sorted tables of rows that are the same on all nodes.

mod drain_row;
mod fleet_config;
mod hex;
mod key_hash;
mod key_row;
mod objective_row;
mod operator_row;
mod route_index;
mod route_row;
mod stop_row;
mod table;
mod tenant_row;
mod zone_row;

pub use drain_row::{DrainRow, DrainSelector};
pub use fleet_config::FleetConfig;
pub use key_hash::{KEY_SECRET_BYTES, KeyHash, KeySecret};
pub use key_row::{KeyId, KeyMatch, KeyRow};
pub use objective_row::{ObjectiveRow, SharePerMillion};
pub use operator_row::{OperatorName, OperatorRow};
pub use route_row::RouteRow;
pub use stop_row::{StopId, StopRow, StopScope};
pub use table::{Row, Table};
pub use tenant_row::{TenantRow, Weight};
pub use zone_row::ZoneRow;

pub(crate) use hex::{bytes_newtype, parse_hex, write_hex};
