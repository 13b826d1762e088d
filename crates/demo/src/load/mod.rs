//! Load generation: open-loop arrivals, and clients that retry until they get a complete response.

mod arrival;
mod load_generator;
mod profile;

pub use arrival::{Arrival, draw_arrivals};
pub use load_generator::request_id;
pub(crate) use load_generator::{LoadGenerator, generate_load};
pub use profile::LoadProfile;
