//! The error of reading a document.

use super::Place;

/// A document that can't be read. It names the place, the field and the offending text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// Where the offending text starts.
    pub place: Place,
    /// Path of the field, for example `limits.max_body_bytes`; empty at the top of the document.
    pub field: String,
    /// The offending text, cut to [`DocumentError::MAX_VALUE_CHARS`].
    pub value: String,
    /// What is wrong with it.
    pub message: String,
}

impl DocumentError {
    /// Longest offending text that is quoted, in characters: enough to recognise it in a terminal.
    pub const MAX_VALUE_CHARS: usize = 80;
}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: ", self.place)?;
        if !self.field.is_empty() {
            write!(formatter, "field `{}`: ", self.field)?;
        }
        formatter.write_str(&self.message)?;
        if !self.value.is_empty() {
            write!(formatter, ", found `{}`", self.value)?;
        }
        Ok(())
    }
}

impl std::error::Error for DocumentError {}
