//! Fleet configuration, plans and their certification, keys, and node settings.
//!
//! Apart from [`Settings::load`] and [`plan::TimeZones::from_system`], which read files, the crate is pure: it uses no
//! I/O, no clock and no global randomness. See `docs/CONFIGURATION.md`, `docs/PLANS.md` and `docs/KEYS.md`.

pub mod fleet;
pub mod jsonc;
pub mod plan;
pub mod propagation;
pub mod replica;
pub mod settings;

pub use fleet::FleetConfig;
pub use settings::{Settings, SettingsBuilder, SettingsError};
