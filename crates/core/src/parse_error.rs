//! Error of parsing a newtype.

/// Maximum length of a text identifier in bytes. Identifiers are part of every call's head, which must
/// stay small.
pub const MAX_TEXT_ID_BYTES: usize = 128;

/// Error for a text that is not a valid value of a type. It holds the type's name and the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    type_name: String,
    text: String,
}

impl ParseError {
    /// Returns an error that says that `text` is not a valid `type_name`. The text is truncated to
    /// [`MAX_TEXT_ID_BYTES`] characters.
    pub fn not_a(type_name: &str, text: &str) -> Self {
        Self { type_name: type_name.to_owned(), text: text.chars().take(MAX_TEXT_ID_BYTES).collect() }
    }
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "not a valid {}: {:?}", self.type_name, self.text)
    }
}

impl std::error::Error for ParseError {}

/// Validates the characters and the length of a text identifier.
///
/// # Errors
///
/// Returns an error if the text is empty, longer than [`MAX_TEXT_ID_BYTES`], or contains characters other
/// than ASCII letters, digits, `-`, `_` and `.`.
pub fn check_text_id(type_name: &str, text: &str) -> Result<(), ParseError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let valid = !text.is_empty() && text.len() <= MAX_TEXT_ID_BYTES && text.bytes().all(allowed);
    if valid { Ok(()) } else { Err(ParseError::not_a(type_name, text)) }
}
