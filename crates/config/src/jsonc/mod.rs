//! Parsing of documents in JSON with comments, with errors that state the position in the text.

mod deserializer;
mod document_error;
mod source_position;

pub use deserializer::parse_document;
pub use document_error::DocumentError;
pub use source_position::SourcePosition;
