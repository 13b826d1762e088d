//! Reading of documents in JSON with comments, with errors that name the place.

mod deserializer;
mod document_error;
mod place;

pub use deserializer::parse_document;
pub use document_error::DocumentError;
pub use place::Place;
