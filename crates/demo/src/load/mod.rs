//! The load: open-loop arrivals and clients that send again when they get no whole answer.

mod arrival;
mod client;
mod profile;

pub use arrival::{Arrival, arrivals};
pub use client::request_id;
pub(crate) use client::{Client, drive};
pub use profile::LoadProfile;
