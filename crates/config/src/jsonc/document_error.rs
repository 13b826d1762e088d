//! Errors of parsing a document.

use super::SourcePosition;

/// An error of parsing a document, with its position, field and the offending text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// Position at which the offending text starts.
    pub position: SourcePosition,
    /// Path of the field, for example `limits.max_body_bytes`; empty at the top level of the document.
    pub field: String,
    /// The first line of the offending text, truncated to [`DocumentError::MAX_VALUE_CHARS`].
    pub value: String,
    /// What is wrong with the text.
    pub message: String,
}

impl DocumentError {
    /// Maximum length of the quoted text, in characters: enough to recognize it in a terminal.
    pub const MAX_VALUE_CHARS: usize = 80;
}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: ", self.position)?;
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
