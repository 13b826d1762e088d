//! Settings of a node, read once at startup from a file in JSON with comments.

mod builder;
mod isolation_settings;
mod limits;
mod node_settings;
mod settings_error;

pub use builder::SettingsBuilder;
pub use isolation_settings::IsolationSettings;
pub use limits::Limits;
pub use node_settings::{LogLevel, Settings};
pub use settings_error::SettingsError;
