//! The error of parsing one of the newtypes.

/// Longest text identifier, in bytes; identifiers travel in every call's head.
pub const MAX_TEXT_ID_BYTES: usize = 128;

/// A text that is not a value of the wanted type. It names the type and the offending text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    what: String,
    text: String,
}

impl ParseError {
    /// Reports that `text` is not a valid `what`.
    pub fn not_a(what: &str, text: &str) -> Self {
        Self { what: what.to_owned(), text: text.chars().take(MAX_TEXT_ID_BYTES).collect() }
    }
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "not a valid {}: {:?}", self.what, self.text)
    }
}

impl std::error::Error for ParseError {}

/// Checks the characters and length of a text identifier.
///
/// # Errors
///
/// Returns the type's name and the text when it is empty, too long, or holds other characters than
/// letters, digits, `-`, `_` and `.`.
pub fn check_text_id(what: &str, text: &str) -> Result<(), ParseError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let valid = !text.is_empty() && text.len() <= MAX_TEXT_ID_BYTES && text.bytes().all(allowed);
    if valid { Ok(()) } else { Err(ParseError::not_a(what, text)) }
}
