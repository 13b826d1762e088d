//! Intents of operators, the plans made of them, and the changes that plans carry.

mod change;

pub use change::Change;
