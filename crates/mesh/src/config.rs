//! The operator's configuration in the form that the node uses.

mod mesh_config;
mod route;
mod tenant_config;

pub use mesh_config::{CallerLimits, MeshConfig};
pub use route::{Backend, Route};
pub use tenant_config::{ApiKey, TenantConfig};
