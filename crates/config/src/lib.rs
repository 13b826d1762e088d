//! Fleet configuration, plans and their certification, keys, and node settings.
//!
//! Everything here but [`Settings::load`] is pure: no I/O, no clock, no global randomness. See
//! `docs/CONFIGURATION.md`, `docs/PLANS.md` and `docs/KEYS.md`.

pub mod fleet;
pub mod jsonc;
pub mod plan;
pub mod propagation;
pub mod replica;
pub mod settings;

pub use fleet::FleetConfig;
pub use settings::{Settings, SettingsBuilder, SettingsError};
