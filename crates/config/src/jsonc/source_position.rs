//! Position in a text file.

use fulmartrestle_derive::local;

/// A line and column in a named file, both counted from one. Columns count characters.
#[local]
#[derive(Eq)]
pub struct SourcePosition {
    /// Name of the file, as given to the parser.
    pub file: String,
    /// Line number, from one.
    pub line: usize,
    /// Column number, from one, in characters.
    pub column: usize,
}

impl SourcePosition {
    /// Returns the position of the byte at `offset` of `text`. An offset past the end gives the end of the text.
    pub fn from_byte_offset(file: &str, text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        Self { file: file.to_owned(), line, column }
    }
}

impl std::fmt::Display for SourcePosition {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}:{}", self.file, self.line, self.column)
    }
}
